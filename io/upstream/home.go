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
	// placeInterval is the time between two looks at which upstreams this VM is home of.
	placeInterval = 200 * time.Millisecond
	// resendInterval is the time after which the counts that are not zero are sent again, so that a
	// new home learns them and a lost notice is mended.
	resendInterval = time.Second
	// subscribeInterval is the time after which a VM tells the homes again which upstreams it routes
	// to; a home forgets a VM that has not told for three of them.
	subscribeInterval = 5 * time.Second
	// flushInterval bounds the wait of a notice that is not urgent.
	flushInterval = 20 * time.Millisecond
	// digestInterval is the least time between two digests of an upstream.
	digestInterval = 50 * time.Millisecond
	// digestBytesPerSecond bounds what a home spends on digests.
	digestBytesPerSecond = 6 << 10
	// digestBytes is the size of one upstream's digest on the wire with its frame.
	digestBytes = 48
)

// Home is the part of a VM that looks after the upstreams it is home of: it counts the online
// requests of all VMs, reads load reports, publishes digests and fills idle engines with batch
// items. It also sends this VM's own counts to the homes of other upstreams.
type Home struct {
	opts HomeOptions
	stop context.CancelFunc
	done sync.WaitGroup

	mu sync.Mutex
	// engines holds the upstreams that this VM is home of.
	engines map[string]*engineHome
	// homes is the home of each upstream, as of the last look.
	homes map[string]string
	// pending holds the notices that wait for the next flush, by home.
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
	h.every(ctx, placeInterval, h.place)
	h.every(ctx, resendInterval, h.resend)
	h.every(ctx, digestInterval, h.publish)
	h.every(ctx, subscribeInterval, h.subscribe)
	h.done.Go(func() { h.flushLoop(ctx) })
	return h
}

// Close stops filling, gives the batch items back and ends the goroutines.
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

// place finds the upstreams that this VM is home of, after a change of members, list or
// configuration.
func (h *Home) place(now time.Time) {
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
	var gone []*engineHome
	h.mu.Lock()
	h.seenView, h.seenList, h.seenConfig = view.Version, revision, snapshot
	h.homes, h.routed = homes, routed
	batch := batchEngines(list, snapshot)
	mine := map[string]bool{}
	for _, u := range list {
		group, ok := snapshot.UpstreamGroup(u.Group)
		service, known := snapshot.Service(group.Service)
		if !ok || !known || homes[u.ID] != view.Self.ID {
			continue
		}
		mine[u.ID] = true
		if e, ok := h.engines[u.ID]; ok {
			e.configure(u, service, namesOf(snapshot, service.Name), batch[u.ID])
			continue
		}
		e := newEngineHome(now, h.opts, u, service, namesOf(snapshot, service.Name))
		e.configure(u, service, namesOf(snapshot, service.Name), batch[u.ID])
		h.engines[u.ID] = e
	}
	for id, e := range h.engines {
		if !mine[id] {
			gone = append(gone, e)
			delete(h.engines, id)
		}
	}
	for _, e := range h.engines {
		e.keepVMs(view.IDs())
	}
	h.mu.Unlock()
	for _, e := range gone {
		e.close()
	}
	h.resend(now)
}

// batchEngines returns the engines that may run batch: all of a service without a batch share, else
// those that are for batch first.
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

// routedUpstreams lists the upstreams that this VM routes to.
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

// engine returns the upstream that this VM is home of.
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
