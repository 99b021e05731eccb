package submission

import "time"

const (
	// countedShare is the share of a token cap up to which the nodes together accept jobs without a home, if the home has just
	// counted what waits; it may have accepted more since. uncountedShare is what they accept beside whatever waits, without
	// such a count.
	countedShare   = 0.9
	uncountedShare = 0.1
	// countAge is how long the home's count holds.
	countAge = 10 * time.Second
)

// Room is what a node knows of the tokens that wait on a route. Values are immutable.
type Room struct {
	// open is the home's last count and countedAt its time, zero if no home has counted for this node.
	open      int64
	countedAt time.Time
	// alone are the tokens that this node has accepted since then without a home.
	alone int64
}

// WithCount returns what is known after a count by the home.
func (r Room) WithCount(now time.Time, open int64) Room { return Room{open: open, countedAt: now} }

// WithAccepted returns what is known after this node has accepted tokens without a home.
func (r Room) WithAccepted(tokens int64) Room {
	r.alone += tokens
	return r
}

// Open returns the tokens that this node knows to wait.
func (r Room) Open() int64 { return r.open + r.alone }

// Fits reports whether tokens fit a cap, 0 being none, by the word of one of a number of nodes that each decide alone.
func (r Room) Fits(now time.Time, tokenCap, tokens int64, nodes int) bool {
	if tokenCap == 0 {
		return true
	}
	free := uncountedShare * float64(tokenCap)
	if !r.countedAt.IsZero() && now.Sub(r.countedAt) < countAge {
		free = countedShare*float64(tokenCap) - float64(r.open)
	}
	return float64(r.alone+tokens)*float64(max(nodes, 1)) <= free
}
