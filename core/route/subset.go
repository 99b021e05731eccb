package route

import (
	"cmp"
	"slices"

	"mothcart/core/rendezvous"
	"mothcart/core/vm"
)

// SubsetSize is the largest number of upstreams of one service that a VM routes to.
const SubsetSize = 150

// Subset returns the upstreams that the VM self routes to: all if there are at most size, else the
// nearest, chosen so that each upstream is in about the same number of subsets. The result depends only
// on the arguments, so that each VM and each home computes the same subset.
func Subset(self vm.VM, upstreams []vm.VM, size int) []vm.VM {
	if len(upstreams) <= size {
		return upstreams
	}
	ranked := slices.Clone(upstreams)
	weights := make(map[string]uint64, len(upstreams))
	for _, u := range upstreams {
		weights[u.ID] = rendezvous.Weight(self.ID, u.ID)
	}
	slices.SortFunc(ranked, func(a, b vm.VM) int {
		if c := cmp.Compare(distance(self, a), distance(self, b)); c != 0 {
			return c
		}
		return cmp.Compare(weights[b.ID], weights[a.ID])
	})
	chosen := ranked[:size]
	slices.SortFunc(chosen, func(a, b vm.VM) int { return cmp.Compare(a.ID, b.ID) })
	return chosen
}
