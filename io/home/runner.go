package home

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rcrowley/go-metrics"

	"mothcart/core/poison"
	"mothcart/core/site"
	"mothcart/core/slot"
	"mothcart/io/forward"
	"mothcart/io/link"
	"mothcart/io/service"
)

const (
	// itemIdleTimeout is how long an item's stream may be idle before the attempt is considered failed. It doubles
	// with each attempt in a row that ended so without an event, up to maxItemIdleTimeout.
	itemIdleTimeout    = 1500 * time.Millisecond
	maxItemIdleTimeout = 24 * time.Second
	// maxItemText bounds the text of an item in bytes; it must fit into a chunk of results and into a frame between nodes.
	maxItemText = 512 << 10
	// DefaultOwnRuns is the number of items that a home runs itself before it dispatches further ones to
	// other nodes; each costs a wake-up for every event of its stream.
	DefaultOwnRuns = 64
	// progressWait is how long a home waits for the progress of an item that it has cancelled.
	progressWait = 300 * time.Millisecond
)

// itemCall is one attempt at an item.
type itemCall struct {
	// Run identifies the attempt in messages between home and runner.
	Run         uint64            `msgpack:"run"`
	ID          string            `msgpack:"id"`
	Host        string            `msgpack:"host"`
	Path        string            `msgpack:"path"`
	Header      map[string]string `msgpack:"hdr,omitempty"`
	Body        []byte            `msgpack:"body,omitempty"`
	Upstream    site.Upstream     `msgpack:"up"`
	LastEventID string            `msgpack:"last,omitempty"`
	IdleTimeout time.Duration     `msgpack:"idle,omitempty"`
	// Slot is the ID of the item's slot. Trial reports that the home is to be told once the upstream writes, Limited that
	// it is to be told if an answer names no rate.
	Slot    uint64 `msgpack:"slot,omitempty"`
	Trial   bool   `msgpack:"trial,omitempty"`
	Limited bool   `msgpack:"limited,omitempty"`
}

// itemOutcome is the outcome of an attempt at an item.
type itemOutcome struct {
	Result slot.Result `msgpack:"res"`
	// Status is the HTTP status of the answer, 0 without one; NotRun reports that the upstream refused the
	// item without running it.
	Status int  `msgpack:"st,omitempty"`
	NotRun bool `msgpack:"not,omitempty"`
	// Complete reports that the stream reached its end.
	Complete bool `msgpack:"done,omitempty"`
	// Text is the data of the attempt's events, joined by line feeds.
	Text        string `msgpack:"text,omitempty"`
	Events      int    `msgpack:"n,omitempty"`
	LastEventID string `msgpack:"last,omitempty"`
	Err         string `msgpack:"err,omitempty"`
	// Silent reports that the stream was idle for too long, Dropped that it held more than an item's text may, or broke
	// off without the ID of an event; none of it counts then.
	Silent  bool `msgpack:"mute,omitempty"`
	Dropped bool `msgpack:"long,omitempty"`
	// Pace is the pace that the upstream named; nil if it named none or the home knows it.
	Pace *paceRecord `msgpack:"pace,omitempty"`
}

// cancelRunNotice cancels an attempt at a runner.
type cancelRunNotice struct {
	Run uint64 `msgpack:"run"`
}

// RunnerOptions are the dependencies of a Runner; all are required.
type RunnerOptions struct {
	Client *service.Client
	Codec  forward.HeaderCodec
	// Leaving is called when an upstream's answer to an item says that the upstream is leaving.
	Leaving func(u site.Upstream, item string)
	// Refuses reports that this node knows that the upstream accepts no new requests.
	Refuses func(u site.Upstream) bool
	// TextBytes bounds the texts of all attempts together, in bytes; 0 means no bound.
	TextBytes int64
	Registry  metrics.Registry
}

// Runner makes attempts at items, for the home on this node or on another one. It is safe for concurrent use.
type Runner struct {
	opts  RunnerOptions
	texts *texts

	mu   sync.Mutex
	runs map[runKey]*activeRun
}

// NewRunner returns a runner.
func NewRunner(opts RunnerOptions) *Runner {
	return &Runner{opts: opts, texts: newTexts(opts.TextBytes, opts.Registry), runs: make(map[runKey]*activeRun)}
}

