package serve

import (
	"fmt"
	"time"

	"mothcart/core/config"
	coreorder "mothcart/core/order"
	"mothcart/core/vm"
	"mothcart/io/order"
	"mothcart/io/store"
)

// startOrders starts the runner that gives load and unload orders to the engines that this VM is home of.
func (s *Server) startOrders(c store.Client) {
	holder := fmt.Sprintf("%s/%d", s.opts.Settings.VMID, time.Now().UnixNano())
	s.orders = order.New(order.NewOptions(holder, c, s.controlClient).WithTargets(s.orderTargets).
		WithLog(s.opts.Log, s.opts.Registry).WithIntervals(s.opts.OrderPollInterval, s.opts.OrderReadBackInterval))
}

// orderTargets returns the engines that this VM is home of, with the models that each should have loaded.
// Engines whose group has no MemoryMiB get no orders.
func (s *Server) orderTargets() []order.Target {
	home := s.home.Load()
	if home == nil {
		return nil
	}
	snapshot := s.follower.Current()
	list, revision := s.upstreams.current()
	if snapshot != s.assigned.snapshot || revision != s.assigned.revision {
		s.assigned = assign(snapshot, list, revision)
	}
	var targets []order.Target
	for _, t := range s.assigned.targets {
		if home.IsHome(t.Engine.ID) {
			targets = append(targets, t)
		}
	}
	return targets
}

// assignment caches the targets of all engines for one configuration and one revision of the upstream list.
// Only the goroutine of the order runner uses it.
type assignment struct {
	snapshot *config.Snapshot
	revision uint64
	targets  []order.Target
}

func assign(snapshot *config.Snapshot, list []vm.VM, revision uint64) assignment {
	a := assignment{snapshot: snapshot, revision: revision}
	for _, service := range snapshot.Set.Services {
		if service.Kind != config.KindEngine {
			continue
		}
		var engines []coreorder.Engine
		var vms []vm.VM
		for _, u := range list {
			g, ok := snapshot.UpstreamGroup(u.Group)
			if ok && g.Service == service.Name && g.MemoryMiB > 0 && !u.Leaving {
				engines = append(engines, coreorder.Engine{ID: u.ID, MemoryMiB: g.MemoryMiB})
				vms = append(vms, u)
			}
		}
		desired, _ := coreorder.Assign(engines, modelsOf(snapshot, service.Name), snapshot.Set.Adapters)
		for _, u := range vms {
			if d := desired[u.ID]; len(d.Models) > 0 {
				a.targets = append(a.targets, order.Target{
					Engine: u, Service: service.Name, ChecksFence: service.ChecksFence,
					MaxUnavailable: service.MaxUnavailable, Engines: len(engines), Desired: d,
				})
			}
		}
	}
	return a
}

func modelsOf(s *config.Snapshot, service string) []config.Model {
	var models []config.Model
	for _, m := range s.Set.Models {
		if m.Service == service {
			models = append(models, m)
		}
	}
	return models
}
