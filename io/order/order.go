// Package order sends orders to the engines to load models and adapters, under leases stored in the
// object service.
//
// A Runner manages the engines that this VM is home of. If an engine's loaded models and adapters
// differ from those that core/order assigns to it, the Runner acquires a slot of the service, so that
// enough capacity remains during a roll-out, a slot of the weight store, whose rate is limited, and
// the engine's lease. It sends the order, polls the engine until it reports the desired state, and
// releases all three. Nothing is written to the object service while all engines are in their
// desired state.
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

// errHeld means that another VM holds the lease, that no slot is free, or that a write of another VM
// conflicted; the next check tries again.
var errHeld = merry.Sentinel("held by another VM")

// Target is an engine that this VM is home of.
type Target struct {
	Engine  vm.VM
	Service string
	// ChecksFence reports that the engine refuses old fencing numbers.
	ChecksFence bool
	// MaxUnavailable is the share of the service's engines that may change at once, and Engines the
	// number of the service's engines.
	MaxUnavailable float64
	Engines        int
	Desired        core.Desired
}

// Runner sends orders to engines. It is safe for concurrent use.
type Runner struct {
	opts Options
	ctx  context.Context
	stop context.CancelFunc
	done sync.WaitGroup

	mu         sync.Mutex
	inProgress map[string]bool
	leases     map[string]core.Observed
	watches    map[string]core.SlotWatch
}

// New starts the runner's goroutine.
func New(opts Options) *Runner {
	ctx, stop := context.WithCancel(context.Background())
	r := &Runner{
		opts: opts, ctx: ctx, stop: stop,
		inProgress: map[string]bool{}, leases: map[string]core.Observed{}, watches: map[string]core.SlotWatch{},
	}
	r.done.Go(func() {
		ticker := time.NewTicker(opts.CheckInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				r.checkEngines()
			}
		}
	})
	return r
}

// Close stops sending orders and releases the leases that are held.
func (r *Runner) Close() {
	r.stop()
	r.done.Wait()
}

// checkEngines reconciles each engine in the background, unless that is already in progress.
func (r *Runner) checkEngines() {
	for _, t := range r.opts.Targets() {
		r.mu.Lock()
		started := r.inProgress[t.Engine.ID]
		r.inProgress[t.Engine.ID] = true
		r.mu.Unlock()
		if started {
			continue
		}
		r.done.Go(func() {
			defer func() {
				r.mu.Lock()
				delete(r.inProgress, t.Engine.ID)
				r.mu.Unlock()
			}()
			if err := r.reconcile(t); err != nil && !errors.Is(err, errHeld) && r.ctx.Err() == nil {
				r.opts.Log.Warn().Err(err).Str("upstream", t.Engine.ID).Msg("orderFailed")
			}
		})
	}
}

// reconcile brings one engine to its desired state. If a change was ordered and its end was not observed,
// its slots are not released but lapse, since the engine may still be changing.
func (r *Runner) reconcile(t Target) error {
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
		if err := r.acquireSlot(pool.key, t.Engine.ID, pool.limit); err != nil {
			return err
		}
		defer func() {
			if !changing {
				r.releaseSlot(pool.key, t.Engine.ID)
			}
		}()
	}
	changing, err = r.order(t, limit)
	return err
}

// reached reports whether the engine has loaded exactly the desired models and adapters.
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

// order acquires the lease, sends the order and waits until the engine has reached the desired state.
// changing reports that the engine may have accepted the order and that its end was not observed.
func (r *Runner) order(t Target, limit int) (changing bool, err error) {
	held, err := r.acquireLease(t)
	if err != nil {
		return false, err
	}
	defer func() { r.releaseLease(t.Engine.ID, held) }()
	for {
		now := time.Now()
		if !held.MayOrder(now) {
			return changing, merry.Errorf("order %s: lease expired", t.Engine.ID)
		}
		if !changing {
			if err := r.opts.Engines.Order(r.ctx, t.Engine.Address, held.Record.Fence, t.Desired); err != nil {
				return !errors.Is(err, engine.ErrOldFence), merry.Errorf("order %s: %w", t.Engine.ID, err)
			}
			changing = true
			metrics.GetOrRegisterCounter("orders.given", r.opts.Registry).Inc(1)
			r.opts.Log.Info().Str("upstream", t.Engine.ID).Uint64("fence", held.Record.Fence).Msg("orderGiven")
		}
		if err := clock.Sleep(r.ctx, r.opts.ReadBackInterval); err != nil {
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

// renew renews the lease and the slots of a change that is still in progress.
func (r *Runner) renew(t Target, held core.Held, limit int) (core.Held, error) {
	held, err := r.renewLease(t.Engine.ID, held)
	if err != nil {
		return held, err
	}
	if err := r.acquireSlot(serviceSlots(t.Service), t.Engine.ID, limit); err != nil {
		return held, err
	}
	return held, r.acquireSlot(weightSlots, t.Engine.ID, r.opts.WeightSlots)
}

// storeError wraps an error of the object service; a conflict becomes errHeld.
func storeError(what string, err error) error {
	if store.Changed(err) {
		return merry.Errorf("%s: %w", what, errHeld)
	}
	return merry.Errorf("%s: %w", what, err)
}