// stream is what an attempt at an item has received so far. It is safe for concurrent use.
type stream struct {
	// texts counts the bytes of the text; nil counts none.
	texts *texts

	mu sync.Mutex
	// text is the data of the events, joined by line feeds.
	text        bytes.Buffer
	events      int
	lastEventID string
	// taken is what texts has counted, in bytes.
	taken int64
}

// errNoTextRoom means that the texts of all attempts leave no room for one that is so long.
var errNoTextRoom = merry.Sentinel("no room for the text of the item")

// errItemTooLong means that a stream is no item's: its text exceeds maxItemText.
var errItemTooLong = merry.Sentinel("text of the item is too long")

// reset drops what was received.
func (s *stream) reset(lastEventID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.text, s.events, s.lastEventID = bytes.Buffer{}, 0, lastEventID
}

// add adds an event. It returns errItemTooLong if the text would exceed maxItemText, and errNoTextRoom if there is no room for it.
func (s *stream) add(e forward.Event) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	data := e.Data()
	if e.ID == "" && len(data) == 0 {
		return nil // empty lines or a comment
	}
	if s.text.Len()+len(data) >= maxItemText {
		return merry.Errorf("event after %d bytes: %w", s.text.Len(), errItemTooLong)
	}
	if n := int64(len(data) + 1); s.texts != nil {
		if !s.texts.take(s.taken, n) {
			return merry.Errorf("event after %d bytes: %w", s.text.Len(), errNoTextRoom)
		}
		s.taken += n
	}
	if s.events > 0 {
		s.text.WriteByte('\n')
	}
	s.events++
	s.text.Write(data)
	if e.ID != "" {
		s.lastEventID = e.ID
	}
	return nil
}

// itemHeader returns the headers of an item's request.
func itemHeader(h map[string]string) http.Header {
	out := make(http.Header, len(h))
	for name, value := range h {
		out.Set(name, value)
	}
	return out
}

// describe returns the parts of an item's prompt that other requests may share, and the item's size.
func (rn *Runner) describe(h map[string]string) ([]poison.Part, forward.Size) {
	header := itemHeader(h)
	return rn.opts.Codec.SharedParts(header), rn.opts.Codec.Size(header)
}

// itemReports receives what the answer to an item shows about its upstream. The functions must not block.
type itemReports struct {
	load  func(running, waiting int)
	wrote func()
	limit func(rate float64, named bool)
	// pace is nil if the outcome is to hold the pace.
	pace func(pace float64)
}

// do makes one attempt and adds its events to got.
func (rn *Runner) do(ctx context.Context, c itemCall, got *stream, reports itemReports) itemOutcome {
	if rn.opts.Refuses(c.Upstream) {
		return itemOutcome{Result: slot.Moved, LastEventID: c.LastEventID, Err: "upstream is leaving or gone"}
	}
	rn.texts.begin()
	got.texts = rn.texts
	defer func() { rn.texts.end(got.taken) }()
	header := itemHeader(c.Header)
	got.lastEventID = c.LastEventID
	var named paceNote
	a := forward.Do(ctx, rn.opts.Client, rn.opts.Codec, forward.Call{
		ID: c.ID, Method: http.MethodPost, Host: c.Host, Path: c.Path, Header: header, Body: c.Body,
		Attempt: forward.Attempt{Upstream: c.Upstream, LastEventID: c.LastEventID}, IdleTimeout: cmp.Or(c.IdleTimeout, itemIdleTimeout),
		OnLoad: func(m forward.AnswerInfo) {
			reports.load(m.Running, m.Waiting)
			named.observe(m.Pace, reports.pace)
		},
		OnLeaving: func() { rn.opts.Leaving(c.Upstream, c.ID) },
		Continues: c.LastEventID != "", After: c.LastEventID,
		OnLimit: func(rate float64, named bool) {
			if named || c.Limited {
				reports.limit(rate, named)
			}
		},
		OnWrote: func() {
			if c.Trial {
				reports.wrote()
			}
		},
	}, &forward.Sink{
		Start: func(int, http.Header) error { return nil },
		Event: func(e forward.Event, _ bool) error { return got.add(e) },
	})
	unnumbered := !a.Success() && got.events > 0 && got.lastEventID == ""
	dropped := unnumbered || errors.Is(a.Err, errItemTooLong) || errors.Is(a.Err, errNoTextRoom)
	if dropped {
		got.reset(c.LastEventID)
	}
	out := itemOutcome{
		Result: a.Result(ctx), Status: a.Status, NotRun: a.Info.NotRun, Complete: a.Success(),
		Text: got.text.String(), Events: got.events, LastEventID: got.lastEventID, Dropped: dropped, Pace: named.record(),
	}
	if a.Err != nil {
		out.Err, out.Silent = a.Err.Error(), errors.Is(a.Err, forward.ErrSilent)
	}
	return out
}

