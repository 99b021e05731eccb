package upstream

import (
	"context"
	"sync"
	"time"

	"mothcart/core/config"
	"mothcart/core/member"
	"mothcart/core/route"
	"mothcart/core/vm"
	"mothcart/io/peer"
)

// Methods of the peer protocol between entry VMs and the homes of upstreams.
const (
	countMethod     = "upstream.count"
	digestMethod    = "upstream.digest"
	subscribeMethod = "upstream.subscribe"
)

const (
	// assignInterval is the interval at which this VM checks which upstreams it is home of.
	assignInterval = 200 * time.Millisecond
	// resendInterval is the interval at which the counts that are not zero are sent again, so that a
	// new home receives them and the effect of lost notices is corrected.
	resendInterval = time.Second
	// subscribeInterval is the interval at which a VM sends its subscriptions to the homes of the
	// upstreams that it routes to. A subscription lapses after three intervals.
	subscribeInterval = 5 * time.Second
	// flushInterval bounds the time that a notice other than a start waits to be sent.
	flushInterval = 20 * time.Millisecond
	// digestInterval is the minimum time between two digests of an upstream.
	digestInterval = 50 * time.Millisecond
	// digestBytesPerSecond bounds the bandwidth of the digests that a VM sends.
	digestBytesPerSecond = 6 << 10
	// digestBytes is the size of one upstream's digest on the wire with its frame.
	digestBytes = 48
)

// Home is the part of a VM that manages the upstreams it is home of: it counts the online
// requests of all VMs, reads load reports, publishes digests and fills idle engines with batch
// items. It also sends this VM's own counts to the homes of other upstreams.
type Home struct {
	opts HomeOptions
	stop context.CancelFunc
	done sync.WaitGroup

	mu sync.Mutex
	// engines holds the upstreams that this VM is home of.
	engines map[string]*engineHome
	// homes is the home of each upstream as of the last call of assign.
	homes map[string]string
	// pending holds the notices that wait for the next flush, by home; urgent wakes the flush loop.
	pending map[string][]countNotice
	urgent  chan struct{}
	// routed lists the upstreams that this VM routes to.
	routed     []string
	seenView   uint64
	seenList   uint64
	seenConfig *config.Snapshot
}

// NewHome starts the home's goroutines.
func NewHome(opts HomeOptions) *Home {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Home{
		opts: opts, stop: cancel,
		engines: map[string]*engineHome{}, homes: map[string]string{}, pending: map[string][]countNotice{},
		urgent: make(chan struct{}, 1),
	}
	peer.Handle(opts.Peers, countMethod, h.serveCount)
	peer.Handle(opts.Peers, digestMethod, h.serveDigest)
	peer.Handle(opts.Peers, subscribeMethod, h.serveSubscribe)
	h.every(ctx, assignInterval, h.assign)
	h.every(ctx, resendInterval, h.resend)
	h.every(ctx, digestInterval, h.publish)
	h.every(ctx, subscribeInterval, h.subscribe)
	h.done.Go(func() { h.flushLoop(ctx) })
	return h
}

// Close stops filling, returns the batch items, waits for those that can't be preempted, and ends the
// goroutines.
func (h *Home) Close() {
	h.stop()
	h.mu.Lock()
	engines := h.engines
	h.engines = map[string]*engineHome{}
	h.mu.Unlock()
	for _, e := range engines {
		e.close()
	}
	h.done.Wait()
}

func (h *Home) every(ctx context.Context, interval time.Duration, work func(now time.Time)) {
	h.done.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			work(time.Now())
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	})
}

