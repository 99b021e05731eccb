package upstream

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"mothcart/core/config"
	"mothcart/core/fill"
	"mothcart/core/vm"
	"mothcart/io/engine"
)

const (
	// fillInterval is the longest time between two decisions on filling an engine.
	fillInterval = 10 * time.Millisecond
	// loadInterval is the polling interval of an engine's load report.
	loadInterval = 500 * time.Millisecond
	// assumedKVTokens is the assumed KV capacity, in tokens, of an engine that has not reported its load.
	assumedKVTokens = 60000
	// namesEvery is the number of digests after which the names of loaded models are sent again.
	namesEvery = 16
	// namesRepeats is the number of digests that carry the names after a change of them.
	namesRepeats = 2
)

// engineHome is the home's state of one upstream. Its methods are safe for concurrent use.
type engineHome struct {
	opts   HomeOptions
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
	wake   chan struct{}

	mu       sync.Mutex
	upstream vm.VM
	service  config.Service
	// names are all models and adapters of the service; loaded are those that the engine has reported as loaded.
	names  []string
	loaded []string
	state  fill.State
	// online holds the IDs of the online requests in flight, by VM; unidentified numbers the IDs of requests
	// whose start notice was lost.
	online       map[string][]string
	unidentified uint64
	// routers holds the VMs that route to the upstream, with the time of their last subscription.
	routers map[string]time.Time
	load    engine.Load
	// loadAt is the time of the last load report; zero means none.
	loadAt    time.Time
	batch     map[string]*batchRun
	paused    []pausedItem
	digestAt  time.Time
	digestSeq int
	// peakOnline is the recent peak of the number of online requests in flight.
	peakOnline recentPeak
	// namesRemaining is the number of further digests that carry the names after a change.
	namesRemaining int
	nextModel      int
	// mayBatch reports that the engine may run batch items.
	mayBatch bool
	// backOffUntil is the end of the current pause in filling; backOffTime is its length.
	backOffUntil time.Time
	backOffTime  time.Duration
}

// EngineStatus is the state of one upstream at its home.
type EngineStatus struct {
	ID       string `json:"id"`
	Service  string `json:"service"`
	Online   int    `json:"online"`
	Batch    int    `json:"batch"`
	Capacity int    `json:"capacity"`
	Leaving  bool   `json:"leaving"`
	// ReportAgeMillis is the age of the last load report in milliseconds; -1 means none.
	ReportAgeMillis int64    `json:"reportAgeMillis"`
	Loaded          []string `json:"loaded"`
}

func newEngineHome(now time.Time, opts HomeOptions, u vm.VM, service config.Service, names []string) *engineHome {
	ctx, cancel := context.WithCancel(context.Background())
	capacity := service.MaxConcurrency
	if capacity <= 0 {
		capacity = defaultConcurrency
	}
	e := &engineHome{
		opts: opts, ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1),
		upstream: u, service: service, names: names,
		state:  fill.New(now, fill.NewParams(capacity, assumedKVTokens).WithWeight(service.HarmWeight)),
		online: map[string][]string{}, routers: map[string]time.Time{}, batch: map[string]*batchRun{},
	}
	if service.Kind == config.KindEngine {
		e.done.Go(e.fillLoop)
	}
	if service.ReportsLoad {
		e.done.Go(e.loadLoop)
	}
	return e
}

// close preempts the batch items and returns them, waits for the items that can't be preempted, and ends the
// goroutines.
func (e *engineHome) close() {
	e.cancel()
	e.done.Wait()
	for _, p := range e.takePaused(time.Now(), len(e.paused)) {
		p.item.Return()
	}
}

// configure applies a change of the upstream or configuration; batch reports that the engine may run batch
// items.
func (e *engineHome) configure(u vm.VM, service config.Service, names []string, batch bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.upstream, e.service, e.names, e.mayBatch = u, service, names, batch
	e.state = e.state.WithParams(e.state.Params().WithWeight(service.HarmWeight))
}

// applyCount applies a VM's notice. The count in it is absolute: requests are added or removed to match it
// if earlier start or end notices were lost.
func (e *engineHome) applyCount(now time.Time, from string, n countNotice) {
	e.mu.Lock()
	id := fmt.Sprintf("%s/%d", from, n.Number)
	switch {
	case n.Number != 0 && n.Started:
		e.startOnline(now, from, id, n.Tokens)
	case n.Number != 0:
		e.endOnline(now, from, id)
	}
	e.peakOnline = e.peakOnline.with(now, e.onlineCount())
	for len(e.online[from]) > n.InFlight {
		e.endOnline(now, from, e.online[from][0])
	}
	for len(e.online[from]) < n.InFlight {
		e.unidentified++
		e.startOnline(now, from, fmt.Sprintf("%s/unseen%d", from, e.unidentified), 0)
	}
	e.peakOnline = e.peakOnline.with(now, e.onlineCount())
	e.mu.Unlock()
	if n.Started {
		e.wakeLoop()
	}
}

