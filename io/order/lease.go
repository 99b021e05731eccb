package order

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

	core "mothcart/core/order"
	"mothcart/io/store"
)

// releaseTimeout bounds the calls that release a lease or a slot, also after the runner was closed.
const releaseTimeout = 2 * time.Second

// weightSlots is the key of the weight store's slot pool; serviceSlots returns the key of a service's pool.
const weightSlots = "orders/weights"

func serviceSlots(service string) string { return "orders/service/" + service }

func leaseKey(engine string) string { return "orders/lease/" + engine }

// read returns the decoded object, or the zero value if the object is absent.
func read[T any](ctx context.Context, c store.Client, key string) (T, store.Version, error) {
	var v T
	o, err := c.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return v, store.Absent, nil
	}
	if err != nil {
		return v, 0, merry.Errorf("read %s: %w", key, err)
	}
	if err := msgpack.Unmarshal(o.Value, &v); err != nil {
		return v, 0, merry.Errorf("decode %s: %w", key, err)
	}
	return v, o.Version, nil
}

func write[T any](ctx context.Context, c store.Client, key string, v T, expect store.Version) error {
	data, err := msgpack.Marshal(v)
	if err != nil {
		return merry.Errorf("encode %s: %w", key, err)
	}
	_, err = store.PutConfirmed(ctx, c, key, data, expect)
	return err
}

// acquireLease acquires the engine's lease with the next fencing number.
func (r *Runner) acquireLease(t Target) (core.Held, error) {
	key := leaseKey(t.Engine.ID)
	record, version, err := read[core.Record](r.ctx, r.opts.Store, key)
	if err != nil {
		return core.Held{}, err
	}
	now := time.Now()
	r.mu.Lock()
	observed := r.leases[t.Engine.ID].WithRead(now, record)
	r.leases[t.Engine.ID] = observed
	r.mu.Unlock()
	if !observed.MayAcquire(now, t.ChecksFence) {
		return core.Held{}, merry.Errorf("lease of %s: %w", t.Engine.ID, errHeld)
	}
	acquired := record.AcquiredBy(r.opts.Holder)
	sentAt := time.Now()
	if err := write(r.ctx, r.opts.Store, key, acquired, version); err != nil {
		return core.Held{}, storeError("acquire lease", err)
	}
	return core.NewHeld(acquired, sentAt), nil
}

// renewLease writes the lease again; it fails if another VM has acquired the lease.
func (r *Runner) renewLease(engine string, held core.Held) (core.Held, error) {
	record, version, err := read[core.Record](r.ctx, r.opts.Store, leaseKey(engine))
	if err != nil {
		return held, err
	}
	if record != held.Record {
		return held, merry.Errorf("renew lease of %s: %w", engine, errHeld)
	}
	renewed := record.Renewed()
	sentAt := time.Now()
	if err := write(r.ctx, r.opts.Store, leaseKey(engine), renewed, version); err != nil {
		return held, storeError("renew lease", err)
	}
	return core.NewHeld(renewed, sentAt), nil
}

// releaseLease releases the lease if this VM still holds it. If the write fails, the lease lapses.
func (r *Runner) releaseLease(engine string, held core.Held) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), releaseTimeout)
	defer cancel()
	record, version, err := read[core.Record](ctx, r.opts.Store, leaseKey(engine))
	if err == nil && record == held.Record {
		_ = write(ctx, r.opts.Store, leaseKey(engine), record.Released(), version)
	}
}

// acquireSlot acquires or renews the engine's slot of a pool.
func (r *Runner) acquireSlot(pool, engine string, limit int) error {
	slots, version, err := read[core.Slots](r.ctx, r.opts.Store, pool)
	if err != nil {
		return err
	}
	now := time.Now()
	r.mu.Lock()
	watch := r.watches[pool].WithRead(now, slots)
	r.watches[pool] = watch
	r.mu.Unlock()
	next, ok := slots.WithAcquired(engine, r.opts.Holder, limit, func(s core.Slot) bool { return watch.Lapsed(now, s) })
	if !ok {
		return merry.Errorf("slots of %s: %w", pool, errHeld)
	}
	if err := write(r.ctx, r.opts.Store, pool, next, version); err != nil {
		return storeError("acquire slot", err)
	}
	return nil
}

// releaseTries bounds the attempts to release a slot when writes of other VMs to the pool conflict.
const releaseTries = 5

func (r *Runner) releaseSlot(pool, engine string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), releaseTimeout)
	defer cancel()
	for range releaseTries {
		slots, version, err := read[core.Slots](ctx, r.opts.Store, pool)
		if err != nil || !slots.Has(engine, r.opts.Holder) {
			return
		}
		if err := write(ctx, r.opts.Store, pool, slots.WithFreed(engine, r.opts.Holder), version); !store.Changed(err) {
			return
		}
	}
}
