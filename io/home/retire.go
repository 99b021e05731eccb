package home

import (
	"context"
	"errors"
	"time"

	"mothcart/io/object"
	"mothcart/io/store"
)

// Retirement asks that a VM be drained, so that it can be removed.
type Retirement struct {
	VMID string
	// Done reports that the VM has been marked as drained.
	Done bool
}

// Retirements describes how retirements are stored in the object service.
type Retirements struct {
	Kind   string
	Decode func(o object.Object) (Retirement, error)
	// Done is the status that marks a VM as drained.
	Done any
}

// verifyRetirements is the time between two listings in addition to the watch, which may miss a retirement.
// It is a small part of the seconds that a VM has to be drained.
const verifyRetirements = 2 * time.Second

// moveWait is how long a home waits for the progress of the items that it cancels on a drained VM.
const moveWait = 2 * progressWait

// successorInterval is the time between two looks whether another home node can take over.
const successorInterval = 100 * time.Millisecond

// applyRetirements drains VMs: it withdraws items from their runners. A home whose own VM is to be drained steps down as
// soon as another home node can take over, and the next home drains that VM. Home nodes have no data on their disks to
// move.
func (h *Home) applyRetirements(c object.Change) {
	takenBack := c.Listed
	for _, e := range c.Events {
		if !e.Deleted {
			c.Objects = append(c.Objects, e.Object)
		}
		takenBack = takenBack || (e.Deleted && e.Object.Name == h.opts.VMID)
	}
	for _, o := range c.Objects {
		r, err := h.opts.Retirements.Decode(o)
		if err != nil {
			h.opts.Log.Error().Str("vm", o.Name).Int64("revision", int64(o.Revision)).Err(err).Msg("retirementSkipped")
			continue
		}
		if r.Done {
			continue
		}
		own := r.VMID == h.opts.VMID
		if own {
			takenBack = false
		}
		if own && h.retiring.Swap(true) {
			continue
		}
		h.opts.Log.Info().Str("vm", r.VMID).Int64("revision", int64(o.Revision)).Bool("own", own).Msg("retirementAsked")
		if own {
			h.done.Go(h.stepDown)
			continue
		}
		h.done.Go(func() { h.drainVM(r.VMID) })
	}
	if takenBack && h.retiring.Swap(false) {
		h.opts.Log.Info().Str("vm", h.opts.VMID).Msg("retirementTakenBack")
	}
}

// stepDown gives the role of home to another home node, once one is connected that is not drained itself. Until then this
// home goes on, since without one nobody would run the items that were accepted.
func (h *Home) stepDown() {
	if !h.hasSuccessor() {
		h.opts.Log.Warn().Str("vm", h.opts.VMID).Int64("term", h.opts.Term).Msg("retirementWaits")
		h.metrics.retirementWaits.Update(1)
		defer h.metrics.retirementWaits.Update(0)
	}
	for !h.hasSuccessor() {
		if !h.retiring.Load() {
			return
		}
		select {
		case <-time.After(successorInterval):
		case <-h.ctx.Done():
			return
		}
	}
	h.opts.StepDown()
}

// hasSuccessor reports that another home node is connected. Those that are drained have lost their runner.
func (h *Home) hasSuccessor() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.runners) > 0
}

// drainVM withdraws the items from a VM's runner and marks the VM as drained. Until it is, or the retirement is taken back, the
// VM gets no items though it connects again.
func (h *Home) drainVM(vm string) {
	running, first := h.dropRunner(vm)
	if !first {
		return // a listing has repeated the retirement
	}
	defer h.endDrain(vm)
	if running > 0 {
		select {
		case <-time.After(moveWait):
		case <-h.ctx.Done():
			return
		}
	}
	for h.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(h.ctx, writeTimeout)
		_, err := h.opts.Objects.PutStatus(ctx, h.opts.Retirements.Kind, vm, h.opts.Retirements.Done)
		cancel()
		if err == nil || errors.Is(err, store.ErrNotFound) {
			h.opts.Log.Info().Str("vm", vm).Bool("takenBack", err != nil).Msg("retirementCompleted")
			return
		}
		h.opts.Log.Warn().Str("vm", vm).Err(err).Msg("retirementNotWritten")
		time.Sleep(retryPause)
	}
}

func (h *Home) endDrain(vm string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.draining, vm)
}

// dropRunner dispatches no more items to a VM and cancels those that it runs; the runner returns their
// progress. It returns the number of items cancelled, and whether the VM was not being drained before.
func (h *Home) dropRunner(vm string) (running int, first bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining[vm] {
		return 0, false
	}
	h.draining[vm] = true
	for key, n := range h.runners {
		if n.name != vm {
			continue
		}
		running += n.running
		n.stop()
		delete(h.runners, key)
	}
	return running, true
}
