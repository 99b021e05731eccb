package route

import (
	"mothcart/core/rendezvous"
	"mothcart/core/vm"
)

// BatchFirst returns the IDs of the upstreams of a service that are for batch first: the given share
// of the upstreams that are not leaving. Every VM computes the same IDs.
func BatchFirst(service string, share float64, upstreams []vm.VM) []string {
	if share <= 0 {
		return nil
	}
	var ids []string
	for _, u := range upstreams {
		if !u.Leaving {
			ids = append(ids, u.ID)
		}
	}
	return rendezvous.Top("batchFirst/"+service, ids, int(share*float64(len(ids))))
}
