package node

import (
	"mothcart/io/admit"
	"mothcart/platform"
)

const (
	// frameShare is the share of the memory for frames of senders that have not proved to be nodes.
	frameShare = 1.0 / 16
	// linkBytes is the memory of a connection of a node at a home node, in bytes.
	linkBytes = 40 << 10
)

// admit returns the options of the listener for other nodes.
func (o Options) admit(name string, connections int) admit.Options {
	return admit.Options{Name: name, Connections: connections, Bytes: int64(memoryOf(o.Settings) * frameShare), Log: o.Log, Registry: o.Registry}
}

// maxLinks returns the number of connections of nodes that a home node accepts.
func maxLinks(s platform.Settings) int {
	byMemory := memoryOf(s) * connsShare / linkBytes * homeShare
	return max(1, min(maxConnections(s, homeShare), int(byMemory)))
}

func memoryOf(s platform.Settings) float64 {
	if s.MemoryBytes <= 0 {
		return defaultMemory
	}
	return float64(s.MemoryBytes)
}