// serve makes an attempt for the home of a term, on another node, and answers with its outcome.
func (rn *Runner) serve(in link.Incoming, term int64, reports func(c itemCall) itemReports) error {
	var c itemCall
	if err := in.Decode(&c); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	key := runKey{term: term, run: c.Run}
	r := &activeRun{item: c.ID, cancel: cancel, conn: in.Conn(), attached: make(chan struct{}, 1)}
	rn.mu.Lock()
	rn.runs[key] = r
	rn.mu.Unlock()
	go func() {
		defer cancel()
		go rn.watch(ctx, key, r)
		rn.end(key, r, in, rn.do(ctx, c, new(stream), reports(c)))
	}()
	return nil
}

// cancel cancels an attempt; the answer to the home still holds the progress that it made. It returns the item and the term of
// the home, false if the attempt has ended.
func (rn *Runner) cancel(conn *link.Conn, run uint64) (string, int64, bool) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	for key, r := range rn.runs {
		if key.run == run && r.conn == conn {
			r.cancel()
			return r.item, key.term, true
		}
	}
	return "", 0, false
}

// runnerNode is a node that runs items for the home.
type runnerNode struct {
	conn    *link.Conn
	name    string
	running int
	// stopped is closed when the node gets no more items and those that it runs are to be cancelled.
	stopped chan struct{}
}

func (n *runnerNode) stop() { close(n.stopped) }

// isConnected reports that the connection has not ended; the node is dropped some time after its end.
func (n *runnerNode) isConnected() bool {
	select {
	case <-n.conn.Done():
		return false
	default:
		return true
	}
}

// execute makes an attempt on this node or, if this node already runs OwnRuns items and there is a runner, on
// the runner with the fewest items. It returns the outcome and the name of the node that made the attempt.
func (h *Home) execute(ctx context.Context, c itemCall, got *stream) (itemOutcome, string) {
	node := h.pickRunner()
	if node == nil {
		defer h.endRun(nil)
		out := h.opts.Runner.do(ctx, c, got, itemReports{
			load:  func(running, waiting int) { h.pool.Report(c.Upstream.ID, running, waiting) },
			wrote: func() { h.pool.Wrote(itemKey(c.Slot)) },
			limit: func(rate float64, named bool) { h.pool.Limit(itemKey(c.Slot), rate, named) },
			pace:  func(pace float64) { h.applyItemPace(c.Slot, &paceRecord{Percent: percent(pace)}) },
		})
		return out, h.opts.VMID
	}
	defer h.endRun(node)
	if ctx.Err() != nil {
		return abandoned(c, ctx.Err()), node.name
	}
	c.Run = h.nextID.Add(1)
	remote := newRemoteRun(c.ID)
	h.mu.Lock()
	h.remoteRuns[c.Run] = remote
	h.mu.Unlock()
	defer h.forgetRemote(c.Run, remote)
	await := node.conn.Begin(methodRun, c) // the runner ignores a notice that cancels a later call
	// The call continues for progressWait after the attempt is cancelled, so that its progress is not lost.
	call, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-ended:
			return
		case <-ctx.Done():
		case <-node.stopped:
		}
		node.conn.Notify(methodCancelRun, cancelRunNotice{Run: c.Run})
		time.AfterFunc(progressWait, cancel)
	}()
	var out itemOutcome
	err := await(call, &out)
	if err == nil {
		return out, node.name
	}
	if node.conn.Silent() {
		if out, ok := h.awaitSilent(ctx, c, remote); ok {
			return out, node.name
		}
	}
	return abandoned(c, err), node.name
}

// pickRunner returns the node that makes the next attempt, nil for the home itself.
func (h *Home) pickRunner() *runnerNode {
	h.mu.Lock()
	defer h.mu.Unlock()
	var best *runnerNode
	for _, n := range h.runners {
		if n.isConnected() && (best == nil || n.running < best.running) {
			best = n
		}
	}
	if best == nil || h.ownRunning < h.opts.OwnRuns {
		h.ownRunning++
		return nil
	}
	best.running++
	return best
}

func (h *Home) endRun(n *runnerNode) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n == nil {
		h.ownRunning--
		return
	}
	n.running--
}
