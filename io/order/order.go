// Package order gives the engines their orders, under leases kept in the object service.
//
// A Runner looks after the engines that this VM is home of. For an engine that doesn't hold what
// core/order assigns to it, it takes a slot of the service, so that a roll-out keeps capacity, a
// slot of the weight store, whose rate is limited, and the engine's lease; it gives the order, reads
// the reported state back until it is reached, and frees all three. Nothing is written while
// engines hold what they should.
//
// Usage:
//
//	r := order.New(order.NewOptions(holder, client, engines))
//	defer r.Close()
package order

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rcrowley/go-metrics"

	core "mothcart/core/order"
	"mothcart/core/vm"
	"mothcart/io/clock"
	"mothcart/io/engine"
	"mothcart/io/store"
)

// errBusy means that another VM holds what is needed; the next look tries again.
var errBusy = merry.Sentinel("held by another VM")

// Target is an engine that this VM is home of.
type Target struct {
	Engine  vm.VM
	Service string
	// ChecksFence reports that the engine refuses old fencing numbers.
	ChecksFence bool
	// MaxUnavailable is the share of the service's engines that may change at once, and Engines
	// their number.
	MaxUnavailable float64
	Engines        int
	Desired        core.Desired
}

// Runner gives orders. It is safe for concurrent use.
type Runner struct {
	opts Options
	ctx  context.Context
	stop context.CancelFunc
	done sync.WaitGroup

	mu      sync.Mutex
	busy    map[string]bool
	leases  map[string]core.Observed
	watches map[string]core.SlotWatch
}

// New starts the runner's goroutine.
func New(opts Options) *Runner {
	ctx, stop := context.WithCancel(context.Background())
	r := &Runner{
		opts: opts, ctx: ctx, stop: stop,
		busy: map[string]bool{}, leases: map[string]core.Observed{}, watches: map[string]core.SlotWatch{},
	}
	r.done.Go(func() {
		ticker := time.NewTicker(opts.LookInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				r.look()
			}
		}
	})
	return r
}

// Close stops giving orders; leases that are held are released.
func (r *Runner) Close() {
	r.stop()
	r.done.Wait()
}

// look starts a change for each engine that needs one.
func (r *Runner) look() {
	for _, t := range r.opts.Targets() {
		r.mu.Lock()
		started := r.busy[t.Engine.ID]
		r.busy[t.Engine.ID] = true
		r.mu.Unlock()
		if started {
			continue
		}
		r.done.Go(func() {
			defer func() {
				r.mu.Lock()
				delete(r.busy, t.Engine.ID)
				r.mu.Unlock()
			}()
			if err := r.settle(t); err != nil && !errors.Is(err, errBusy) && r.ctx.Err() == nil {
				r.opts.Log.Warn().Err(err).Str("upstream", t.Engine.ID).Msg("orderFailed")
			}
		})
	}
}

// settle brings one engine to its desired state, if it isn't there. The slots of a change whose
// end was not seen are left to lapse, since the engine may still be at it.
func (r *Runner) settle(t Target) error {
	reached, err := r.reached(t)
	if err != nil || reached {
		return err
	}
	limit := core.SlotLimit(t.Engines, t.MaxUnavailable)
	changing := false
	for _, pool := range []struct {
		key   string
		limit int
	}{{serviceSlots(t.Service), limit}, {weightSlots, r.opts.WeightSlots}} {
		if err := r.takeSlot(pool.key, t.Engine.ID, pool.limit); err != nil {
			return err
		}
		defer func() {
			if !changing {
				r.freeSlot(pool.key, t.Engine.ID)
			}
		}()
	}
	changing, err = r.order(t, limit)
	return err
}

// reached reports whether the engine holds exactly what it should.
func (r *Runner) reached(t Target) (bool, error) {
	state, err := r.opts.Engines.OrderState(r.ctx, t.Engine.Address)
	if err != nil {
		return false, err
	}
	want := append(slices.Clone(t.Desired.Models), t.Desired.Adapters...)
	if state.Loading || len(want) != len(state.Loaded) {
		return false, nil
	}
	for _, l := range want {
		if !slices.Contains(state.Loaded, l) {
			return false, nil
		}
	}
	return true, nil
}

// order takes the lease, gives the order and waits until it is reached. changing reports that the
// order may have been taken and its end was not seen.
func (r *Runner) order(t Target, limit int) (changing bool, err error) {
	held, err := r.takeLease(t)
	if err != nil {
		return false, err
	}
	defer func() { r.release(t.Engine.ID, held) }()
	for {
		now := time.Now()
		if !held.MayOrder(now) {
			return changing, merry.Errorf("order %s: lease is over", t.Engine.ID)
		}
		if !changing {
			if err := r.opts.Engines.Order(r.ctx, t.Engine.Address, held.Record.Fence, t.Desired); err != nil {
				return !errors.Is(err, engine.ErrOldFence), merry.Errorf("order %s: %w", t.Engine.ID, err)
			}
			changing = true
			metrics.GetOrRegisterCounter("orders.given", r.opts.Registry).Inc(1)
			r.opts.Log.Info().Str("upstream", t.Engine.ID).Uint64("fence", held.Record.Fence).Msg("orderGiven")
		}
		if err := clock.Sleep(r.ctx, r.opts.ReadBack); err != nil {
			return true, err
		}
		reached, err := r.reached(t)
		if err != nil || reached {
			return !reached, err
		}
		if held.RenewDue(time.Now()) {
			if held, err = r.renew(t, held, limit); err != nil {
				return true, err
			}
		}
	}
}

// renew renews the lease and the slots of a change that takes longer.
func (r *Runner) renew(t Target, held core.Held, limit int) (core.Held, error) {
	held, err := r.renewLease(t.Engine.ID, held)
	if err != nil {
		return held, err
	}
	if err := r.takeSlot(serviceSlots(t.Service), t.Engine.ID, limit); err != nil {
		return held, err
	}
	return held, r.takeSlot(weightSlots, t.Engine.ID, r.opts.WeightSlots)
}

// storeError keeps what callers tell apart.
func storeError(what string, err error) error {
	if errors.Is(err, store.ErrConflict) {
		return merry.Errorf("%s: %w", what, errBusy)
	}
	return merry.Errorf("%s: %w", what, err)
}
