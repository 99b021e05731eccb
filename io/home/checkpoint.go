package home

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/io/clock"
	"mothcart/io/link"
)

const (
	// checkpointInterval is the time between two notices of the items' progress: what a next home lets
	// run again at most, a tenth of a long item.
	checkpointInterval = 500 * time.Millisecond
	// standbys is the number of home nodes that keep the progress: with two, one may be lost together
	// with the home.
	standbys = 2
)

// checkpointNotice tells a standby what items have made since the last notice.
type checkpointNotice struct {
	Term int64 `msgpack:"term"`
	// Whole reports that what the standby has is replaced.
	Whole bool        `msgpack:"whole,omitempty"`
	Items []itemDelta `msgpack:"items,omitempty"`
	// Over lists the items that need nothing more, each as job and item.
	Over [][2]string `msgpack:"over,omitempty"`
}

// itemDelta is the progress of an item since the last notice; its Text is what follows the first From
// bytes, all of it if From is 0.
type itemDelta struct {
	ItemProgress
	From int `msgpack:"from"`
}

// checkpointer sends the progress of a home's items to its standbys.
type checkpointer struct {
	home *Home
	// kept are the items that the standbys know of.
	kept map[[2]string]bool
	to   map[*link.Conn]bool
	// begun reports that a first notice was made, which replaces what an earlier home let keep.
	begun bool
}

// checkpoint tells standbys of the items' progress until the home ends.
func (h *Home) checkpoint() {
	c := &checkpointer{home: h, kept: make(map[[2]string]bool)}
	for clock.Sleep(h.ctx, checkpointInterval) == nil {
		if h.isLoaded() { // until then the notice of the home before tells more
			c.send()
		}
	}
}

func (h *Home) isLoaded() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.loaded
}

func (c *checkpointer) send() {
	conns := c.home.standbys()
	notice := checkpointNotice{Term: c.home.opts.Term, Whole: c.changed(conns) || !c.begun}
	c.begun = true
	open := c.gather(&notice)
	for key := range c.kept {
		if !open[key] {
			notice.Over = append(notice.Over, key)
		}
	}
	c.kept = open
	if !notice.Whole && len(notice.Items)+len(notice.Over) == 0 {
		return
	}
	c.home.opts.Kept.take(notice) // for the case that all processes end at once
	for _, conn := range conns {
		conn.Notify(methodCheckpoint, notice)
	}
}

// changed takes up the standbys and reports that one of them is new.
func (c *checkpointer) changed(conns []*link.Conn) bool {
	isNew := false
	to := make(map[*link.Conn]bool, len(conns))
	for _, conn := range conns {
		isNew = isNew || !c.to[conn]
		to[conn] = true
	}
	c.to = to
	return isNew
}

// gather adds what items have made to a notice and returns the items that the standbys know of then:
// all that have made anything and are not listed yet.
func (c *checkpointer) gather(notice *checkpointNotice) map[[2]string]bool {
	c.home.mu.Lock()
	defer c.home.mu.Unlock()
	open := make(map[[2]string]bool, len(c.kept))
	add := func(r *run, changed bool, d itemDelta) {
		key := [2]string{r.job, r.item.ID}
		if changed {
			notice.Items = append(notice.Items, d)
		}
		if changed || c.kept[key] {
			open[key] = true
		}
	}
	for id, j := range c.home.jobs {
		for _, r := range j.runs {
			if notice.Whole {
				r.saved, r.resultSaved = 0, false
			}
			if !r.over {
				d, changed := r.delta()
				add(r, changed, d)
			}
		}
		for _, result := range j.finished {
			if r := j.runs[result.Item]; r != nil {
				add(r, !r.resultSaved, itemDelta{ItemProgress: finishedProgress(id, result)})
				r.resultSaved = true
			}
		}
	}
	return open
}

// standbys returns the connections of the home nodes that keep the progress.
func (h *Home) standbys() []*link.Conn {
	all := h.runnerConns()
	return all[:min(len(all), standbys)]
}

// runnerConns returns the connections of the other home nodes, by their names.
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

