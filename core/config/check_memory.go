package config

import "math"

// memory reports models that no upstream group can hold and models of plain services.
func (c *checker) memory() {
	services := index(c.set.Services, func(s Service) string { return s.Name })
	groups := map[string][]UpstreamGroup{}
	for _, g := range c.set.UpstreamGroups {
		groups[g.Service] = append(groups[g.Service], g)
	}
	adapters := map[string]int{}
	for _, a := range c.set.Adapters {
		adapters[a.Model] += a.MemoryMiB
	}
	everywhere := map[string]int{}
	for _, m := range c.set.Models {
		service, ok := services[m.Service]
		if !ok {
			continue
		}
		object := Ref{ObjectModel, m.Name}
		need := m.MemoryMiB + adapters[m.Name]
		switch {
		case service.Kind == KindPlain:
			c.fail(object, fieldService, "service %s is of kind %s and can't hold models", m.Service, KindPlain)
		case len(groups[m.Service]) == 0:
			c.fail(object, fieldService, "no upstreamGroup belongs to service %s", m.Service)
		case need > largestMemory(groups[m.Service]):
			c.fail(object, "memoryMiB", "the model and its adapters need %d MiB, the largest upstreamGroup of service %s has %d MiB",
				need, m.Service, largestMemory(groups[m.Service]))
		case m.Replicas == 0:
			everywhere[m.Service] += need
		}
	}
	c.memoryEverywhere(everywhere)
}

// memoryEverywhere reports groups that are too small for the models that every engine loads, which
// are those with Replicas 0.
func (c *checker) memoryEverywhere(need map[string]int) {
	for _, g := range c.set.UpstreamGroups {
		if n := need[g.Service]; g.MemoryMiB > 0 && n > g.MemoryMiB {
			c.fail(Ref{ObjectUpstreamGroup, g.Name}, "memoryMiB",
				"the models without replicas of service %s need %d MiB on every engine; set replicas on some", g.Service, n)
		}
	}
}

// largestMemory returns the memory of the largest group. A group with MemoryMiB 0 counts as unlimited.
func largestMemory(groups []UpstreamGroup) int {
	largest := 0
	for _, g := range groups {
		if g.MemoryMiB == 0 {
			return math.MaxInt
		}
		largest = max(largest, g.MemoryMiB)
	}
	return largest
}
