// Package rendezvous assigns roles to VMs by highest-random-weight hashing.
//
// Every VM computes the same owner from the same members, without coordination. When a member is
// removed, only the keys that it owned move. Two VMs with different views may both consider themselves
// the owner of a key; callers must stay correct then, by conditional updates of the object service.
//
// Usage:
//
//	owner, ok := rendezvous.Owner("ledger/17", ids)
//	nearest, ok := rendezvous.OwnerInZone("upstream/e4", "bole", vms)
//	backups := rendezvous.Top("job/j1", ids, 3)
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mothcart/core/vm"
)

// Owner returns the member with the highest weight for key; it reports false if there are no members.
func Owner(key string, ids []string) (string, bool) {
	var best string
	var bestWeight uint64
	for _, id := range ids {
		w := Weight(key, id)
		if best == "" || w > bestWeight || (w == bestWeight && id < best) {
			best, bestWeight = id, w
		}
	}
	return best, best != ""
}

// OwnerInZone returns the owner among the VMs of zone that are not leaving. If there are none, it
// returns the owner among all VMs that are not leaving, and if all are leaving, among all VMs.
func OwnerInZone(key, zone string, vms []vm.VM) (string, bool) {
	local := idsWhere(vms, func(v vm.VM) bool { return !v.Leaving && v.AvailabilityZone == zone })
	if len(local) > 0 {
		return Owner(key, local)
	}
	notLeaving := idsWhere(vms, func(v vm.VM) bool { return !v.Leaving })
	if len(notLeaving) > 0 {
		return Owner(key, notLeaving)
	}
	return Owner(key, idsWhere(vms, func(vm.VM) bool { return true }))
}

// Top returns up to n members in falling order of weight for key.
func Top(key string, ids []string, n int) []string {
	ranked := slices.Clone(ids)
	slices.SortFunc(ranked, func(a, b string) int {
		if c := cmp.Compare(Weight(key, b), Weight(key, a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return ranked[:min(n, len(ranked))]
}

// Weight returns the pseudo-random weight of the member id for key.
func Weight(key, id string) uint64 {
	return Combine(xxhash.Sum64String(key), MemberHash(id))
}

// MemberHash returns the hash of a member for Combine.
func MemberHash(id string) uint64 { return mix(xxhash.Sum64String(id)) }

// Combine returns the weight for the hash of a key and the MemberHash of a member.
func Combine(key, member uint64) uint64 { return mix(key ^ member) }

// mix is the finalizer of the 64-bit Murmur hash; it spreads each input bit over the output.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

func idsWhere(vms []vm.VM, keep func(vm.VM) bool) []string {
	var ids []string
	for _, v := range vms {
		if keep(v) {
			ids = append(ids, v.ID)
		}
	}
	return ids
}
