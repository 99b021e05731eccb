package vmlist

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"mothcart/core/vm"
)

// Options are the settings of a Watcher. Values are immutable.
type Options struct {
	// Client reads the list.
	Client Client
	// OnList is called with the VMs of each new revision, always from the same goroutine.
	OnList func(vms []vm.VM)
	// Wait bounds one long poll at the server.
	Wait time.Duration
	// Grace is added to Wait before a poll is abandoned as unresponsive.
	Grace time.Duration
	// MinRetry and MaxRetry bound the pause before a retry, which doubles with each failure.
	MinRetry, MaxRetry time.Duration
	// Registry is where the counters are registered.
	Registry gometrics.Registry
	// Logger receives log events.
	Logger zerolog.Logger
}

// NewOptions returns the defaults for reads through c.
func NewOptions(c Client) Options {
	return Options{
		Client:   c,
		OnList:   func([]vm.VM) {},
		Wait:     20 * time.Second,
		Grace:    2 * time.Second,
		MinRetry: 100 * time.Millisecond,
		MaxRetry: 5 * time.Second,
		Registry: gometrics.NewRegistry(),
		Logger:   zerolog.Nop(),
	}
}

// WithOnList returns a copy that calls f with the VMs of each new revision.
func (o Options) WithOnList(f func(vms []vm.VM)) Options {
	o.OnList = f
	return o
}

// WithWait returns a copy with Wait and Grace set.
func (o Options) WithWait(wait, grace time.Duration) Options {
	o.Wait = wait
	o.Grace = grace
	return o
}

// WithRetry returns a copy with MinRetry and MaxRetry set.
func (o Options) WithRetry(least, most time.Duration) Options {
	o.MinRetry = least
	o.MaxRetry = most
	return o
}

// WithRegistry returns a copy whose counters go to r.
func (o Options) WithRegistry(r gometrics.Registry) Options {
	o.Registry = r
	return o
}

// WithLogger returns a copy that logs to l.
func (o Options) WithLogger(l zerolog.Logger) Options {
	o.Logger = l
	return o
}