// assign computes the home of each upstream and updates the upstreams that this VM is home of. It does so
// only after a change of the members, the upstreams or the configuration.
func (h *Home) assign(now time.Time) {
	view := h.opts.Peers.View()
	list, revision := h.opts.Upstreams()
	snapshot := h.opts.Snapshot()
	h.mu.Lock()
	same := view.Version == h.seenView && revision == h.seenList && snapshot == h.seenConfig
	h.mu.Unlock()
	if same {
		return
	}
	homes := homesOf(view, list)
	routed := routedUpstreams(h.opts.Peers.Self(), list, snapshot)
	var removed []*engineHome
	h.mu.Lock()
	h.seenView, h.seenList, h.seenConfig = view.Version, revision, snapshot
	h.homes, h.routed = homes, routed
	batch := batchEngines(list, snapshot)
	owned := map[string]bool{}
	for _, u := range list {
		group, ok := snapshot.UpstreamGroup(u.Group)
		service, found := snapshot.Service(group.Service)
		if !ok || !found || homes[u.ID] != view.Self.ID {
			continue
		}
		owned[u.ID] = true
		if e, ok := h.engines[u.ID]; ok {
			e.configure(u, service, namesOf(snapshot, service.Name), batch[u.ID])
			continue
		}
		e := newEngineHome(now, h.opts, u, service, namesOf(snapshot, service.Name))
		e.configure(u, service, namesOf(snapshot, service.Name), batch[u.ID])
		h.engines[u.ID] = e
	}
	for id, e := range h.engines {
		if !owned[id] {
			removed = append(removed, e)
			delete(h.engines, id)
		}
	}
	for _, e := range h.engines {
		e.retainVMs(view.IDs())
	}
	h.mu.Unlock()
	for _, e := range removed {
		e.close()
	}
	h.resend(now)
}

// batchEngines returns the engines that may run batch items: all engines of a service without a batch
// share, otherwise those that route.BatchFirst selects.
func batchEngines(list []vm.VM, snapshot *config.Snapshot) map[string]bool {
	may := map[string]bool{}
	byService := upstreamsByService(list, snapshot)
	for name, upstreams := range byService {
		service, _ := snapshot.Service(name)
		if service.BatchShare <= 0 {
			for _, u := range upstreams {
				may[u.ID] = true
			}
			continue
		}
		for _, id := range route.BatchFirst(name, service.BatchShare, upstreams) {
			may[id] = true
		}
	}
	return may
}

func upstreamsByService(list []vm.VM, snapshot *config.Snapshot) map[string][]vm.VM {
	byService := map[string][]vm.VM{}
	for _, u := range list {
		if g, ok := snapshot.UpstreamGroup(u.Group); ok {
			byService[g.Service] = append(byService[g.Service], u)
		}
	}
	return byService
}

// homesOf computes the home of each upstream.
func homesOf(view member.View, list []vm.VM) map[string]string {
	homes := make(map[string]string, len(list))
	for _, u := range list {
		homes[u.ID] = view.OwnerInZone("upstream/"+u.ID, u.AvailabilityZone)
	}
	return homes
}

// routedUpstreams returns the IDs of the upstreams that this VM routes to.
func routedUpstreams(self vm.VM, list []vm.VM, snapshot *config.Snapshot) []string {
	var ids []string
	for _, upstreams := range upstreamsByService(list, snapshot) {
		for _, u := range route.Subset(self, upstreams, route.SubsetSize) {
			ids = append(ids, u.ID)
		}
	}
	return ids
}

// Engines returns the state of the upstreams that this VM is home of.
func (h *Home) Engines() []EngineStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]EngineStatus, 0, len(h.engines))
	for _, e := range h.engines {
		list = append(list, e.status())
	}
	return list
}

// IsHome reports whether this VM is home of the upstream.
func (h *Home) IsHome(id string) bool {
	_, ok := h.engine(id)
	return ok
}

// engine returns the home's state of the upstream, if this VM is its home.
func (h *Home) engine(id string) (*engineHome, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, ok := h.engines[id]
	return e, ok
}

// homeEngines returns all upstreams that this VM is home of.
func (h *Home) homeEngines() []*engineHome {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]*engineHome, 0, len(h.engines))
	for _, e := range h.engines {
		list = append(list, e)
	}
	return list
}
