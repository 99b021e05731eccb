// Package carrier takes requests of entries that have lost their links to upstreams, and sends them.
//
// Links watches the connections that a node opens to upstreams; core/reach judges what those that fail prove. While its
// links are lost, an entry sends its requests to another entry, the carrier, over HTTP, as it would to an upstream: with
// the same ID, deadline, retries and resumption. The carrier gets a slot and makes one attempt, so that the entry goes on
// to count how often a request may run. It passes no request on to a further carrier, and refuses at once when its own
// links are lost, when it is stopping, or when it carries too much.
//
// Usage:
//
//	l := carrier.NewLinks(carrier.Options{Dial: dial, Port: 7661, Entries: client.Relays, Log: log, Registry: registry})
//	client := service.New(service.NewOptions().WithDial(l.Dial))
//	http.Serve(listener, l.Handler(h.ServeCarried))
package carrier

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"mothcart/core/reach"
	"mothcart/core/site"
)

const (
	// probeInterval is the time between two looks whether probes are due.
	probeInterval = 100 * time.Millisecond
	// carrierLifetime is how long an entry is remembered as a carrier after it was last named, and maxCarriers their
	// greatest number.
	carrierLifetime = 2 * time.Minute
	maxCarriers     = 32
	// maxCarried is the number of requests that a node carries at a time.
	maxCarried = 256
)

// HeaderUnable is set on the refusal of a carrier that can't reach upstreams, so that another one should be asked.
const HeaderUnable = "Carrier-Unable"

// HeaderNotSent is set on the answer of a carrier that has not sent the request, where the status doesn't say so.
const HeaderNotSent = "Carrier-Not-Sent"

// Options are the dependencies of Links; all are required but Port.
type Options struct {
	// Dial opens a connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Port is the port at which all entries take requests of others; 0 means that none does.
	Port int
	// Own is the IP address of this node. Entries returns addresses (host:port) of some entries, of which Links uses
	// the host.
	Own     string
	Entries func() []string
	// Zone is the availability zone of this node.
	Zone string
	// Stopping reports that this node is about to stop.
	Stopping func() bool
	Now      func() time.Time
	Log      zerolog.Logger
	Registry metrics.Registry
}

// Links watches the links of a node to upstreams, and knows the entries that may carry its requests. It is safe for
// concurrent use.
type Links struct {
	opts Options
	wake chan struct{}
	end  chan struct{}
	done sync.WaitGroup
	// carried has a place for each request that this node carries.
	carried        chan struct{}
	carriedCounter metrics.Counter
	// excused counts failures that were found to be those of this node's links, unable the refusals of carriers.
	excused, unable metrics.Counter

	mu    sync.Mutex
	links reach.Links
	// upstreams holds the addresses of all upstreams.
	upstreams map[string]bool
	// candidates are the entries that may carry requests, by address.
	candidates map[string]*candidate
	// waiting holds the failures on which there is no verdict yet.
	waiting map[*waiting]struct{}
}

// NewLinks returns links of which nothing is known.
func NewLinks(opts Options) *Links {
	l := &Links{
		opts: opts, wake: make(chan struct{}, 1), end: make(chan struct{}), links: reach.NewLinks(),
		carried: make(chan struct{}, maxCarried), carriedCounter: metrics.GetOrRegisterCounter("online.carriedForOthers", opts.Registry),
		excused: metrics.GetOrRegisterCounter("links.failuresExcused", opts.Registry), unable: metrics.GetOrRegisterCounter("links.carriersUnable", opts.Registry),
		upstreams: make(map[string]bool), candidates: make(map[string]*candidate), waiting: make(map[*waiting]struct{}),
	}
	opts.Registry.GetOrRegister("links.lost", func() metrics.Gauge {
		return metrics.NewFunctionalGauge(func() int64 {
			if l.Lost() {
				return 1
			}
			return 0
		})
	})
	l.done.Go(func() {
		for {
			select {
			case <-l.end:
				return
			case <-l.wake:
			}
			for l.probe() {
				select {
				case <-l.end:
					return
				case <-time.After(probeInterval):
				}
			}
		}
	})
	return l
}

// Close ends the probes.
func (l *Links) Close() {
	close(l.end)
	l.done.Wait()
}

// SetUpstreams replaces the upstreams to which there are links.
func (l *Links) SetUpstreams(list []site.Upstream) {
	addresses := make([]string, 0, len(list))
	for _, u := range list {
		addresses = append(addresses, u.Address)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.upstreams)
	for _, a := range addresses {
		l.upstreams[a] = true
	}
	l.links = l.links.WithUpstreams(addresses)
}

// Lost reports that this node has lost its links to all upstreams.
func (l *Links) Lost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.links.Lost()
}

// Doubtful reports that failed connections to upstreams may be due to this node's links.
func (l *Links) Doubtful() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.links.Doubtful()
}

// Dial opens a connection, and records what the outcome shows about the links if the address is that of an upstream.
func (l *Links) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := l.opts.Dial(ctx, network, address)
	if err == nil || ctx.Err() == nil { // else the one who asked for it has given up
		l.record(address, err)
	}
	return conn, err
}

func (l *Links) record(address string, err error) {
	l.mu.Lock()
	if !l.upstreams[address] {
		l.mu.Unlock()
		return
	}
	now, before := l.opts.Now(), l.links
	if err == nil {
		l.links = l.links.WithSuccess(now)
	} else {
		l.links = l.links.WithFailure(now, address)
	}
	switch {
	case !before.Lost() && l.links.Lost():
		failed := zerolog.Arr()
		for a, at := range l.links.Failed() {
			failed = failed.Dict(zerolog.Dict().Str("address", a).Dur("ageMillis", now.Sub(at)))
		}
		l.opts.Log.Warn().Array("failed", failed).Int("upstreams", len(l.upstreams)).Err(err).Msg("linksLost")
	case before.Lost() && !l.links.Lost():
		l.opts.Log.Warn().Str("address", address).Dur("lostMillis", now.Sub(before.LostAt())).Msg("linksRegained")
	}
	if l.links.ProbeDue(now) {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
	doubtful := l.links.Doubtful()
	l.mu.Unlock()
	if err == nil || doubtful {
		l.settle(err == nil)
	}
}

// probe opens connections to some upstreams if that is due, and reports whether it may be due again.
func (l *Links) probe() bool {
	now := l.opts.Now()
	l.mu.Lock()
	doubtful, due := l.links.Doubtful(), l.links.ProbeDue(now)
	var targets []string
	if due {
		targets = l.links.ProbeTargets()
		l.links = l.links.WithProbes(now)
	}
	l.mu.Unlock()
	for _, address := range targets {
		l.done.Go(func() {
			if conn, err := l.Dial(context.Background(), "tcp", address); err == nil {
				_ = conn.Close() // it was opened only to see whether it can be
			}
		})
	}
	return doubtful
}

// Handler returns the handler of requests that this node sends for others with serve.
func (l *Links) Handler(serve http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reason := ""
		switch {
		case l.Lost():
			reason = reasonLinksLost
		case l.opts.Stopping():
			reason = ReasonStopping
		default:
			select {
			case l.carried <- struct{}{}:
			default:
				reason = reasonBusy
			}
		}
		if l.opts.Zone != "" {
			w.Header().Set(HeaderZone, l.opts.Zone)
		}
		if reason != "" {
			w.Header().Set(HeaderUnable, reason)
			http.Error(w, "not run; ask another entry", http.StatusServiceUnavailable)
			return
		}
		defer func() { <-l.carried }()
		l.carriedCounter.Inc(1)
		serve(w, r)
	})
}
