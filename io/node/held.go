package node

// heldShare is the fraction of a process's memory for all bytes that it holds for callers and upstreams. The garbage
// collector needs as much again, and the process without requests the rest.
const heldShare = 0.3

// defaultHeldBytes is the bound of all bytes held if the memory of the process isn't known.
const defaultHeldBytes = 64 << 20

// heldBytes returns the bound of all bytes that a process with this much memory in bytes holds for callers and upstreams;
// 0 means not known.
func heldBytes(memory int64) int64 {
	if memory <= 0 {
		return defaultHeldBytes
	}
	return int64(float64(memory) * heldShare)
}
