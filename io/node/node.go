// Package node runs the processes of a site on the platform: entry nodes, which serve callers, and
// home nodes, one of which is the home.
//
// Usage:
//
//	settings, err := platform.ReadSettings(path)
//	err = node.RunEntry(ctx, node.Options{Settings: settings, SettingsPath: path, Log: log})
package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	kratoslog "github.com/go-kratos/kratos/v2/log"
	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"mothcart/core/poison"
	"mothcart/core/site"
	"mothcart/core/zone"
	"mothcart/io/carrier"
	"mothcart/io/clock"
	"mothcart/io/dial"
	"mothcart/io/held"
	"mothcart/io/home"
	"mothcart/io/inbound"
	"mothcart/io/object"
	"mothcart/io/scrape"
	"mothcart/io/service"
	"mothcart/platform"
)

const (
	// connectTimeout bounds the opening of a connection. It allows for some round trips across zones,
	// but not for a lost opening packet, which is resent only after a second.
	connectTimeout = 300 * time.Millisecond
	// storeConnectTimeout is the connection timeout for the object service, which may answer slowly.
	storeConnectTimeout = 1200 * time.Millisecond
)

// Options are the settings and dependencies of a node.
type Options struct {
	Settings     platform.Settings
	SettingsPath string
	Log          zerolog.Logger
	Registry     metrics.Registry
	// Connect returns a function that opens connections within a timeout, and Listen opens a
	// listener; NewOptions sets functions that use the system's network.
	Connect func(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error)
	Listen  func(ctx context.Context, address string) (net.Listener, error)
	// OwnRuns is the number of items that a home runs itself before it assigns items to other nodes.
	OwnRuns int
	// Zones are the costs of requests that leave their availability zone; the zero value means those of slot.Options.
	Zones zone.Costs
	// Now is the clock for decisions; NewOptions sets the system's clock.
	Now func() time.Time
	// reloaded holds the settings of the last reload; nil before the first one.
	reloaded *atomic.Pointer[platform.Settings]
}

// homeNodes returns the home nodes in the current settings.
func (o Options) homeNodes() []string {
	if s := o.reloaded.Load(); s != nil {
		return s.HomeNodes
	}
	return o.Settings.HomeNodes
}

// NewOptions returns options that use the system's network and clock.
func NewOptions(settings platform.Settings, path string, log zerolog.Logger, registry metrics.Registry) Options {
	return Options{
		Settings: settings, SettingsPath: path, Log: log, Registry: registry,
		Connect: dial.Connect, Listen: dial.Listen, Now: clock.Now,
		OwnRuns: home.DefaultOwnRuns, reloaded: new(atomic.Pointer[platform.Settings]),
	}
}

