package home

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/core/budget"
	"mothcart/io/clock"
	"mothcart/io/link"
)

const (
	// checkpointInterval is the time between two checkpoint notices. It bounds the part of an item that
	// the next home runs again, a tenth of a long item.
	checkpointInterval = 500 * time.Millisecond
	// maxStandbys is the number of home nodes that hold checkpoints of the home's items: with two, one
	// may be lost together with the home.
	maxStandbys = 2
	// maxProgressBytes bounds the progress in one message between nodes, so that it stays far below the largest frame.
	maxProgressBytes = 3 << 20
	// progressOverhead is the size of an item's progress in a message without its texts, in bytes.
	progressOverhead = 128
)

// checkpointNotice sends a standby the progress of items since the last notice.
type checkpointNotice struct {
	Term int64 `msgpack:"term"`
	// Full reports that the notice replaces all checkpoints of the standby.
	Full  bool        `msgpack:"whole,omitempty"`
	Items []itemDelta `msgpack:"items,omitempty"`
	// Ended lists the items whose checkpoints are no longer needed, each as job and item.
	Ended [][2]string `msgpack:"over,omitempty"`
}

// itemDelta is the progress of an item since the last notice. Its Text is the item's text after the first
// From bytes; if From is 0, it is the complete text so far and replaces the checkpoint.
type itemDelta struct {
	ItemProgress
	From int `msgpack:"from"`
}

// size estimates the size of the progress in a message without the text, in bytes.
func (p ItemProgress) size() int {
	return progressOverhead + len(p.Job) + len(p.Item) + len(p.LastEventID) + len(p.Version)
}

// withinMessage returns the items whose progress fits into one message, those that have finished before the others, and how many
// are left out.
func withinMessage(items []ItemProgress) ([]ItemProgress, int) {
	ordered := make([]ItemProgress, 0, len(items))
	for _, finished := range []bool{true, false} {
		for _, p := range items {
			if (p.State != "") == finished {
				ordered = append(ordered, p)
			}
		}
	}
	size := 0
	for i, p := range ordered {
		if size += p.size() + len(p.Text); size > maxProgressBytes {
			return ordered[:i], len(ordered) - i
		}
	}
	return ordered, 0
}

// checkpointer sends the progress of a home's items to its standbys.
type checkpointer struct {
	home *Home
	// sent holds the items, by job and item, whose checkpoints the standbys have.
	sent     map[[2]string]bool
	standbys map[*link.Conn]bool
	// started reports that a first notice was made; that one is full and replaces the checkpoints of an
	// earlier home.
	started bool
}

// checkpoint sends the items' progress to the standbys until the home ends.
func (h *Home) checkpoint() {
	c := &checkpointer{home: h, sent: make(map[[2]string]bool)}
	var informed []*link.Conn
	for clock.Sleep(h.ctx, checkpointInterval) == nil {
		informed = h.sendOrigins(informed)
		if h.isLoaded() { // until then the standbys hold the fuller checkpoints of the previous home
			c.send()
		}
	}
}

// sendOrigins sends the standbys at which versions streams began: all to a new standby, and to the others what is new.
// It returns the standbys.
func (h *Home) sendOrigins(informed []*link.Conn) []*link.Conn {
	standbys := h.standbys()
	for _, conn := range standbys {
		if !slices.Contains(informed, conn) {
			h.opts.Origins.sendAll(conn)
		}
	}
	h.opts.Origins.sendFresh(standbys)
	return standbys
}

func (h *Home) isLoaded() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.loaded
}

func (c *checkpointer) send() {
	conns := c.home.standbys()
	notice := checkpointNotice{Term: c.home.opts.Term, Full: c.updateStandbys(conns) || !c.started}
	c.started = true
	sent := c.gather(&notice)
	for key := range c.sent {
		if !sent[key] {
			notice.Ended = append(notice.Ended, key)
		}
	}
	c.sent = sent
	if !notice.Full && len(notice.Items)+len(notice.Ended) == 0 {
		return
	}
	c.home.opts.Checkpoints.apply(notice) // this node's copy, in case all processes end at the same time
	for _, part := range notice.split(maxProgressBytes) {
		for _, conn := range conns {
			conn.Notify(methodCheckpoint, part)
		}
	}
}

