package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// valueBytes is the largest object that the store takes, as the settings say.
const valueBytes = 1 << 20

// pageObjects and pageBytes bound one page of a listing.
const (
	pageObjects = 500
	pageBytes   = 1 << 20
)

// storeFault is how the store misbehaves.
type storeFault struct {
	// down makes the store answer every call with 503, which promises that nothing was done.
	down bool
	// lose is asked of each write whether it is executed and not answered; nil means that none is.
	lose func(method, kind, name string) bool
}

type object struct {
	kind, name        string
	revision, created int64
	spec, status      json.RawMessage
	deleted           bool
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"create_rev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type wireObject struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

func (o object) wire() wireObject {
	return wireObject{Metadata: metadata{Name: o.name, Revision: o.revision, Created: o.created, Finalizers: []string{}}, Spec: o.spec, Status: o.status}
}

// store is a stand-in of the platform's metadata store. It is safe for concurrent use.
type store struct {
	record *record
	// plainConflict makes the 409 of a creation name the reason instead of the object that exists.
	plainConflict bool

	mu       sync.Mutex
	revision int64
	objects  map[string]*object
	history  []object
	changed  chan struct{}
	fault    storeFault
}

func newStore(l net.Listener, rec *record) *store {
	s := &store{record: rec, revision: 1, objects: make(map[string]*object), changed: make(chan struct{})}
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }() // ends with the process
	return s
}

func (s *store) setFault(f storeFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// put writes the spec of an object, as the operator and the engines do.
func (s *store) put(kind, name string, spec any) {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err) // the cases write only values that can be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(kind, name, func(o *object) { o.spec = b })
}

// change changes an object; the mutex is held.
func (s *store) change(kind, name string, change func(o *object)) object {
	o := s.objects[kind+"/"+name]
	if o == nil {
		o = &object{kind: kind, name: name, created: s.revision + 1}
		s.objects[kind+"/"+name] = o
	}
	before := *o
	change(o)
	if o.revision > 0 && string(before.spec) == string(o.spec) && string(before.status) == string(o.status) {
		return *o
	}
	s.revision++
	o.revision = s.revision
	s.add(*o)
	return *o
}

// add appends a change to the history; the mutex is held.
func (s *store) add(o object) {
	s.history = append(s.history, o)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	name, isStatus := strings.CutSuffix(name, "/status")
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	if fault.down {
		reply(w, http.StatusServiceUnavailable, nil)
		return
	}
	if r.Method == http.MethodGet {
		s.read(w, r, kind, name)
		return
	}
	var in wireObject
	if r.Method != http.MethodDelete {
		if err := json.Unmarshal(body, &in); err != nil {
			reply(w, http.StatusBadRequest, map[string]string{"error": "body can't be read"})
			return
		}
	}
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	if rev := r.URL.Query().Get("revision"); rev != "" {
		in.Metadata.Revision, _ = strconv.ParseInt(rev, 10, 64)
	}
	if size := len(in.Spec) + len(in.Status); size > valueBytes {
		s.record.printf("store: %s %s/%s has %d bytes, the largest object has %d: 413", r.Method, kind, name, size, valueBytes)
		reply(w, http.StatusRequestEntityTooLarge, map[string]string{"error": "object is too large"})
		return
	}
	status, answer := s.write(r.Method, kind, name, isStatus, in)
	if fault.lose != nil && fault.lose(r.Method, kind, name) {
		s.record.printf("store: %s %s/%s executed with status %d, its answer is lost", r.Method, kind, name, status)
		panic(http.ErrAbortHandler)
	}
	reply(w, status, answer)
}

func (s *store) write(method, kind, name string, isStatus bool, in wireObject) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	existing := s.objects[kind+"/"+name]
	switch {
	case method == http.MethodPost && existing != nil && s.plainConflict:
		return http.StatusConflict, map[string]string{"error": "the object exists"}
	case method == http.MethodPost && existing != nil:
		return http.StatusConflict, existing.wire()
	case method == http.MethodPost:
		return http.StatusOK, s.change(kind, name, func(o *object) { o.spec = in.Spec }).wire()
	case existing == nil:
		return http.StatusNotFound, nil
	case in.Metadata.Revision != 0 && in.Metadata.Revision != existing.revision:
		return http.StatusConflict, existing.wire()
	case method == http.MethodDelete:
		delete(s.objects, kind+"/"+name)
		s.revision++
		gone := *existing
		gone.revision, gone.deleted = s.revision, true
		s.add(gone)
		return http.StatusOK, nil
	case isStatus:
		return http.StatusOK, s.change(kind, name, func(o *object) { o.status = in.Status }).wire()
	default:
		return http.StatusOK, s.change(kind, name, func(o *object) { o.spec = in.Spec }).wire()
	}
}

func (s *store) read(w http.ResponseWriter, r *http.Request, kind, name string) {
	q := r.URL.Query()
	switch {
	case name != "":
		s.mu.Lock()
		o := s.objects[kind+"/"+name]
		var out wireObject
		if o != nil {
			out = o.wire()
		}
		s.mu.Unlock()
		if o == nil {
			reply(w, http.StatusNotFound, nil)
			return
		}
		reply(w, http.StatusOK, out)
	case q.Has("watch"):
		s.watch(w, r, kind)
	default:
		s.list(w, kind, q.Get("after"))
	}
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	var items []object
	for _, o := range s.objects {
		if o.kind == kind && o.name > after {
			items = append(items, *o)
		}
	}
	at := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.name, b.name) })
	out, size := []wireObject{}, 0
	for _, o := range items {
		size += len(o.spec) + len(o.status)
		if len(out) == pageObjects || (len(out) > 0 && size > pageBytes) {
			break
		}
		out = append(out, o.wire())
	}
	reply(w, http.StatusOK, map[string]any{"items": out, "has_more": len(out) < len(items), "as_of": at})
}

type event struct {
	Deleted bool       `json:"deleted"`
	Object  wireObject `json:"object"`
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changed, at, down := s.changed, s.revision, s.fault.down
		events := []event{}
		for _, o := range s.history {
			if o.kind == kind && o.revision > since {
				events = append(events, event{Deleted: o.deleted, Object: o.wire()})
			}
		}
		s.mu.Unlock()
		if down {
			reply(w, http.StatusServiceUnavailable, nil)
			return
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": since})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	b := []byte("{}")
	if v != nil {
		var err error
		if b, err = json.Marshal(v); err != nil {
			panic(fmt.Sprint("encode answer: ", err))
		}
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b) // a caller that has gone needs no answer
}
