package vmlist

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// maxNamed bounds the VMs of one list that are logged since they can't be read.
const maxNamed = 10

// Watcher follows the VM list. Its methods are safe for concurrent use.
type Watcher struct {
	opts    Options
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	current atomic.Pointer[List]
	polls   gometrics.Counter
	errors  gometrics.Counter
	leftOut gometrics.Counter
}

// New returns a Watcher that polls the list until Close.
func New(opts Options) *Watcher {
	w := &Watcher{
		opts:    opts,
		polls:   gometrics.GetOrRegisterCounter("vmlist.polls", opts.Registry),
		errors:  gometrics.GetOrRegisterCounter("vmlist.errors", opts.Registry),
		leftOut: gometrics.GetOrRegisterCounter("vmlist.leftOut", opts.Registry),
	}
	w.current.Store(&List{})
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.wg.Go(func() { w.run(ctx) })
	return w
}

// Current returns the last list that was read; its revision is 0 before the first.
func (w *Watcher) Current() List { return *w.current.Load() }

// Close ends the poll in progress and waits for OnList to return.
func (w *Watcher) Close() {
	w.cancel()
	w.wg.Wait()
}

func (w *Watcher) run(ctx context.Context) {
	retry := w.opts.MinRetry
	for ctx.Err() == nil {
		err := w.poll(ctx)
		if err == nil {
			retry = w.opts.MinRetry
			continue
		}
		if ctx.Err() != nil {
			return
		}
		w.errors.Inc(1)
		w.opts.Logger.Warn().Err(err).Msg("vmListUnavailable")
		sleep(ctx, retry/2+rand.N(retry/2+1))
		retry = min(2*retry, w.opts.MaxRetry)
	}
}

// poll makes one long poll. A stale revision, from a list server that lags behind another one,
// changes nothing.
func (w *Watcher) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, w.opts.Wait+w.opts.Grace)
	defer cancel()
	w.polls.Inc(1)
	after := w.current.Load().Revision
	started := time.Now()
	l, err := w.opts.Client.Read(ctx, after, w.opts.Wait)
	if err != nil {
		return err
	}
	if l.Revision > after {
		w.leftOut.Inc(int64(len(l.LeftOut)))
		for _, err := range l.LeftOut[:min(len(l.LeftOut), maxNamed)] {
			w.opts.Logger.Warn().Str("kind", "vms").Uint64("revision", l.Revision).Err(err).Msg("entryLeftOut")
		}
		w.current.Store(&l)
		w.opts.OnList(l.VMs)
		return nil
	}
	// A server that answers early without a new revision must not be polled in a tight loop.
	if time.Since(started) < w.opts.MinRetry {
		sleep(ctx, w.opts.MinRetry)
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
