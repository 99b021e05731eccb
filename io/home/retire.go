package home

import (
	"context"
	"time"

	"mothcart/io/object"
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

// applyRetirements drains VMs: it withdraws items from their runners. A home whose own VM is to be drained
// steps down, and the next home drains that VM. Home nodes have no data on their disks to move.
func (h *Home) applyRetirements(c object.Change) {
	for _, e := range c.Events {
		if !e.Deleted {
			c.Objects = append(c.Objects, e.Object)
		}
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
		h.opts.Log.Info().Str("vm", r.VMID).Int64("revision", int64(o.Revision)).Bool("own", r.VMID == h.opts.VMID).Msg("retirementAsked")
		if r.VMID == h.opts.VMID {
			h.opts.StepDown()
			continue
		}
		h.done.Go(func() { h.drainVM(r.VMID) })
	}
}

// drainVM withdraws the items from a VM's runner and marks the VM as drained.
func (h *Home) drainVM(vm string) {
	if h.dropRunner(vm) > 0 {
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
		if err == nil {
			h.opts.Log.Info().Str("vm", vm).Msg("retirementCompleted")
			return
		}
		h.opts.Log.Warn().Str("vm", vm).Err(err).Msg("retirementNotWritten")
		time.Sleep(retryPause)
	}
}

// dropRunner dispatches no more items to a VM and cancels those that it runs; the runner returns their
// progress. It returns the number of items cancelled.
func (h *Home) dropRunner(vm string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	running := 0
	for key, n := range h.runners {
		if n.name != vm {
			continue
		}
		running += n.running
		n.stop()
		delete(h.runners, key)
	}
	return running
}
