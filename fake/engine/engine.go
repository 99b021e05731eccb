// Package engine is a fake of a model engine.
//
// Model is an engine with continuous batching in virtual time: it limits the running sequences and the
// KV memory, has a prefix cache and knows no priorities. Engine serves a Model over HTTP in real time
// with OpenAI's endpoints, resume and cancel of streams, delayed load reports, delayed cache events and
// orders. Faults are set by Options or by calls: Crash, stalled streams, answers with another request's
// ID, and chunks out of order. A prompt that contains "[hopeless]" gets status 500, and one that
// contains "[crash]" crashes the engine.
//
// Usage:
//
//	e, err := engine.New(engine.NewOptions().WithModels("rota-scribe"))
//	defer e.Close()
//	http.Post("http://"+e.Address()+"/v1/chat/completions", "application/json", body)
//	e.Ran(requestID) // how often the request was run
//
//	m := engine.NewModel(engine.NewOptions())
//	m.Submit(0, engine.Request{ID: "a", PromptTokens: 100, MaxTokens: 10})
//	for end, busy := m.Next(); busy; end, busy = m.Next() {
//		m.Step(end)
//	}
package engine

import (
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// Engine serves a Model over HTTP. Its methods are safe for concurrent use.
type Engine struct {
	opts            Options
	address         string
	wake            chan struct{}
	closed          chan struct{}
	group           sync.WaitGroup
	mu              sync.Mutex
	rng             *rand.Rand
	start           time.Time
	model           *Model
	streams         map[string]*stream
	server          *http.Server
	orders          orders
	stalledShare    float64
	mismatchedShare float64
	shuffledShare   float64
	isClosed        bool
}

// New listens on the address of opts and starts the engine.
func New(opts Options) (*Engine, error) {
	e := &Engine{
		opts:            opts,
		address:         opts.Address,
		wake:            make(chan struct{}, 1),
		closed:          make(chan struct{}),
		rng:             rand.New(rand.NewPCG(opts.Seed, opts.Seed+1)),
		start:           time.Now(),
		model:           NewModel(opts),
		streams:         map[string]*stream{},
		orders:          newOrders(opts),
		stalledShare:    opts.StalledShare,
		mismatchedShare: opts.MismatchedShare,
		shuffledShare:   opts.ShuffleShare,
	}
	if err := e.listen(); err != nil {
		return nil, err
	}
	e.group.Add(1)
	go func() {
		defer e.group.Done()
		e.run()
	}()
	return e, nil
}

// Address returns host:port of the HTTP server; it stays the same across crashes.
func (e *Engine) Address() string { return e.address }

// Close closes all connections and stops the engine.
func (e *Engine) Close() {
	e.mu.Lock()
	if e.isClosed {
		e.mu.Unlock()
		return
	}
	e.isClosed = true
	server := e.server
	e.mu.Unlock()
	close(e.closed)
	if server != nil {
		_ = server.Close()
	}
	e.group.Wait()
}

// Crash closes all connections, loses all state and refuses connections until Restart.
func (e *Engine) Crash() {
	e.mu.Lock()
	server := e.server
	e.server = nil
	e.model.Crash()
	for _, s := range e.streams {
		s.fail(endAborted)
	}
	e.streams = map[string]*stream{}
	e.orders = newOrders(e.opts)
	e.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// Restart listens again after a crash.
func (e *Engine) Restart() error {
	e.mu.Lock()
	up := e.server != nil
	e.mu.Unlock()
	if up {
		return nil
	}
	return e.listen()
}

// SetStalledShare sets the share of new streams that stop sending midway while the connection stays open.
func (e *Engine) SetStalledShare(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stalledShare = share
}

// SetMismatchedShare sets the share of new answers that carry another request's ID.
func (e *Engine) SetMismatchedShare(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mismatchedShare = share
}

// SetShuffleShare sets the share of new streams that send two chunks in the wrong order.
func (e *Engine) SetShuffleShare(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.shuffledShare = share
}

// Ran returns how often a request was admitted anew; a resume is not counted.
func (e *Engine) Ran(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.Ran(id)
}

// Dispatches returns how many requests were admitted anew.
func (e *Engine) Dispatches() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.Dispatches()
}

// Running returns the current numbers of running and of waiting requests, not delayed like a report.
func (e *Engine) Running() (running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.model.currentLoad(e.now())
	return l.Running, l.Waiting
}

func (e *Engine) listen() error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return merry.Errorf("listen on %s: %w", e.address, err)
	}
	server := &http.Server{Handler: e.handler(), ReadHeaderTimeout: 10 * time.Second}
	e.mu.Lock()
	e.address = l.Addr().String()
	e.server = server
	e.mu.Unlock()
	e.group.Add(1)
	go func() {
		defer e.group.Done()
		_ = server.Serve(l)
	}()
	return nil
}

// now returns the time since the start of the engine.
func (e *Engine) now() time.Duration { return time.Since(e.start) }

// run advances the model in real time until the engine is closed.
func (e *Engine) run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		e.mu.Lock()
		crash := e.stepUntil(e.now())
		end, busy := e.model.Next()
		e.mu.Unlock()
		if crash {
			e.Crash()
			continue
		}
		wait := time.Hour
		if busy {
			wait = end - e.now()
		}
		timer.Reset(wait)
		select {
		case <-timer.C:
		case <-e.wake:
		case <-e.closed:
			return
		}
	}
}

// stepUntil ends all steps that are due and applies their events to the streams; it reports whether a
// request makes the engine crash.
func (e *Engine) stepUntil(now time.Duration) (crash bool) {
	for e.model.Step(now) {
	}
	for _, event := range e.model.Events() {
		s := e.streams[event.ID]
		if s == nil {
			continue
		}
		if event.Kind == Admitted && s.crashes {
			return true
		}
		s.apply(event)
	}
	return false
}

// wakeLoop makes run check the model again.
func (e *Engine) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
