package serve

import (
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"mothcart/core/vm"
	"mothcart/io/http1"
	"mothcart/io/settings"
	"mothcart/io/store"
	"mothcart/io/vmlist"
)

// Options are the settings and dependencies of one process. Values are immutable.
type Options struct {
	Settings settings.Settings
	Log      zerolog.Logger
	Registry metrics.Registry
	// Store and VMList are the platform's services.
	Store  store.Client
	VMList vmlist.Client
	// Callers and Operators are the listeners of the two HTTP ports; nil means that the process
	// listens on the settings' addresses.
	Callers, Operators net.Listener
	// OrderPollInterval is the polling interval of the engines' models, and OrderReadBackInterval that of the
	// models of an engine while it executes an order.
	OrderPollInterval, OrderReadBackInterval time.Duration
	// Signals makes the process drain on SIGTERM or SIGINT.
	Signals bool
}

// NewOptions returns the options of a process with these settings that calls the platform over HTTP.
func NewOptions(cfg settings.Settings, log zerolog.Logger) Options {
	hc := &http.Client{Transport: http1.Transport(&http.Transport{DisableKeepAlives: true})}
	return Options{
		Settings: cfg,
		Log:      log,
		Registry: metrics.NewRegistry(),
		Store:    store.NewHTTP(cfg.StoreURL, hc),
		VMList:   vmlist.NewHTTP(cfg.VMListURL, cfg.VMID, hc),
		Signals:  true,

		OrderPollInterval:     2 * time.Second,
		OrderReadBackInterval: 200 * time.Millisecond,
	}
}

// WithRegistry returns a copy with the registry of metrics set.
func (o Options) WithRegistry(r metrics.Registry) Options {
	o.Registry = r
	return o
}

// WithPlatform returns a copy with the platform's services replaced.
func (o Options) WithPlatform(s store.Client, l vmlist.Client) Options {
	o.Store = s
	o.VMList = l
	return o
}

// WithListeners returns a copy with the listeners of the HTTP ports set.
func (o Options) WithListeners(callers, operators net.Listener) Options {
	o.Callers = callers
	o.Operators = operators
	return o
}

// WithOrderIntervals returns a copy with OrderPollInterval and OrderReadBackInterval set.
func (o Options) WithOrderIntervals(poll, readBack time.Duration) Options {
	o.OrderPollInterval = poll
	o.OrderReadBackInterval = readBack
	return o
}

// WithSignals returns a copy with Signals set.
func (o Options) WithSignals(on bool) Options {
	o.Signals = on
	return o
}

// self describes this VM.
func (o Options) self() vm.VM {
	cfg := o.Settings
	return vm.VM{ID: cfg.VMID, Group: vm.EntryGroup, Region: cfg.Region, AvailabilityZone: cfg.AvailabilityZone, Address: cfg.PeerAddress}
}