// base is the common part of entry nodes and home nodes: the view of the configuration, the upstreams
// and the home.
type base struct {
	opts        Options
	incarnation int64
	objects     object.Client
	upstream    *service.Client
	// held counts the bytes that the process holds for callers and upstreams.
	held   *held.Budget
	client *home.Client
	// links are those of an entry node to upstreams; nil on home nodes. stopping is set when it drains.
	links    *carrier.Links
	stopping atomic.Bool
	// confirmations list the upstreams for requests whose software version depends on their being known.
	confirmations confirmations
	// confirms counts these listings, unconfirmed those that failed.
	confirms, unconfirmed metrics.Counter
	// runner and checkpoints are nil on entry nodes.
	runner      *home.Runner
	checkpoints *home.Checkpoints
	origins     *home.Origins
	followers   []*object.Follower
	metrics     *port
	counts      *time.Timer
	// savers persist on disk what home nodes need after a restart; siteStateChanged is called on each
	// change of the node's view of the site.
	savers           []*saver
	suspectsSaver    *saver
	siteStateChanged func()
	startWait        *startWait
	// cancelStart cancels the fetch of the site state at the node's start, and startFetch waits for its end.
	cancelStart context.CancelFunc
	startFetch  sync.WaitGroup
	// objectsReceived reports that the object service itself has sent this node a view of the site.
	objectsReceived atomic.Bool
	// onConfig and onUpstreams are called on each change of the configuration and the upstreams.
	onConfig    func(site.Config)
	onUpstreams func([]site.Upstream)

	mu        sync.Mutex
	config    site.Config
	directory site.Directory
	// down reports that the object service doesn't answer this node's followers of the announced homes (homes) or
	// of the upstreams, or the home (home). What applies to this node's directory is effective.
	down   struct{ homes, upstreams, home, effective bool }
	expiry *time.Timer
	// publishedAt is when the upstreams were last passed on; publishPending reports that a timer will do so.
	publishedAt    time.Time
	publishPending bool
	// leftOut names entries of the object service that can't be used.
	leftOut *leftOutLog
	// publishing serializes the calls that pass the upstreams on.
	publishing sync.Mutex
	// receiving serializes the changes of the mirrors and what follows from them.
	receiving sync.Mutex

	// mirrors holds the objects of the kinds that the home relays to the other nodes, by kind.
	mirrors map[string]*object.Mirror
	// onEvents is called with the changes of a mirror; nil on entry nodes.
	onEvents func(kind string, events []object.Event)
	// isHome reports that this node is the home, which follows the object service on behalf of the others.
	isHome func() bool
	// onListed is called when the node has the first complete listing of a kind; nil on entry nodes.
	onListed func()
	// onLeaving is called at the home with upstreams that are leaving; nil on entry nodes.
	onLeaving func(keys []site.Key)
	// onDown is called when the object service becomes unreachable or recovers; nil on entry nodes.
	onDown func(down bool)
}

// newBase returns the common part of a node. An entry node relays connections to the home; a home node
// runs items for the home.
func newBase(opts Options, isEntry bool) *base {
	s := opts.Settings
	b := &base{
		opts:             opts,
		incarnation:      time.Now().UnixNano(),
		siteStateChanged: func() {},
		startWait:        newStartWait(),
		leftOut:          newLeftOutLog(opts),
	}
	b.objects = countCalls(platform.NewObjectsNaming(s.StoreAddress, s.ValueBytes, opts.Connect(storeConnectTimeout), b.leftOut.report), opts.Registry)
	dialUpstream := opts.Connect(connectTimeout)
	if isEntry {
		b.links = carrier.NewLinks(carrier.Options{
			Dial: dialUpstream, Port: s.CarrierPort, Own: s.IP, Zone: s.AvailabilityZone, Entries: func() []string { return b.client.Relays() },
			Stopping: b.stopping.Load, Now: opts.Now, Log: opts.Log, Registry: opts.Registry,
		})
		dialUpstream = b.links.Dial
	}
	b.held = held.NewBudget(held.Options{Bytes: heldBytes(s.MemoryBytes), Now: opts.Now, Log: opts.Log, Registry: opts.Registry})
	b.upstream = service.New(service.NewOptions().WithRequestIDHeader(platform.RequestIDHeader).
		WithDial(dialUpstream).WithOnFault(countFaults(opts.Registry)).WithAnswerBytes(answerBytes(s.MemoryBytes)).WithRoom(b.held.Take, b.held.Free))
	b.mirrors = map[string]*object.Mirror{platform.KindConfig: object.NewMirror(), platform.KindUpstreams: object.NewMirror()}
	b.counts = time.AfterFunc(countsInterval, func() {
		b.logCounts()
		b.counts.Reset(countsInterval)
	})
	b.origins = home.NewOrigins(opts.Now, isEntry, opts.Registry)
	relay := ""
	if isEntry {
		relay = b.peerAddress()
	} else {
		b.runner = home.NewRunner(home.RunnerOptions{
			Client: b.upstream, Codec: platform.HeaderCodec(), Leaving: b.answeredLeaving,
			Refuses:   func(u site.Upstream) bool { return b.client.DrainingOrGone(u) },
			TextBytes: textBytes(s.MemoryBytes), Registry: opts.Registry,
		})
		progressSaver := newSaver(s.DataDir, progressFile, func() any { return b.checkpoints.Items() }, opts.Log)
		b.checkpoints = home.NewCheckpoints(load[[]home.ItemProgress](s.DataDir, progressFile, opts.Log), textBytes(s.MemoryBytes), progressSaver.changed)
		stateSaver := newSaver(s.DataDir, siteStateFile, func() any { return b.savedState() }, opts.Log)
		b.siteStateChanged = stateSaver.changed
		b.loadHistory()
		b.suspectsSaver = newSaver(s.DataDir, suspectsFile, func() any { return b.client.Suspects() }, opts.Log)
		b.savers = []*saver{progressSaver, stateSaver, b.suspectsSaver}
	}
	b.confirmations.list = b.listUpstreams
	b.confirms, b.unconfirmed = metrics.GetOrRegisterCounter("streams.versionsListed", opts.Registry), metrics.GetOrRegisterCounter("streams.versionsNotConfirmed", opts.Registry)
	b.client = home.NewClient(home.ClientOptions{
		VMID: s.VMID, Incarnation: b.incarnation, Relay: relay, HomeNodes: opts.homeNodes, Connect: opts.Connect(connectTimeout), Now: opts.Now,
		Config: b.currentConfig, Checkpoints: b.checkpoints, Unreached: b.startWait.end, Announced: b.siteStateChanged, OnReceivesChanges: b.updateDown,
		Origins: b.origins, SoleVersion: b.soleVersion, Confirm: b.confirmations.confirm, Suspects: load[[]poison.Record](s.DataDir, suspectsFile, opts.Log), SuspectsChanged: func() { b.suspectsSaver.changed() },
		View: func(kind string, c object.Change) { b.receive(kind, c) }, Down: b.setHomeDown, Runner: b.runner, Log: opts.Log,
		Leaving: b.answeredLeaving, MarkLeaving: b.markLeaving, LeavingUpstreams: b.leavingUpstreams,
	})
	opts.Registry.GetOrRegister("parts.quarantined", func() metrics.Gauge {
		return metrics.NewFunctionalGauge(func() int64 { parts, _ := b.client.Quarantined(); return int64(parts) })
	})
	opts.Registry.GetOrRegister("requests.quarantined", func() metrics.Gauge {
		return metrics.NewFunctionalGauge(func() int64 { _, requests := b.client.Quarantined(); return int64(requests) })
	})
	return b
}

