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
	// OnList takes each new revision; it is called from one goroutine.
	OnList func(vms []vm.VM)
	// Wait bounds one long poll at the server.
	Wait time.Duration
	// Grace is added to Wait before a poll counts as silent.
	Grace time.Duration
	// MinRetry and MaxRetry bound the time before a retry.
	MinRetry, MaxRetry time.Duration
	// Registry takes the counters.
	Registry gometrics.Registry
	// Logger takes events.
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

// WithOnList returns a copy that gives each new revision to f.
func (o Options) WithOnList(f func(vms []vm.VM)) Options {
	o.OnList = f
	return o
}

// WithWait returns a copy with the wait and the grace of a poll set.
func (o Options) WithWait(wait, grace time.Duration) Options {
	o.Wait = wait
	o.Grace = grace
	return o
}

// WithRetry returns a copy with the bounds of the time before a retry set.
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
