package rendezvous

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"mothcart/core/vm"
)

// Guards against keys that move between the other members when one is removed, and against an uneven
// distribution of keys.
func TestOwnerMovesOnlyKeysOfLostMember(t *testing.T) {
	var ids []string
	for i := range 9 {
		ids = append(ids, fmt.Sprintf("e%d", i))
	}
	owned := map[string]int{}
	for i := range 9000 {
		key := fmt.Sprintf("key%d", i)
		before, _ := Owner(key, ids)
		after, _ := Owner(key, ids[1:])
		owned[before]++
		if before != ids[0] {
			assert.Equal(t, before, after)
		}
	}
	for _, id := range ids {
		assert.InDelta(t, 1000, owned[id], 150)
	}
}

// Guards against an owner in another zone while the zone has a VM that is not leaving, and against a key
// without an owner when all VMs are leaving.
func TestOwnerInZone(t *testing.T) {
	a := vm.VM{ID: "a", AvailabilityZone: "arada"}
	b := vm.VM{ID: "b", AvailabilityZone: "bole"}
	for _, tc := range []struct {
		name string
		vms  []vm.VM
		want string
	}{
		{"same zone first", []vm.VM{a, b}, "a"},
		{"leaving VM owns nothing", []vm.VM{a.WithLeaving(true), b}, "b"},
		{"all leaving", []vm.VM{a.WithLeaving(true)}, "a"},
		{"no VM", nil, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, ok := OwnerInZone("k", "arada", tc.vms)
			assert.Equal(t, tc.want, got)
			assert.Equal(t, tc.want != "", ok)
		})
	}
}
