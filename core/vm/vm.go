// Package vm describes the VMs of the fleet: the ones that run mothcart and the upstreams.
//
// The platform's VM list gives candidates and marks the VMs that are leaving. The list lags behind the
// state of the fleet. Every other package refers to a VM by its ID.
//
// Usage:
//
//	entry := vm.VM{ID: "e1", Group: vm.EntryGroup, AvailabilityZone: "arada", Address: "10.0.0.1:8443"}
//	leaving := entry.WithLeaving(true)
package vm

// EntryGroup is the group name of the VMs that run mothcart itself.
const EntryGroup = "mothcart"

// VM is one VM of the platform's list. Values are immutable.
type VM struct {
	// ID is unique in the fleet and is not reused.
	ID string `json:"id" msgpack:"id"`
	// Group is EntryGroup or the label that an upstream group of the configuration names.
	Group string `json:"group" msgpack:"g"`
	// Region contains one or more availability zones.
	Region string `json:"region" msgpack:"r"`
	// AvailabilityZone is the failure domain that the VM runs in.
	AvailabilityZone string `json:"availabilityZone" msgpack:"z"`
	// Address is host:port: the peer port of an entry VM, the HTTP port of an upstream.
	Address string `json:"address" msgpack:"a"`
	// Leaving reports that the VM is about to be removed and must receive no new work.
	Leaving bool `json:"leaving" msgpack:"l"`
}

// WithLeaving returns a copy of v with Leaving set to leaving.
func (v VM) WithLeaving(leaving bool) VM {
	v.Leaving = leaving
	return v
}
