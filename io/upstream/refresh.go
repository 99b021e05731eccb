package upstream

import (
	"time"

	"mothcart/core/admit"
	"mothcart/core/config"
	"mothcart/core/retry"
	"mothcart/core/route"
	"mothcart/core/vm"
)

// refresh rebuilds the services after a change of the configuration, the upstreams or the number of entry VMs;
// mu is held.
func (r *Router) refresh(now time.Time) {
	snapshot := r.opts.Snapshot()
	upstreams, revision := r.opts.Upstreams()
	vms := r.opts.VMs()
	if snapshot == r.seenConfig && revision == r.seenRevision && vms == r.seenVMs && r.seenConfig != nil {
		return
	}
	r.seenConfig, r.seenRevision, r.seenVMs = snapshot, revision, vms
	byService := upstreamsByService(upstreams, snapshot)
	current := map[string]*service{}
	for _, cfg := range snapshot.Set.Services {
		s, ok := r.services[cfg.Name]
		if !ok {
			s = &service{queues: map[string]admit.Queue{}, budget: retry.NewBudget(cfg.RetryBudget), waiting: map[uint64]*waiter{}}
		}
		r.configure(now, s, cfg, byService[cfg.Name])
		current[cfg.Name] = s
	}
	for name, s := range r.services {
		if current[name] == nil {
			s.refuseAll(Refusal{Code: CodeUnknownModel})
		}
	}
	r.services = current
}

func (r *Router) configure(now time.Time, s *service, cfg config.Service, upstreams []vm.VM) {
	old := s.table
	capacity := cfg.MaxConcurrency
	if capacity <= 0 {
		capacity = defaultConcurrency
	}
	subset := route.Subset(r.opts.Self, upstreams, route.SubsetSize)
	names := namesOf(r.seenConfig, cfg.Name)
	s.table = route.NewTable(r.opts.Self, r.sharers(len(subset), len(upstreams)), subset, capacity, names, r.counter).WithStateOf(old).
		WithBatchFirst(route.BatchFirst(cfg.Name, cfg.BatchShare, upstreams))
	for _, u := range subset {
		if _, known := old.Find(u.ID); !known && old.Len() > 0 {
			s.table = s.table.WithHealth(u.ID, route.Health{}.WithSlowStart(now))
		}
	}
	s.cfg = cfg
	s.budget = s.budget.WithShare(cfg.RetryBudget)
	s.shares = sharesOf(r.seenConfig, cfg.Name)
	for name, q := range s.queues {
		s.queues[name] = q.WithLimit(cfg.QueueLimit).WithShares(s.shares)
	}
}

// sharers returns the mean number of VMs that route to one upstream, if each VM routes to subset
// upstreams out of all.
func (r *Router) sharers(subset, all int) int {
	return max(1, r.seenVMs*subset/max(1, all))
}

func (r *Router) counter(id string) *route.Counter {
	c, ok := r.counters[id]
	if !ok {
		c = &route.Counter{}
		r.counters[id] = c
	}
	return c
}

// namesOf lists the models and adapters of a service.
func namesOf(s *config.Snapshot, service string) []string {
	var names []string
	for _, m := range s.Set.Models {
		if m.Service == service {
			names = append(names, m.Name)
		}
	}
	for _, a := range s.Set.Adapters {
		if m, ok := s.Model(a.Model); ok && m.Service == service {
			names = append(names, a.Name)
		}
	}
	return names
}

func sharesOf(s *config.Snapshot, service string) []admit.Share {
	var shares []admit.Share
	for _, t := range s.Set.Teams {
		for _, share := range t.Shares {
			if share.Service == service {
				shares = append(shares, admit.Share{Team: t.Name, Share: share.Share})
			}
		}
	}
	return shares
}
