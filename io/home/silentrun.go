package home

import (
	"context"
	"time"

	"mothcart/core/slot"
	"mothcart/io/link"
)

const (
	// silenceGrace is how long a home waits, after the link to a node has ended in silence, for the node to come back with
	// the items that it runs. A node that was frozen, or whose link was, comes back within a few hundred milliseconds;
	// one that is gone delays its items by as much.
	silenceGrace = 1500 * time.Millisecond
	// runGrace is how long a node goes on with such an item without a home. It may have noticed the silence later.
	runGrace = 2 * time.Second
)

// openRunsNotice names the attempts that a node goes on with after the link to the home has ended.
type openRunsNotice struct {
	Runs []uint64 `msgpack:"runs"`
}

// endedRunNotice is the outcome of such an attempt at an item.
type endedRunNotice struct {
	Run     uint64      `msgpack:"run"`
	Item    string      `msgpack:"item"`
	Outcome itemOutcome `msgpack:"out"`
}

// runKey names an attempt; each home counts its own.
type runKey struct {
	term int64
	run  uint64
}

// activeRun is an attempt that a runner makes for a home on another node. The runner's mutex guards it.
type activeRun struct {
	item   string
	cancel context.CancelFunc
	conn   *link.Conn
	// outcome is set once the attempt has ended; its answer is lost if the link is silent already.
	outcome *itemOutcome
	// attached receives a value when the home is back.
	attached chan struct{}
}

// watch cancels an attempt when nobody waits for its outcome any more: at once if the connection to the home was closed,
// after runGrace if it ended in silence.
func (rn *Runner) watch(ctx context.Context, key runKey, r *activeRun) {
	for {
		rn.mu.Lock()
		conn := r.conn
		rn.mu.Unlock()
		select {
		case <-conn.Done():
		case <-ctx.Done():
			return
		}
		if !conn.Silent() {
			break
		}
		select {
		case <-r.attached:
			continue
		case <-time.After(runGrace):
		}
		break
	}
	r.cancel()
	rn.forget(key, r)
}

func (rn *Runner) forget(key runKey, r *activeRun) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	if rn.runs[key] == r {
		delete(rn.runs, key)
	}
}

// end passes on the outcome of an attempt, and keeps it for runGrace.
func (rn *Runner) end(key runKey, r *activeRun, in link.Incoming, out itemOutcome) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	if rn.runs[key] != r {
		return // nobody waits for it
	}
	r.outcome = &out
	if isOpen(in.Conn()) {
		in.Answer(out)
	} else if isOpen(r.conn) {
		r.notifyEnd(key)
	}
	time.AfterFunc(runGrace, func() { rn.forget(key, r) })
}

func (r *activeRun) notifyEnd(key runKey) {
	r.conn.Notify(methodEndedRun, endedRunNotice{Run: key.run, Item: r.item, Outcome: *r.outcome})
}

func isOpen(c *link.Conn) bool {
	select {
	case <-c.Done():
		return false
	default:
		return true
	}
}

// attach reports the attempts that go on to the home that is back, or cancels them if another home has taken over.
func (rn *Runner) attach(conn *link.Conn, term int64) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	var open []uint64
	for key, r := range rn.runs {
		if isOpen(r.conn) {
			continue
		}
		if key.term != term {
			r.cancel()
			delete(rn.runs, key)
			continue
		}
		r.conn = conn
		if r.outcome != nil {
			r.notifyEnd(key)
			continue
		}
		open = append(open, key.run)
		select {
		case r.attached <- struct{}{}:
		default: // watch has not seen the one before
		}
	}
	if len(open) > 0 {
		conn.Notify(methodOpenRuns, openRunsNotice{Runs: open})
	}
}

// remoteRun is an attempt that another node makes for this home.
type remoteRun struct {
	item string
	// attached receives the connection on which the node has come back, ended the outcome of the attempt.
	attached chan *link.Conn
	ended    chan itemOutcome
}

func newRemoteRun(item string) *remoteRun {
	return &remoteRun{item: item, attached: make(chan *link.Conn, 1), ended: make(chan itemOutcome, 1)}
}

// openRuns records that a node is back and goes on with attempts. It cancels those that nobody waits for.
func (h *Home) openRuns(conn *link.Conn, m openRunsNotice) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, run := range m.Runs {
		r := h.remoteRuns[run]
		if r == nil {
			conn.Notify(methodCancelRun, cancelRunNotice{Run: run})
			continue
		}
		select {
		case <-r.attached: // an earlier one, which has ended as well
		default:
		}
		r.attached <- conn
	}
}

// forgetRemote ends the wait for an attempt. A node that has come back with it unnoticed would go on with it.
func (h *Home) forgetRemote(id uint64, r *remoteRun) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.remoteRuns, id)
	select {
	case conn := <-r.attached:
		conn.Notify(methodCancelRun, cancelRunNotice{Run: id})
	default:
	}
}

// endRemote records the outcome of an attempt at a node that was back.
func (h *Home) endRemote(m endedRunNotice) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := h.remoteRuns[m.Run]; r != nil && r.item == m.Item {
		select {
		case r.ended <- m.Outcome:
		default: // it is known
		}
	}
}

// awaitSilent waits for the outcome of an attempt at a node whose link has ended in silence. Cancelled attempts end within
// progressWait, if the node is back.
func (h *Home) awaitSilent(ctx context.Context, call itemCall, r *remoteRun) (itemOutcome, bool) {
	h.metrics.silentRuns.Inc(1)
	h.opts.Log.Info().Str("item", call.ID).Uint64("run", call.Run).Msg("runnerSilent")
	var conn *link.Conn
	var lost <-chan struct{}
	end, cancelled := time.After(silenceGrace), ctx.Done()
	for {
		select {
		case out := <-r.ended:
			return out, true
		case conn = <-r.attached:
			lost, end = conn.Done(), nil
			h.metrics.keptRuns.Inc(1)
			h.opts.Log.Info().Str("item", call.ID).Uint64("run", call.Run).Msg("runnerBack")
		case <-lost:
			if !conn.Silent() {
				return itemOutcome{}, false
			}
			conn, lost, end = nil, nil, time.After(silenceGrace)
		case <-cancelled:
			if conn == nil {
				return itemOutcome{}, false
			}
			conn.Notify(methodCancelRun, cancelRunNotice{Run: call.Run})
			cancelled, end = nil, time.After(progressWait)
		case <-end:
			return itemOutcome{}, false
		}
	}
}

// abandoned is the outcome of an attempt of which nothing is known any more.
func abandoned(c itemCall, err error) itemOutcome {
	return itemOutcome{Result: slot.Abandoned, LastEventID: c.LastEventID, Err: err.Error()}
}
