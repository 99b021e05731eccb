package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/io/entry"
	"mothcart/io/forward"
	"mothcart/io/home"
	"mothcart/io/inbound"
	"mothcart/platform"
)

const (
	// drainDelay is how long a draining node still accepts requests, so that the load balancer stops
	// sending them before the port closes: it checks once a second and acts on the second failure.
	drainDelay = 2500 * time.Millisecond
	// exitMargin is how long before the end of the grace period the remaining requests are cancelled; their callers have
	// inbound.EndTime to read what became of them.
	exitMargin = 500 * time.Millisecond
)

// Entry is a node that serves callers.
type Entry struct {
	base    *base
	handler *entry.Handler
	forward *forward.Forwarder
	callers *port
	// carried serves entries that have lost their links to upstreams; nil if the VM has no port for it.
	carried   *port
	readiness *port
	relay     *home.Relay
	draining  atomic.Bool
	askID     atomic.Uint64
}

// NewEntry starts an entry node.
func NewEntry(ctx context.Context, opts Options) (*Entry, error) {
	filterKratosLog()
	if opts.Settings.CallerAddress == "" {
		return nil, merry.New("settings: no address for callers on this VM")
	}
	b := newBase(opts, true)
	e := &Entry{base: b}
	e.forward = forward.New(forward.Options{
		Client: b.upstream, Wire: platform.HeaderCodec(), Acquire: b.client.Acquire, Links: forward.Links{
			Lost: b.links.Lost, Doubtful: b.links.Doubtful, Judge: b.links.Judge,
			Carrier: b.links.Carrier, CarrierEnded: b.links.CarrierEnded, CarrierAnswered: b.links.CarrierAnswered,
		},
		NextID: func() uint64 { return e.askID.Add(1) }, Now: opts.Now,
		AvailabilityZone: opts.Settings.AvailabilityZone, Held: b.held, Log: opts.Log, Registry: opts.Registry,
	})
	e.handler = entry.New(entry.Options{
		Codec: platform.Codec(), Forward: e.forward, Home: b.client, Objects: b.objects, ObjectsDown: b.objectsDown,
		VMID: opts.Settings.VMID, Held: b.held, Now: opts.Now, TimeOfDay: time.Now, Log: opts.Log, Registry: opts.Registry,
	})
	b.onConfig = e.handler.SetConfig
	b.onUpstreams = b.links.SetUpstreams
	b.isHome = func() bool { return false }
	var err error
	limits := func() inbound.Limits { return callerLimits(e.handler.Limits()) }
	if e.callers, err = servePort(ctx, opts, opts.Settings.CallerAddress, opts.inbound("callers", callersShare, limits), b.held, e.handler); err != nil {
		b.close()
		return nil, err
	}
	if port := opts.Settings.CarrierPort; port != 0 {
		address := net.JoinHostPort(opts.Settings.IP, strconv.Itoa(port))
		limits := func() inbound.Limits { return carriedLimits(e.handler.Limits()) }
		in := opts.inbound("carried", carriedShare, limits)
		if e.carried, err = servePort(ctx, opts, address, in, b.held, b.links.Handler(e.handler.ServeCarried)); err != nil {
			e.Close()
			return nil, err
		}
	}
	ready := opts.inbound("readiness", readinessShare, nil)
	if e.readiness, err = servePort(ctx, opts, opts.Settings.ReadyAddress, ready, b.held, http.HandlerFunc(e.serveReady)); err != nil {
		e.Close()
		return nil, err
	}
	l, err := b.listenPeers(ctx)
	if err != nil {
		e.Close()
		return nil, err
	}
	e.relay = home.NewRelay(l, opts.admit("relay", maxConnections(opts.Settings, relayShare)), b.client)
	if b.metrics, err = serveMetrics(ctx, opts, b.held); err != nil {
		e.Close()
		return nil, err
	}
	b.follow()
	opts.Log.Info().Str("vm", opts.Settings.VMID).Str("callers", opts.Settings.CallerAddress).Int64("incarnation", b.incarnation).Msg("entryStarted")
	return e, nil
}

// Ready reports that the node can serve, has memory for requests and is not about to stop.
func (e *Entry) Ready() bool { return !e.draining.Load() && !e.base.held.Full() && e.base.synced() }

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Drain accepts requests until the load balancer has noticed that the node is draining, then waits for
// the requests in progress until shortly before the end of the grace period. What comes late and can't be answered
// by then is refused.
func (e *Entry) Drain() {
	opts := e.base.opts
	began := opts.Now()
	end := began.Add(opts.Settings.Grace - exitMargin)
	e.draining.Store(true)
	e.base.stopping.Store(true)
	ports := []*port{e.callers}
	if e.carried != nil {
		ports = append(ports, e.carried)
	}
	for _, p := range ports {
		p.listener.Leave()
	}
	e.forward.Drain(began.Add(drainDelay), end)
	opts.Log.Info().Int64("active", e.handler.Active()).Msg("drainStarted")
	time.Sleep(drainDelay)
	stop := time.AfterFunc(end.Sub(opts.Now()), func() {
		e.forward.Stop()
		e.handler.Stop()
	})
	defer stop.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), end.Sub(opts.Now()))
	defer cancel()
	errs := make([]error, len(ports))
	var draining sync.WaitGroup
	for i, p := range ports {
		draining.Go(func() { errs[i] = p.drain(ctx) })
	}
	draining.Wait()
	err := errors.Join(errs...)
	opts.Log.Info().Int64("active", e.handler.Active()).AnErr("error", err).Msg("drained")
}

// Close stops the node at once.
func (e *Entry) Close() {
	for _, p := range []*port{e.callers, e.carried, e.readiness} {
		e.base.closePort(p)
	}
	if e.relay != nil {
		e.relay.Close()
	}
	e.base.close()
}

// RunEntry serves callers until SIGTERM, SIGINT or the end of the context, and then drains.
func RunEntry(ctx context.Context, opts Options) error {
	signals := watchSignals(opts)
	defer signals.Close()
	e, err := NewEntry(ctx, opts)
	if err != nil {
		return err
	}
	signals.AwaitStop(ctx)
	e.Drain()
	e.Close()
	opts.Log.Info().Msg("entryStopped")
	return nil
}
