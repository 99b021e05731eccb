package home

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/core/batch"
	"mothcart/io/clock"
	"mothcart/io/link"
)

const (
	// handoverTimeout bounds the handover call to the previous home, which may no longer run.
	handoverTimeout = 700 * time.Millisecond
	// handoverWait is how long a home that has released its lease waits for the next home's handover call.
	handoverWait = 1500 * time.Millisecond
)

// handoverRequest asks a home to stop for the home of a later term.
type handoverRequest struct {
	By Announcement `msgpack:"by"`
}

// fetchProgressRequest asks a node to send the handover request to the home Before, on behalf of the home
// By.
type fetchProgressRequest struct {
	Before Announcement `msgpack:"before"`
	By     Announcement `msgpack:"by"`
}

// handoverAnswer is the progress of items whose results are not listed yet.
type handoverAnswer struct {
	Items []ItemProgress `msgpack:"items,omitempty"`
}

// ItemProgress is the part of an item's stream that was received so far.
type ItemProgress struct {
	Job         string `msgpack:"job"`
	Item        string `msgpack:"item"`
	Text        string `msgpack:"text"`
	Events      int    `msgpack:"n"`
	LastEventID string `msgpack:"last"`
	// Version is the software version of the upstreams that sent the text.
	Version  string `msgpack:"ver,omitempty"`
	Failures int    `msgpack:"fail,omitempty"`
	// State is set if the item has finished and its result is not listed yet.
	State batch.State `msgpack:"state,omitempty"`
	// Ran is the total duration of the attempts that made the progress.
	Ran time.Duration `msgpack:"ran"`
}

// FetchProgress asks the home of an earlier term to stop and returns the progress of its items. It fails
// if that home can't be reached.
func FetchProgress(ctx context.Context, dial Dial, before, by Announcement) ([]ItemProgress, error) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	var a handoverAnswer
	if err := callOnce(ctx, dial, before.Address, methodHandover, handoverRequest{By: by}, &a); err != nil {
		return nil, merry.Errorf("ask home of term %d: %w", before.Term, err)
	}
	return a.Items, nil
}

// handOver stops this home and answers with the progress of its items.
func (h *Home) handOver(in link.Incoming) error {
	var m handoverRequest
	if err := in.Decode(&m); err != nil {
		return err
	}
	if m.By.Term <= h.opts.Term {
		return merry.Errorf("handover to term %d: %w", m.By.Term, ErrNoHome)
	}
	h.done.Go(func() {
		items, left := withinMessage(h.stopItems())
		h.opts.Log.Info().Str("to", m.By.VM).Int64("term", h.opts.Term).Int64("later", m.By.Term).Int("items", len(items)).Int("leftOut", left).Msg("handedOver")
		in.Answer(handoverAnswer{Items: items})
		h.opts.Announce(m.By)
		h.markHandedOver()
	})
	return nil
}

