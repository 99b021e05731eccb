package node

import "mothcart/io/admit"

// frameShare is the share of the memory for frames of senders that have not proved to be nodes.
const frameShare = 1.0 / 16

// admit returns the options of the listener for other nodes.
func (o Options) admit(name string) admit.Options {
	memory := o.Settings.MemoryBytes
	if memory <= 0 {
		memory = defaultMemory
	}
	return admit.Options{Name: name, Bytes: int64(float64(memory) * frameShare), Log: o.Log, Registry: o.Registry}
}
