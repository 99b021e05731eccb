package node

import "mothcart/io/admit"

// admit returns the options of the listener for other nodes.
func (o Options) admit(name string) admit.Options {
	return admit.Options{Name: name, Log: o.Log, Registry: o.Registry}
}