// stopItems cancels all runs and returns their progress and the results that are not listed yet. No item
// starts afterwards.
func (h *Home) stopItems() []ItemProgress {
	h.mu.Lock()
	h.replaced = true
	running := 0
	for _, j := range h.jobs {
		for _, r := range j.runs {
			if r.cancel != nil {
				running++
				r.cancel(errCancelled)
			}
		}
	}
	h.mu.Unlock()
	if running > 0 {
		select {
		case <-time.After(progressWait):
		case <-h.ctx.Done():
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []ItemProgress
	for id, j := range h.jobs {
		for _, r := range j.runs {
			if p := r.progress(0); p.Events > 0 && !r.ended {
				out = append(out, p)
			}
		}
		for _, result := range j.finished {
			out = append(out, finishedProgress(id, result))
		}
	}
	return out
}

// loadProgress loads the progress of the previous home's items: from this node's own checkpoints, and from
// that home, which is asked to stop. Without an answer from that home and without own checkpoints, it asks
// other home nodes for theirs.
func (h *Home) loadProgress() {
	defer close(h.progressLoaded)
	own := h.opts.Checkpoints.Items()
	h.mergeProgress("own", own)
	if h.opts.Before.Address != "" && h.opts.Before.VM != h.opts.VMID {
		by := Announcement{Term: h.opts.Term, VM: h.opts.VMID, Address: h.opts.Address}
		if items, ok := h.fetchProgress(by); ok {
			h.mergeProgress("home", items)
			return
		}
	}
	if len(own) == 0 {
		h.fetchCheckpoints()
	}
}

const (
	// checkpointsTimeout bounds a call that fetches the checkpoints of a home node.
	checkpointsTimeout = 300 * time.Millisecond
	// standbysWait is how long the home waits for home nodes with checkpoints to connect: processes that
	// start together connect within it.
	standbysWait = 400 * time.Millisecond
	// standbysPoll is the polling interval of the connected home nodes.
	standbysPoll = 50 * time.Millisecond
)

// fetchCheckpoints fetches checkpoints from home nodes as they connect, until one has any.
func (h *Home) fetchCheckpoints() {
	asked := make(map[*link.Conn]bool)
	for end := h.opts.Now().Add(standbysWait); ; {
		var found atomic.Bool
		var group sync.WaitGroup
		for _, conn := range h.runnerConns() {
			if asked[conn] {
				continue
			}
			asked[conn] = true
			group.Go(func() {
				if h.fetchCheckpointsFrom(conn) {
					found.Store(true)
				}
			})
		}
		group.Wait()
		if found.Load() || !h.opts.Now().Before(end) || clock.Sleep(h.ctx, standbysPoll) != nil {
			return
		}
	}
}

// fetchCheckpointsFrom merges the checkpoints of a home node. It reports whether there are any.
func (h *Home) fetchCheckpointsFrom(conn *link.Conn) bool {
	ctx, cancel := context.WithTimeout(h.ctx, checkpointsTimeout)
	defer cancel()
	var a handoverAnswer
	if err := conn.Call(ctx, methodFetchCheckpoints, struct{}{}, &a); err != nil {
		h.opts.Log.Info().Int64("term", h.opts.Term).Err(err).Msg("noKeptProgress")
		return false
	}
	h.mergeProgress("standby", a.Items)
	return len(a.Items) > 0
}

// mergeProgress records the progress of items; for each item the furthest progress is kept.
func (h *Home) mergeProgress(source string, items []ItemProgress) {
	if len(items) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range items {
		key := [2]string{p.Job, p.Item}
		if current := h.progress[key]; current.State == "" && (p.State != "" || current.Events < p.Events) {
			h.progress[key] = p
		}
	}
	h.opts.Log.Info().Int64("term", h.opts.Term).Str("source", source).Int("items", len(items)).Msg("progressTaken")
}

const (
	// handoverNodes is the number of nodes that are asked to make the handover call to the previous home.
	handoverNodes = 2
	// nodesWait is how long the home waits for nodes to connect before it asks them for the handover; it
	// takes some round trips until they know of this home.
	nodesWait = 100 * time.Millisecond
)

// fetchProgress makes the handover call to the previous home, directly and in parallel through nodes. They
// may still reach that home when this one can't, and without the call the previous home would continue to
// use slots that this one grants to others. It reports false if no call reaches the previous home.
func (h *Home) fetchProgress(by Announcement) ([]ItemProgress, bool) {
	type outcome struct {
		path  string
		items []ItemProgress
		err   error
	}
	ctx, cancel := context.WithCancel(h.ctx)
	defer cancel()
	outcomes := make(chan outcome, 1+handoverNodes)
	try := func(path string, fetch func() ([]ItemProgress, error)) {
		go func() {
			items, err := fetch()
			outcomes <- outcome{path: path, items: items, err: err}
		}()
	}
	try("direct", func() ([]ItemProgress, error) { return FetchProgress(ctx, h.opts.Dial, h.opts.Before, by) })
	pending := 1
	for asked := time.After(nodesWait); pending > 0; {
		select {
		case <-asked:
			asked = nil
			for owner, conn := range h.someNodes(handoverNodes) {
				pending++
				try(owner, func() ([]ItemProgress, error) { return fetchViaNode(ctx, conn, h.opts.Before, by) })
			}
		case o := <-outcomes:
			pending--
			if o.err == nil {
				return o.items, true
			}
			h.opts.Log.Info().Int64("term", h.opts.Term).Str("path", o.path).Err(o.err).Msg("noHandover")
		}
	}
	return nil, false
}

// someNodes returns the connections of at most n nodes, by owner.
func (h *Home) someNodes(n int) map[string]*link.Conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[string]*link.Conn, n)
	for owner, conn := range h.nodes {
		if len(out) < n {
			out[owner] = conn
		}
	}
	return out
}

// fetchViaNode asks a node to make the handover call to the previous home.
func fetchViaNode(ctx context.Context, conn *link.Conn, before, by Announcement) ([]ItemProgress, error) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	var a handoverAnswer
	if err := conn.Call(ctx, methodFetchProgress, fetchProgressRequest{Before: before, By: by}, &a); err != nil {
		return nil, merry.Errorf("fetch progress from home of term %d through a node: %w", before.Term, err)
	}
	return a.Items, nil
}

// fetchProgress makes the handover call to an earlier home, for the home that this node is connected to.
func (c *Client) fetchProgress(in link.Incoming) error {
	var m fetchProgressRequest
	if err := in.Decode(&m); err != nil {
		return err
	}
	go func() {
		items, err := FetchProgress(context.Background(), c.opts.Connect, m.Before, m.By)
		if err != nil {
			in.Fail(err)
			return
		}
		c.opts.Log.Info().Str("from", m.Before.VM).Str("to", m.By.VM).Int("items", len(items)).Msg("progressPassedOn")
		in.Answer(handoverAnswer{Items: items})
	}()
	return nil
}

// progressLifetime is how long the progress of the previous home's items is kept for jobs that this home doesn't have yet.
const progressLifetime = time.Minute

// dropProgress drops what is left of a job's progress at the previous home, since it must not become that of a later job with
// its ID; the mutex is held.
func (h *Home) dropProgress(job string) {
	maps.DeleteFunc(h.progress, func(key [2]string, _ ItemProgress) bool { return key[0] == job })
}

// sweepProgress drops the progress of jobs that no longer exist; the mutex is held.
func (h *Home) sweepProgress(now time.Time) {
	if len(h.loading) == 0 && now.Sub(h.startedAt) > progressLifetime {
		clear(h.progress)
	}
}

// finishedProgress returns the progress of a finished item whose result is not listed yet.
func finishedProgress(job string, r batch.Result) ItemProgress {
	return ItemProgress{Job: job, Item: r.Item, Text: r.Text, State: r.State}
}

// resume gives a run the progress that an earlier home had made. It reports true if the item has already
// finished; the mutex is held.
func (h *Home) resume(j *job, r *run) bool {
	p, ok := h.progress[[2]string{r.job, r.item.ID}]
	if !ok {
		return false
	}
	delete(h.progress, [2]string{r.job, r.item.ID})
	if p.State != "" {
		h.finish(r.job, j, batch.Result{Item: p.Item, State: p.State, Text: p.Text})
		return true
	}
	r.failures = p.Failures
	if p.Version == "" || p.LastEventID == "" {
		return false // saved by an earlier release, or events without IDs: no upstream can go on with it
	}
	r.text.Append(p.Text)
	r.events, r.lastID, r.version, r.ranFor = p.Events, p.LastEventID, p.Version, p.Ran
	return false
}
