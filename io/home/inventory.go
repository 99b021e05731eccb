package home

import (
	"context"
	"sync"
	"time"

	"mothcart/core/slot"
	"mothcart/core/submission"
	"mothcart/io/link"
)

// inventoryInterval is the time between two inventories that a node sends of its open requests. What a home
// counts wrongly is corrected within it.
const inventoryInterval = time.Second

// inventory lists a node's requests that wait for a slot of the home or use a slot, whoever granted it. It is
// safe for concurrent use.
//
// A notice about a request is sent while mu is held, so that the notices of one connection have the order of
// the changes.
type inventory struct {
	mu    sync.Mutex
	slots map[uint64]*inventorySlot
	// changed reports that a request was opened since the last inventory was sent.
	changed bool
}

type inventorySlot struct {
	openedSlot
	// reportedTo is the connection to a home that knows of the slot; nil if none does.
	reportedTo *link.Conn
}

// inventoryNotice lists all requests that are open at a node.
type inventoryNotice struct {
	// IDs are the requests that this home knows, or that wait for it.
	IDs []uint64 `msgpack:"ids"`
	// Slots are the slots in use that another home or the node itself granted.
	Slots []openedSlot `msgpack:"slots,omitempty"`
	// Submissions are those of helloRequest, in the first inventory of a connection: attempts may begin between the hello and
	// the use of the connection.
	Submissions []submission.Attempt `msgpack:"subs,omitempty"`
}

func newInventory() *inventory { return &inventory{slots: make(map[uint64]*inventorySlot)} }

// ask opens a request that waits for a slot.
func (v *inventory) ask(r slot.Request) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.slots[r.Key.ID] = &inventorySlot{openedSlot: openedSlot{
		ID: r.Key.ID, Service: r.Service, Parts: r.Parts, Identity: r.Identity,
		Account: r.Account, Prompt: r.PromptTokens, Output: r.OutputTokens, Expected: r.ExpectedTokens,
	}}
	v.changed = true
}

// hold records that an open request uses a slot of an upstream, granted by the home at conn, or by this node
// if conn is nil.
func (v *inventory) hold(id uint64, upstream string, conn *link.Conn) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s := v.slots[id]; s != nil {
		s.Upstream, s.reportedTo = upstream, conn
	}
}

// end closes a request and notifies the home at conn, if any.
func (v *inventory) end(conn *link.Conn, notice releaseNotice) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.slots, notice.ID)
	if conn != nil {
		conn.Notify(methodRelease, notice)
	}
}

// open returns the slots in use.
func (v *inventory) open() []openedSlot {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make([]openedSlot, 0, len(v.slots))
	for _, s := range v.slots {
		if s.Upstream != "" {
			out = append(out, s.openedSlot)
		}
	}
	return out
}

// send sends the inventory to the home at conn. It sends nothing if no request was opened since the last
// inventory and none is open, unless first is set. Attempts to submit jobs are sent with the first one.
func (v *inventory) send(conn *link.Conn, first bool, submissions []submission.Attempt) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !first && !v.changed && len(v.slots) == 0 {
		return
	}
	v.changed = false
	m := inventoryNotice{Submissions: submissions}
	for id, s := range v.slots {
		if s.Upstream == "" || s.reportedTo == conn {
			m.IDs = append(m.IDs, id)
			continue
		}
		m.Slots = append(m.Slots, s.openedSlot)
		s.reportedTo = conn
	}
	conn.Notify(methodInventory, m)
}

// sendInventories sends the inventory at intervals until the connection or ctx ends.
func (c *Client) sendInventories(ctx context.Context, conn *link.Conn) {
	c.inventory.send(conn, true, c.submissions.open(c.opts.Now()))
	t := time.NewTicker(inventoryInterval)
	defer t.Stop()
	for {
		select {
		case <-conn.Done():
			return
		case <-ctx.Done():
			return
		case <-t.C:
			c.inventory.send(conn, false, nil)
		}
	}
}

// reconcile corrects what the home counts for a node by the node's own inventory. Grants whose answers are on
// their way are in it too, since the node lists the requests that wait.
func (h *Home) reconcile(s *session, m inventoryNotice) {
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
	h.pool.Adopt(slot.Request{
		Key: slot.Key{Owner: s.owner, ID: o.ID}, Service: o.Service, Parts: o.Parts, Identity: o.Identity,
		Account: o.Account, Charged: true, PromptTokens: o.Prompt, OutputTokens: o.Output, ExpectedTokens: o.Expected,
	}, o.Upstream)
}