// answerShare is the fraction of a process's memory for the answers of upstreams that it holds.
const answerShare = 0.125

// answerBytes returns the bound of the answers in memory of a process with this much memory in bytes; 0 means not
// known.
func answerBytes(memory int64) int64 {
	if memory <= 0 {
		return service.DefaultAnswerBytes
	}
	return int64(float64(memory) * answerShare)
}

// textShare is the fraction of a process's memory for the texts of unfinished items, in each of three places: what its runner has
// received, the progress at the home, and checkpoints.
const textShare = 0.0625

// textBytes returns the bound of these texts of a process with this much memory in bytes; 0 means not known.
func textBytes(memory int64) int64 { return int64(float64(memory) * textShare) }

// countsInterval is the interval at which a node logs its counters.
const countsInterval = 10 * time.Second

// logCounts logs the counters, for periods for which no scraped metrics are available any more.
func (b *base) logCounts() {
	counts := zerolog.Dict()
	b.opts.Registry.Each(func(name string, metric any) {
		if c, ok := metric.(metrics.Counter); ok && c.Count() > 0 {
			counts = counts.Int64(name, c.Count())
		}
	})
	b.opts.Log.Info().Dict("counts", counts).Msg("counters")
}

func (b *base) close() {
	b.confirmations.close()
	b.counts.Stop()
	b.closePort(b.metrics)
	if b.cancelStart != nil {
		b.cancelStart()
		b.startFetch.Wait()
	}
	for _, s := range b.savers {
		s.close()
	}
	for _, f := range b.followers {
		f.Close()
	}
	b.client.Close()
	b.upstream.Close()
	if b.links != nil {
		b.links.Close()
	}
}

func (b *base) closePort(p *port) {
	if p == nil {
		return
	}
	if err := p.Server.Close(); err != nil {
		b.opts.Log.Warn().Err(err).Msg("serverNotClosed")
	}
}

