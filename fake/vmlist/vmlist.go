// Package vmlist is a fake of the platform's VM list.
//
// It keeps the revisions of the list. Two faults are set for single readers: a lag, and a wrong list in
// place of the common one. Two faults affect all readers: reads get no answer, or fail.
//
// Usage:
//
//	l := vmlist.New()
//	l.Set(vms)
//	go http.ListenAndServe(addr, l.Handler())
//	l.SetLag("e2", 5*time.Second)
//	l.SetFor("e3", wrong)
package vmlist

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/core/vm"
	"mothcart/io/vmlist"
)

// maxRevisions bounds the revisions that are retained for readers with a lag.
const maxRevisions = 1000

// revision is one state of the common list if reader is empty, else of the list that only this reader sees.
type revision struct {
	list   vmlist.List
	reader string
	setAt  time.Time
}

// List is the fake VM list. Its methods are safe for concurrent use.
type List struct {
	mu           sync.Mutex
	revisions    []revision
	lags         map[string]time.Duration
	overridden   map[string]bool
	unresponsive bool
	outage       bool
	reads        uint64
	changed      chan struct{}
}

// New returns an empty list.
func New() *List {
	return &List{lags: map[string]time.Duration{}, overridden: map[string]bool{}, changed: make(chan struct{})}
}

// Set replaces the list that all readers see.
func (l *List) Set(vms []vm.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add("", vms)
}

// SetFor replaces the list that one reader sees, until ClearFor.
func (l *List) SetFor(reader string, vms []vm.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.overridden[reader] = true
	l.add(reader, vms)
}

// ClearFor ends SetFor: reader sees the common list again, under a new revision.
func (l *List) ClearFor(reader string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.overridden, reader)
	if last := l.last(""); last != nil {
		l.add("", last.list.VMs)
	}
}

// SetLeaving sets the leaving mark of one VM in the common list.
func (l *List) SetLeaving(id string, leaving bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.last("")
	if last == nil {
		return
	}
	vms := slices.Clone(last.list.VMs)
	for i, v := range vms {
		if v.ID == id {
			vms[i] = v.WithLeaving(leaving)
		}
	}
	l.add("", vms)
}

// SetLag makes reader see each change with a delay of d.
func (l *List) SetLag(reader string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lags[reader] = d
	l.wake()
}

// SetUnresponsive makes reads hang until their context ends.
func (l *List) SetUnresponsive(unresponsive bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unresponsive = unresponsive
	l.wake()
}

// SetOutage makes reads fail at once.
func (l *List) SetOutage(outage bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage = outage
	l.wake()
}

// Reads returns the number of reads so far.
func (l *List) Reads() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

// Client returns a client that reads the list in the same process, as the VM reader.
func (l *List) Client(reader string) vmlist.Client {
	return vmlist.Client{Read: func(ctx context.Context, after uint64, wait time.Duration) (vmlist.List, error) {
		return l.read(ctx, reader, after, wait)
	}}
}

// Handler serves the VM list's HTTP interface.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+vmlist.Path, func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		after, _ := strconv.ParseUint(q.Get(vmlist.ParamAfter), 10, 64)
		wait, _ := strconv.ParseInt(q.Get(vmlist.ParamWaitMillis), 10, 64)
		list, err := l.read(r.Context(), q.Get(vmlist.ParamReader), after, time.Duration(wait)*time.Millisecond)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(list)
	})
	return mux
}

func (l *List) add(reader string, vms []vm.VM) {
	next := uint64(1)
	if n := len(l.revisions); n > 0 {
		next = l.revisions[n-1].list.Revision + 1
	}
	list := vmlist.List{Revision: next, VMs: slices.Clone(vms)}
	l.revisions = append(l.revisions, revision{list: list, reader: reader, setAt: time.Now()})
	l.revisions = l.revisions[max(0, len(l.revisions)-maxRevisions):]
	l.wake()
}

func (l *List) last(reader string) *revision {
	for i := len(l.revisions) - 1; i >= 0; i-- {
		if l.revisions[i].reader == reader {
			return &l.revisions[i]
		}
	}
	return nil
}

func (l *List) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// visible returns the list that reader sees now, and the time until it sees the next revision, or an hour if
// there is none yet.
func (l *List) visible(reader string, now time.Time) (vmlist.List, time.Duration) {
	source := ""
	if l.overridden[reader] {
		source = reader
	}
	seen := vmlist.List{VMs: []vm.VM{}}
	for _, r := range l.revisions {
		if r.reader != source {
			continue
		}
		if wait := r.setAt.Add(l.lags[reader]).Sub(now); wait > 0 {
			return seen, wait
		}
		seen = r.list
	}
	return seen, time.Hour
}

func (l *List) read(ctx context.Context, reader string, after uint64, wait time.Duration) (vmlist.List, error) {
	l.mu.Lock()
	l.reads++
	l.mu.Unlock()
	deadline := time.Now().Add(wait)
	for {
		l.mu.Lock()
		now := time.Now()
		list, next := l.visible(reader, now)
		changed, unresponsive, outage := l.changed, l.unresponsive, l.outage
		l.mu.Unlock()
		switch {
		case outage:
			return vmlist.List{}, merry.Errorf("outage: %w", vmlist.ErrUnavailable)
		case !unresponsive && (list.Revision > after || !now.Before(deadline)):
			return list, nil
		case unresponsive:
			next = time.Hour
		default:
			next = min(next, deadline.Sub(now))
		}
		if err := waitFor(ctx, changed, next); err != nil {
			return vmlist.List{}, merry.Errorf("read VM list: %w: %w", vmlist.ErrUnavailable, err)
		}
	}
}

func waitFor(ctx context.Context, changed <-chan struct{}, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-changed:
	case <-t.C:
	}
	return nil
}
