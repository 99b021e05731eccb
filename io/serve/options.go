package serve

import (
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"mothcart/core/vm"
	"mothcart/io/settings"
	"mothcart/io/store"
	"mothcart/io/vmlist"
)

// Options are the settings and seams of one process. Values are immutable.
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
	// OrderLook is the time between two looks at the engines' models, and OrderReadBack that between
	// two reads of an engine that loads.
	OrderLook, OrderReadBack time.Duration
	// Signals makes the process drain at SIGTERM or an interrupt.
	Signals bool
}

// NewOptions returns the options of a process with these settings, over HTTP to the platform.
func NewOptions(cfg settings.Settings, log zerolog.Logger) Options {
	hc := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	return Options{
		Settings: cfg,
		Log:      log,
		Registry: metrics.NewRegistry(),
		Store:    store.NewHTTP(cfg.StoreURL, hc),
		VMList:   vmlist.NewHTTP(cfg.VMListURL, cfg.VMID, hc),
		Signals:  true,

		OrderLook:     2 * time.Second,
		OrderReadBack: 200 * time.Millisecond,
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

// WithOrderIntervals returns a copy with the times of looks and reads of the engines' models set.
func (o Options) WithOrderIntervals(look, readBack time.Duration) Options {
	o.OrderLook = look
	o.OrderReadBack = readBack
	return o
}

// WithSignals returns a copy that drains at signals, or does not.
func (o Options) WithSignals(on bool) Options {
	o.Signals = on
	return o
}

// self describes this VM.
func (o Options) self() vm.VM {
	cfg := o.Settings
	return vm.VM{ID: cfg.VMID, Group: vm.EntryGroup, Region: cfg.Region, AvailabilityZone: cfg.AvailabilityZone, Address: cfg.PeerAddress}
}
