package member

import (
	"mothcart/core/rendezvous"
	"mothcart/core/vm"
)

// View is the set of live entry VMs as one node sees it. Values are immutable.
type View struct {
	// Self is the node's own VM.
	Self vm.VM
	// VMs are the live entry VMs, Self included, by ID.
	VMs []vm.VM
	// Version grows with each change of the view on this node.
	Version uint64
}

// IDs returns the IDs of all live entry VMs in order.
func (v View) IDs() []string {
	ids := make([]string, 0, len(v.VMs))
	for _, m := range v.VMs {
		ids = append(ids, m.ID)
	}
	return ids
}

// Owner returns the ID of the VM that owns key. A leaving VM owns nothing unless all VMs are leaving.
func (v View) Owner(key string) string {
	owner, _ := rendezvous.Owner(key, v.candidates())
	return owner
}

// OwnerInZone returns the ID of the VM that owns key with preference for an availability zone. If all
// VMs in zone are leaving or there are none, it is the owner among the VMs of all zones.
func (v View) OwnerInZone(key, zone string) string {
	owner, _ := rendezvous.OwnerInZone(key, zone, v.VMs)
	return owner
}

// Owns reports whether the node itself owns key.
func (v View) Owns(key string) bool { return v.Owner(key) == v.Self.ID }

// candidates returns the IDs of the VMs that are not leaving, or of all VMs if all are leaving.
func (v View) candidates() []string {
	ids := make([]string, 0, len(v.VMs))
	for _, m := range v.VMs {
		if !m.Leaving {
			ids = append(ids, m.ID)
		}
	}
	if len(ids) == 0 {
		return v.IDs()
	}
	return ids
}
