package home

import "time"

// isolationTime is how long no node may be connected before the home is taken to be cut off; the nodes
// look for it in intervals of at most 400 ms.
const isolationTime = time.Second

// Isolated reports that all nodes have lost the home for a while. It would let batch take the slots of
// their requests, which it doesn't hear of.
func (h *Home) Isolated(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.deserted.IsZero() && now.Sub(h.deserted) > isolationTime
}