// progress returns how far an item has come, the attempt in progress included, with its text from a
// position in bytes on; the home's mutex is held.
func (r *run) progress(from int) ItemProgress {
	p := ItemProgress{Job: r.job, Item: r.item.ID, Events: r.events, LastEventID: r.lastID, Failures: r.failures, Ran: r.ran}
	var text strings.Builder
	base := r.text.Bytes()
	text.Write(base[min(from, len(base)):])
	if r.got != nil {
		r.got.mu.Lock()
		defer r.got.mu.Unlock()
	}
	if r.got != nil && r.got.events > 0 {
		if r.events > 0 && from <= len(base) {
			text.WriteByte('\n')
		}
		more := r.got.text.Bytes()
		text.Write(more[max(from-r.gotFrom(), 0):])
		p.Events += r.got.events
		p.LastEventID = r.got.lastEventID
	}
	p.Text = text.String()
	return p
}

// gotFrom is the position in the whole text of that of the attempt in progress.
func (r *run) gotFrom() int {
	if r.events == 0 {
		return 0
	}
	return r.text.Len() + 1 // after a line feed
}

// size is the length of the whole text in bytes; the home's mutex is held.
func (r *run) size() int {
	if r.got == nil {
		return r.text.Len()
	}
	r.got.mu.Lock()
	defer r.got.mu.Unlock()
	if r.got.events == 0 {
		return r.text.Len()
	}
	return r.gotFrom() + r.got.text.Len()
}

// delta returns the progress that the standbys don't have; the home's mutex is held.
func (r *run) delta() (itemDelta, bool) {
	if r.size() <= r.saved {
		return itemDelta{}, false
	}
	d := itemDelta{ItemProgress: r.progress(r.saved), From: r.saved}
	r.saved += len(d.Text)
	return d, true
}

// Checkpoints is what a home node keeps of the progress of the items of the home, for the case that it
// is the next one. It is safe for concurrent use.
type Checkpoints struct {
	// changed is told of each change.
	changed func()

	mu    sync.Mutex
	term  int64
	items map[[2]string]*keptProgress
}

type keptProgress struct {
	ItemProgress
	text strings.Builder
}

// NewCheckpoints returns what an earlier process of this node kept. changed is told of each change.
func NewCheckpoints(items []ItemProgress, changed func()) *Checkpoints {
	c := &Checkpoints{changed: changed, items: make(map[[2]string]*keptProgress, len(items))}
	for _, p := range items {
		kept := &keptProgress{ItemProgress: p}
		kept.text.WriteString(p.Text)
		c.items[[2]string{p.Job, p.Item}] = kept
	}
	return c
}

// take adds a notice of the home. An item whose text does not follow what is kept is forgotten.
func (c *Checkpoints) take(n checkpointNotice) {
	defer c.changed()
	c.mu.Lock()
	defer c.mu.Unlock()
	if n.Term < c.term {
		return
	}
	if n.Whole || n.Term > c.term {
		c.term, c.items = n.Term, make(map[[2]string]*keptProgress, len(n.Items))
	}
	for _, key := range n.Over {
		delete(c.items, key)
	}
	for _, d := range n.Items {
		key := [2]string{d.Job, d.Item}
		kept := c.items[key]
		if kept == nil || d.From == 0 {
			kept = &keptProgress{}
		}
		if kept.text.Len() != d.From {
			delete(c.items, key)
			continue
		}
		kept.ItemProgress = d.ItemProgress
		kept.text.WriteString(d.Text)
		c.items[key] = kept
	}
}

// Items returns what is kept.
func (c *Checkpoints) Items() []ItemProgress {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]ItemProgress, 0, len(c.items))
	for _, kept := range c.items {
		p := kept.ItemProgress
		p.Text = kept.text.String()
		out = append(out, p)
	}
	return out
}

// serveKept takes up the progress of items, or answers it.
func (c *Client) serveKept(in link.Incoming) error {
	switch {
	case c.opts.Kept == nil:
		in.Fail(merry.New("this node keeps no progress"))
	case in.Method == methodKeptProgress:
		in.Answer(handoverAnswer{Items: c.opts.Kept.Items()})
	default:
		var m checkpointNotice
		if err := in.Decode(&m); err != nil {
			return err
		}
		c.opts.Kept.take(m)
	}
	return nil
}