func serveOn(l *inbound.Listener, opts Options, address string, h http.Handler) *kratoshttp.Server {
	srv := kratoshttp.NewServer(kratoshttp.Listener(l), kratoshttp.Timeout(0))
	srv.Handler = l.Handler(h)
	srv.ReadHeaderTimeout = readHeaderTimeout
	srv.IdleTimeout = idleTimeout
	srv.MaxHeaderBytes = maxHeaderBytes
	srv.ConnContext, srv.ConnState = connContext, l.ConnState
	go func() {
		if err := srv.Server.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			opts.Log.Error().Str("address", address).Err(err).Msg("serverEnded")
		}
	}()
	return srv
}

const (
	// readHeaderTimeout, idleTimeout and maxHeaderBytes bound what the limits of a configuration may allow, which
	// io/inbound applies.
	readHeaderTimeout = time.Minute
	idleTimeout       = 10 * time.Minute
	maxHeaderBytes    = 1 << 20
)

// listenPeers opens the port for connections from other nodes.
func (b *base) listenPeers(ctx context.Context) (net.Listener, error) {
	return b.opts.Listen(ctx, b.peerAddress())
}

func (b *base) peerAddress() string {
	return net.JoinHostPort(b.opts.Settings.IP, strconv.Itoa(b.opts.Settings.PeerPort))
}

// filterKratosLog drops the log lines of kratos itself, which only report its start and stop.
func filterKratosLog() {
	kratoslog.SetLogger(kratoslog.NewFilter(kratoslog.DefaultLogger, kratoslog.FilterLevel(kratoslog.LevelFatal)))
}

// countCalls wraps a client of the object service so that its calls are counted by method and kind.
func countCalls(c object.Client, r metrics.Registry) object.Client {
	count := func(call string) { metrics.GetOrRegisterCounter("store."+call, r).Inc(1) }
	return object.Client{
		ValueBytes: c.ValueBytes,
		List: func(ctx context.Context, kind, after string) ([]object.Object, object.Revision, bool, error) {
			count("list." + shortKind(kind))
			return c.List(ctx, kind, after)
		},
		Watch: func(ctx context.Context, kind string, since object.Revision, wait time.Duration) ([]object.Event, object.Revision, error) {
			count("watch." + shortKind(kind))
			return c.Watch(ctx, kind, since, wait)
		},
		Get: func(ctx context.Context, kind, name string) (object.Object, error) {
			count("get." + shortKind(kind))
			return c.Get(ctx, kind, name)
		},
		Create: func(ctx context.Context, kind, name string, spec any) (object.Object, error) {
			count("create." + shortKind(kind))
			return c.Create(ctx, kind, name, spec)
		},
		Put: func(ctx context.Context, kind, name string, spec any, expect object.Revision) (object.Object, error) {
			count("put." + shortKind(kind))
			return c.Put(ctx, kind, name, spec, expect)
		},
		PutStatus: func(ctx context.Context, kind, name string, status any) (object.Object, error) {
			count("putStatus." + shortKind(kind))
			return c.PutStatus(ctx, kind, name, status)
		},
		Delete: func(ctx context.Context, kind, name string) error {
			count("delete." + shortKind(kind))
			return c.Delete(ctx, kind, name)
		},
	}
}

// metricsPort is the port on which every node serves its metrics.
const metricsPort = 9091

// serveMetrics serves the metrics on the VM's address until the server is closed.
func serveMetrics(ctx context.Context, opts Options, b *held.Budget) (*port, error) {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", scrape.Handler(opts.Registry))
	address := net.JoinHostPort(opts.Settings.IP, strconv.Itoa(metricsPort))
	return servePort(ctx, opts, address, opts.inbound("metrics", metricsShare, nil), b, mux)
}

// shortKind returns the name of a kind in metrics; each job has its own kind of results, and all of
// these count as one.
func shortKind(kind string) string {
	if strings.HasPrefix(kind, home.ResultsPrefix) {
		return "results"
	}
	return kind
}