// split returns the notice in notices of about maxBytes at most, with at least one item each, that have the same effect one after
// the other. An item is never split: half of a text must not count as its progress.
func (n checkpointNotice) split(maxBytes int) []checkpointNotice {
	parts, size := []checkpointNotice{{Term: n.Term, Full: n.Full, Ended: n.Ended}}, 0
	for _, d := range n.Items {
		more := d.size() + len(d.Text)
		if size > 0 && size+more > maxBytes {
			parts, size = append(parts, checkpointNotice{Term: n.Term}), 0
		}
		last := &parts[len(parts)-1]
		last.Items = append(last.Items, d)
		size += more
	}
	return parts
}

// updateStandbys replaces the set of standbys and reports whether one of them is new.
func (c *checkpointer) updateStandbys(conns []*link.Conn) bool {
	isNew := false
	current := make(map[*link.Conn]bool, len(conns))
	for _, conn := range conns {
		isNew = isNew || !c.standbys[conn]
		current[conn] = true
	}
	c.standbys = current
	return isNew
}

// gather adds the items' progress to a notice and returns the items whose checkpoints the standbys have
// after it: all with progress whose result is not listed yet.
func (c *checkpointer) gather(notice *checkpointNotice) map[[2]string]bool {
	c.home.mu.Lock()
	defer c.home.mu.Unlock()
	sent := make(map[[2]string]bool, len(c.sent))
	add := func(r *run, changed bool, d itemDelta) {
		key := [2]string{r.job, r.item.ID}
		if changed {
			notice.Items = append(notice.Items, d)
		}
		if changed || c.sent[key] {
			sent[key] = true
		}
	}
	for id, j := range c.home.jobs {
		for _, r := range j.runs {
			if notice.Full {
				r.sentBytes, r.resultSent = 0, false
			}
			if !r.ended {
				d, changed := r.delta()
				add(r, changed, d)
			}
		}
		for _, result := range j.finished {
			if r := j.runs[result.Item]; r != nil {
				add(r, !r.resultSent, itemDelta{ItemProgress: finishedProgress(id, result)})
				r.resultSent = true
			}
		}
	}
	return sent
}

// standbys returns the connections of the home nodes that hold checkpoints.
func (h *Home) standbys() []*link.Conn {
	all := h.runnerConns()
	return all[:min(len(all), maxStandbys)]
}

// runnerConns returns the connections of the nodes that run items for the home, sorted by node name.
func (h *Home) runnerConns() []*link.Conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	nodes := make([]*runnerNode, 0, len(h.runners))
	for _, n := range h.runners {
		nodes = append(nodes, n)
	}
	slices.SortFunc(nodes, func(a, b *runnerNode) int { return cmp.Compare(a.name, b.name) })
	out := make([]*link.Conn, 0, len(nodes))
	for _, n := range nodes {
		out = append(out, n.conn)
	}
	return out
}

// progress returns the progress of an item, including the attempt in progress, with its text from the
// byte position from on; the home's mutex is held.
func (r *run) progress(from int) ItemProgress {
	p := ItemProgress{Job: r.job, Item: r.item.ID, Events: r.events, LastEventID: r.lastID, Version: r.version, Failures: r.failures, Ran: r.ranFor}
	var text strings.Builder
	base := r.text.Bytes()
	text.Write(base[min(from, len(base)):])
	if r.received != nil {
		r.received.mu.Lock()
		defer r.received.mu.Unlock()
	}
	if r.received != nil && r.received.events > 0 {
		if r.events > 0 && from <= len(base) {
			text.WriteByte('\n')
		}
		more := r.received.text.Bytes()
		text.Write(more[max(from-r.receivedFrom(), 0):])
		p.Version = r.receivedVersion
		p.Events += r.received.events
		p.LastEventID = r.received.lastEventID
	}
	p.Text = text.String()
	return p
}

// receivedFrom is the byte position in the item's text at which the text of the attempt in progress starts.
func (r *run) receivedFrom() int {
	if r.events == 0 {
		return 0
	}
	return r.text.Len() + 1 // after a line feed
}

