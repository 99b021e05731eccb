package home

import (
	"context"
	"sync"
	"time"

	"mothcart/core/slot"
	"mothcart/io/link"
)

// accountInterval is the time between two accounts that a node sends of its open requests. What a home
// counts wrongly is corrected within it.
const accountInterval = time.Second

// account lists a node's requests that wait for a slot of the home or use a slot, whoever granted it. It is
// safe for concurrent use.
//
// A notice about a request is sent while mu is held, so that the notices of one connection have the order of
// the changes.
type account struct {
	mu    sync.Mutex
	slots map[uint64]*accountedSlot
	// changed reports that a request was opened since the last account was sent.
	changed bool
}

type accountedSlot struct {
	openedSlot
	// reportedTo is the connection to a home that knows of the slot; nil if none does.
	reportedTo *link.Conn
}

// accountNotice lists all requests that are open at a node.
type accountNotice struct {
	// IDs are the requests that this home knows, or that wait for it.
	IDs []uint64 `msgpack:"ids"`
	// Slots are the slots in use that another home or the node itself granted.
	Slots []openedSlot `msgpack:"slots,omitempty"`
}

func newAccount() *account { return &account{slots: make(map[uint64]*accountedSlot)} }

// ask opens a request that waits for a slot.
func (a *account) ask(id uint64, service string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slots[id] = &accountedSlot{openedSlot: openedSlot{ID: id, Service: service}}
	a.changed = true
}

// hold records that an open request uses a slot of an upstream, granted by the home at conn, or by this node
// if conn is nil.
func (a *account) hold(id uint64, upstream string, conn *link.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s := a.slots[id]; s != nil {
		s.Upstream, s.reportedTo = upstream, conn
	}
}

// end closes a request and notifies the home at conn, if any.
func (a *account) end(conn *link.Conn, notice releaseNotice) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.slots, notice.ID)
	if conn != nil {
		conn.Notify(methodRelease, notice)
	}
}

// open returns the slots in use.
func (a *account) open() []openedSlot {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]openedSlot, 0, len(a.slots))
	for _, s := range a.slots {
		if s.Upstream != "" {
			out = append(out, s.openedSlot)
		}
	}
	return out
}

// send sends the account to the home at conn. It sends nothing if no request was opened since the last
// account and none is open, unless first is set.
func (a *account) send(conn *link.Conn, first bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !first && !a.changed && len(a.slots) == 0 {
		return
	}
	a.changed = false
	var m accountNotice
	for id, s := range a.slots {
		if s.Upstream == "" || s.reportedTo == conn {
			m.IDs = append(m.IDs, id)
			continue
		}
		m.Slots = append(m.Slots, s.openedSlot)
		s.reportedTo = conn
	}
	conn.Notify(methodAccount, m)
}

// sendAccounts sends the account at intervals until the connection or ctx ends.
func (c *Client) sendAccounts(ctx context.Context, conn *link.Conn) {
	c.account.send(conn, true)
	t := time.NewTicker(accountInterval)
	defer t.Stop()
	for {
		select {
		case <-conn.Done():
			return
		case <-ctx.Done():
			return
		case <-t.C:
			c.account.send(conn, false)
		}
	}
}

// reconcile corrects what the home counts for a node by the node's own account. Grants whose answers are on
// their way are in the account too, since the node lists the requests that wait.
func (h *Home) reconcile(s *session, m accountNotice) {
	open := make(map[uint64]bool, len(m.IDs)+len(m.Slots))
	for _, id := range m.IDs {
		open[id] = true
	}
	for _, o := range m.Slots {
		open[o.ID] = true
	}
	dropped := h.pool.Reconcile(s.owner, func(id uint64) bool { return open[id] })
	for _, o := range m.Slots {
		h.adopt(s, o)
	}
	h.metrics.corrected.Inc(int64(dropped))
	if dropped > 0 {
		h.opts.Log.Info().Str("peer", s.owner).Int("dropped", dropped).Int("open", len(open)).Msg("slotsCorrected")
	}
}

// adopt counts a slot that a node uses and that another home or the node itself granted.
func (h *Home) adopt(s *session, o openedSlot) {
	h.pool.Adopt(slot.Request{Key: slot.Key{Owner: s.owner, ID: o.ID}, Service: o.Service}, o.Upstream)
}
