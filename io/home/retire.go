package home

import (
	"context"
	"time"

	"mothcart/io/object"
)

// Retirement asks that a VM be emptied, so that it can be removed.
type Retirement struct {
	VMID string
	// Done reports that the VM is known to be empty.
	Done bool
}

// Retirements tells how retirements stand in the object service.
type Retirements struct {
	Kind   string
	Decode func(o object.Object) (Retirement, error)
	// Done is the status that tells that the VM is empty.
	Done any
}

// verifyRetirements is the time between two listings beside the watch, which may miss a retirement; it
// is a small part of the seconds that a VM is given.
const verifyRetirements = 2 * time.Second

// moveWait is how long a home waits for the progress of items that it takes from a VM.
const moveWait = 2 * progressWait

// applyRetirements empties VMs: items are taken from their runners, and a home that is to go itself
// leaves that to the next one. Home nodes keep nothing on their disks.
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
		h.done.Go(func() { h.empty(r.VMID) })
	}
}

// empty takes the items from a VM and says that it is empty.
func (h *Home) empty(vm string) {
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

// dropRunner gives a VM no more items and ends those that it runs; their progress comes back. It
// returns their number.
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
