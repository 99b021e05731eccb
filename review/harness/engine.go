package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the interval at which an engine writes its entry.
const heartbeat = 1200 * time.Millisecond

// outcome is how an engine answers a request: with the events, or with a status after a time.
type outcome struct {
	status int
	after  time.Duration
}

// engineOptions describe an engine.
type engineOptions struct {
	id, service, zone, address string
	slots                      int
	// events returns the number of events of a request, text the data of one of them.
	events func(id string) int
	text   func(id string, n int) string
	// pace is the time between two events.
	pace time.Duration
	// fails returns how a request fails; its status is 0 if it doesn't.
	fails func(id string) outcome
	// bodyBytes is the size of an answer that is no stream; 0 means that all answers are streams.
	bodyBytes int
}

// engine is a stand-in of a model engine. It is safe for concurrent use.
type engine struct {
	opts   engineOptions
	store  *store
	record *record
	slots  chan struct{}
	born   int64

	mu  sync.Mutex
	seq int
	// running holds when each request that runs began; ended when the last complete run ended.
	running map[string]time.Time
	ended   time.Time
	// arrivals are the requests that arrived, answered the times of the failures, each by ID.
	arrivals, answered map[string][]time.Time
}

func newEngine(l net.Listener, s *store, rec *record, opts engineOptions) *engine {
	e := &engine{
		opts: opts, store: s, record: rec, slots: make(chan struct{}, opts.slots), born: time.Now().UnixMilli(),
		running: make(map[string]time.Time), arrivals: make(map[string][]time.Time), answered: make(map[string][]time.Time),
	}
	go func() { _ = (&http.Server{Handler: e}).Serve(l) }() // ends with the process
	e.beat()
	go func() {
		for range time.Tick(heartbeat) {
			e.beat()
		}
	}()
	return e
}

func (e *engine) beat() {
	e.mu.Lock()
	e.seq++
	seq := e.seq
	e.mu.Unlock()
	e.store.put("servers", e.opts.id, map[string]any{
		"service": e.opts.service, "address": e.opts.address, "zone": e.opts.zone, "version": "v1", "slots": e.opts.slots,
		"state": "ready", "cold_left_ms": 0, "stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
		"seq": seq, "born": e.born,
	})
}

// state returns the number of requests that run and when the last complete run ended.
func (e *engine) state() (running int, ended time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running), e.ended
}

// times returns when a request arrived and when it was answered with a failure.
func (e *engine) times(id string) (arrivals, answered []time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append(arrivals, e.arrivals[id]...), append(answered, e.answered[id]...)
}

// ServeHTTP answers one request.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Mothcart-Request-Id")
	w.Header().Set("Mothcart-Request-Id", id)
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	if expected := r.Header.Get("Mothcart-Expect-Instance"); expected != "" && expected != e.opts.id {
		w.Header().Set("Mothcart-Instance-Id", e.opts.id)
		w.Header().Set("Mothcart-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	e.arrivals[id] = append(e.arrivals[id], time.Now())
	w.Header().Set("Mothcart-Server-Load", fmt.Sprintf("%d,%d,%d", len(e.running), 0, e.opts.slots))
	e.mu.Unlock()
	select {
	case e.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-e.slots }()
	e.mu.Lock()
	e.running[id] = time.Now()
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.running, id)
	}()
	w.Header().Set("Mothcart-Response-Stamp", "stamp-"+id)
	if f := e.opts.fails(id); f.status != 0 {
		e.fail(w, r, id, f)
		return
	}
	if e.opts.bodyBytes > 0 {
		e.page(w, id)
		return
	}
	e.stream(w, r, id)
}

func (e *engine) fail(w http.ResponseWriter, r *http.Request, id string, f outcome) {
	if !pause(r.Context(), f.after) {
		e.record.printf("engine %s: request %s was cut", e.opts.id, id)
		return
	}
	e.mu.Lock()
	e.answered[id] = append(e.answered[id], time.Now())
	e.mu.Unlock()
	w.WriteHeader(f.status)
	e.record.printf("engine %s: request %s answered with %d", e.opts.id, id, f.status)
}

// page answers with a body of the usual size.
func (e *engine) page(w http.ResponseWriter, id string) {
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(e.opts.bodyBytes))
	n, err := w.Write(bytes.Repeat([]byte("p"), e.opts.bodyBytes))
	e.record.printf("engine %s: request %s answered with 200 and %d bytes, error %v", e.opts.id, id, n, err)
}

func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	last := e.opts.events(id)
	conn := http.NewResponseController(w)
	for n := from + 1; n <= last; n++ {
		if !pause(r.Context(), e.opts.pace) {
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, e.opts.text(id, n))
		if conn.Flush() != nil {
			return
		}
	}
	e.mu.Lock()
	e.ended = time.Now()
	e.mu.Unlock()
	e.record.printf("engine %s: request %s complete, events %d to %d", e.opts.id, id, from+1, last)
}

// output is the complete output of a request: the data of its events, separated by line feeds.
func (o engineOptions) output(id string) string {
	var lines []string
	for n := 1; n <= o.events(id); n++ {
		lines = append(lines, o.text(id, n))
	}
	return strings.Join(lines, "\n")
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
