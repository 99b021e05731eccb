package home

import "time"

// isolationTime is how long no node may be connected before the home is considered isolated. Nodes try to
// reconnect in intervals of at most 400 ms.
const isolationTime = time.Second

// Isolated reports that all nodes have lost their connection to the home for longer than isolationTime. Such
// a home would grant the slots of the nodes' requests to batch items, since no node reports them.
func (h *Home) Isolated(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.noNodesSince.IsZero() && now.Sub(h.noNodesSince) > isolationTime
}