// startOnline and endOnline record the start and end of an online request; mu is held.
func (e *engineHome) startOnline(now time.Time, from, id string, tokens int) {
	if slices.Contains(e.online[from], id) {
		return
	}
	e.online[from] = append(e.online[from], id)
	e.state = e.state.WithOnlineStart(now, id, tokens)
}

func (e *engineHome) endOnline(now time.Time, from, id string) {
	i := slices.Index(e.online[from], id)
	if i < 0 {
		return
	}
	e.online[from] = slices.Delete(e.online[from], i, i+1)
	e.state = e.state.WithOnlineEnd(now, id)
}

// retainVMs drops the requests and subscriptions of all VMs but the given ones: a request ends with its VM.
func (e *engineHome) retainVMs(ids []string) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for from, list := range e.online {
		if slices.Contains(ids, from) {
			continue
		}
		for _, id := range list {
			e.state = e.state.WithOnlineEnd(now, id)
		}
		delete(e.online, from)
	}
	for from := range e.routers {
		if !slices.Contains(ids, from) {
			delete(e.routers, from)
		}
	}
}

// subscribe records that a VM routes to the upstream.
func (e *engineHome) subscribe(now time.Time, from string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.routers[from] = now
}

// subscribers returns the VMs that route to the upstream and drops those whose subscription has lapsed.
func (e *engineHome) subscribers(now time.Time) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	ids := make([]string, 0, len(e.routers))
	for id, at := range e.routers {
		if now.Sub(at) > 3*subscribeInterval {
			delete(e.routers, id)
			continue
		}
		ids = append(ids, id)
	}
	return ids
}

func (e *engineHome) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// loadLoop polls the engine's load reports.
func (e *engineHome) loadLoop() {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-ticker.C:
		}
		e.mu.Lock()
		address := e.upstream.Address
		e.mu.Unlock()
		load, err := e.opts.Control.Load(e.ctx, address)
		if err != nil {
			continue
		}
		e.applyLoad(time.Now(), load)
	}
}

func (e *engineHome) applyLoad(now time.Time, load engine.Load) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.load, e.loadAt = load, now
	if !slices.Equal(e.loaded, load.Models) {
		e.loaded = load.Models
		e.namesRemaining = namesRepeats
	}
	e.state = e.state.WithReport(now, fill.Report{
		Running: load.Running, Waiting: load.Waiting, KVUsedTokens: load.KVUsedTokens,
		MaxRunning: load.MaxRunning, KVCapacityTokens: load.KVCapacityTokens,
	})
}

// capacity returns the number of online requests that the upstream serves at once; mu is held.
func (e *engineHome) capacity() int {
	if e.load.MaxRunning > 0 {
		return e.load.MaxRunning
	}
	if e.service.MaxConcurrency > 0 {
		return e.service.MaxConcurrency
	}
	return defaultConcurrency
}

func (e *engineHome) onlineCount() int {
	n := 0
	for _, list := range e.online {
		n += len(list)
	}
	return n
}

// digestDue reports whether a digest is due, and if so records it as sent.
func (e *engineHome) digestDue(now time.Time, interval time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.digestAt) < interval {
		return false
	}
	e.digestAt = now
	e.digestSeq++
	e.namesRemaining = max(0, e.namesRemaining-1)
	return true
}

// digest returns the upstream's digest for the receiving VM.
func (e *engineHome) digest(receiver string) digestNotice {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := digestNotice{
		Upstream: e.upstream.ID, Service: e.service.Name, InFlight: int32(e.onlineCount()),
		Yours: int32(len(e.online[receiver])), PeakInFlight: int32(e.peakOnline.at(time.Now(), e.onlineCount())),
		Waiting: e.waiting(), Capacity: int32(e.capacity()), All: true,
	}
	if e.loadAt.IsZero() || e.service.Kind != config.KindEngine {
		return d
	}
	if e.digestSeq%namesEvery == 1 || e.namesRemaining > 0 {
		d.Names, d.All = e.loaded, false
	}
	return d
}

// waiting returns the number of requests queued inside the engine, which the home's own counts don't show,
// or 0 if the last load report is out of date; mu is held.
func (e *engineHome) waiting() int32 {
	if time.Since(e.loadAt) > 4*loadInterval {
		return 0
	}
	return int32(e.load.Waiting)
}

func (e *engineHome) status() EngineStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := EngineStatus{
		ID: e.upstream.ID, Service: e.service.Name, Online: e.onlineCount(), Batch: len(e.batch),
		Capacity: e.capacity(), Leaving: e.upstream.Leaving, ReportAgeMillis: -1, Loaded: e.loaded,
	}
	if !e.loadAt.IsZero() {
		s.ReportAgeMillis = time.Since(e.loadAt).Milliseconds()
	}
	return s
}