// size is the length of the item's text in bytes, including the attempt in progress; the home's mutex is held.
func (r *run) size() int {
	if r.received == nil {
		return r.text.Len()
	}
	r.received.mu.Lock()
	defer r.received.mu.Unlock()
	if r.received.events == 0 {
		return r.text.Len()
	}
	return r.receivedFrom() + r.received.text.Len()
}

// delta returns the progress that was not sent to the standbys yet, and false if there is none; the
// home's mutex is held.
func (r *run) delta() (itemDelta, bool) {
	if r.size() <= r.sentBytes {
		return itemDelta{}, false
	}
	d := itemDelta{ItemProgress: r.progress(r.sentBytes), From: r.sentBytes}
	r.sentBytes += len(d.Text)
	return d, true
}

// Checkpoints holds the progress of the home's items on a home node, in case this node becomes the next
// home. It is safe for concurrent use.
type Checkpoints struct {
	// limit bounds the texts together, in bytes; 0 means no bound.
	limit int64
	// onChange is called after each notice.
	onChange func()

	mu    sync.Mutex
	term  int64
	items map[[2]string]*itemCheckpoint
	// bytes is the size of the texts.
	bytes int64
}

type itemCheckpoint struct {
	ItemProgress
	text strings.Builder
}

// NewCheckpoints returns checkpoints with the items that an earlier process of this node saved. Their texts have at most
// limit bytes together; 0 means no bound. onChange is called after each notice.
func NewCheckpoints(items []ItemProgress, limit int64, onChange func()) *Checkpoints {
	c := &Checkpoints{limit: limit, onChange: onChange, items: make(map[[2]string]*itemCheckpoint, len(items))}
	for _, p := range items {
		cp := &itemCheckpoint{ItemProgress: p}
		cp.text.WriteString(p.Text)
		c.items[[2]string{p.Job, p.Item}] = cp
		c.bytes += int64(len(p.Text))
	}
	return c
}

// remove drops the checkpoint of an item; the mutex is held.
func (c *Checkpoints) remove(key [2]string) {
	if cp := c.items[key]; cp != nil {
		c.bytes -= int64(cp.text.Len())
		delete(c.items, key)
	}
}

// apply adds a notice of the home. The checkpoint of an item is dropped if the notice's text does not
// follow the text held so far, since a notice was lost.
func (c *Checkpoints) apply(n checkpointNotice) {
	defer c.onChange()
	c.mu.Lock()
	defer c.mu.Unlock()
	if n.Term < c.term {
		return
	}
	if n.Full || n.Term > c.term {
		c.term, c.items, c.bytes = n.Term, make(map[[2]string]*itemCheckpoint, len(n.Items)), 0
	}
	for _, key := range n.Ended {
		c.remove(key)
	}
	for _, d := range n.Items {
		key := [2]string{d.Job, d.Item}
		if d.From == 0 {
			c.remove(key)
		}
		cp := c.items[key]
		if cp == nil {
			cp = &itemCheckpoint{}
		}
		if cp.text.Len() != d.From {
			c.remove(key)
			continue
		}
		cp.ItemProgress = d.ItemProgress
		cp.text.WriteString(d.Text)
		c.items[key] = cp
		c.bytes += int64(len(d.Text))
		if budget.OverShare(c.limit, c.bytes, int64(cp.text.Len()), len(c.items)) {
			c.remove(key) // the next home begins the item again
		}
	}
}

// Items returns the checkpoints of all items.
func (c *Checkpoints) Items() []ItemProgress {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]ItemProgress, 0, len(c.items))
	for _, cp := range c.items {
		p := cp.ItemProgress
		p.Text = cp.text.String()
		out = append(out, p)
	}
	return out
}

// serveCheckpoints applies a checkpoint notice, or answers with the checkpoints held here.
func (c *Client) serveCheckpoints(in link.Incoming) error {
	switch {
	case c.opts.Checkpoints == nil:
		in.Fail(merry.New("this node keeps no progress"))
	case in.Method == methodFetchCheckpoints:
		items, left := withinMessage(c.opts.Checkpoints.Items())
		c.opts.Log.Info().Int("items", len(items)).Int("leftOut", left).Msg("checkpointsSent")
		in.Answer(handoverAnswer{Items: items})
	default:
		var m checkpointNotice
		if err := in.Decode(&m); err != nil {
			return err
		}
		c.opts.Checkpoints.apply(m)
	}
	return nil
}
