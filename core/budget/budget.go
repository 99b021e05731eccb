// Package budget decides which bytes a process may hold for its callers and upstreams.
//
// All bytes count against one limit: bodies that arrive, answers that wait for their callers, and what is read ahead of a
// slow caller. A large amount leaves a part of the limit free, so that large ones can't make small ones fail. The process
// is full from a share of the limit on until much less is held, so that a load balancer doesn't switch on every request.
//
// Usage:
//
//	b := budget.New(40 << 20)
//	b, ok := b.Take(n)
//	b = b.Free(n)
package budget

const (
	// Small is the amount in bytes up to which bytes count as small: the body of nearly every request.
	Small = 64 << 10
	// largeShare is the share of the limit that large amounts may fill.
	largeShare = 0.875
	// fullShare is the share of the limit from which on the process is full: a load balancer takes a second or two to
	// act on that. Below clearShare it no longer is.
	fullShare  = 0.75
	clearShare = 0.5
	// spareShare is the share of the limit up to which bytes that can wait are taken.
	spareShare = 0.25
)

// Budget is what a process holds, in bytes. Values are immutable.
type Budget struct {
	limit, held int64
	full        bool
}

// New returns the budget of a process that holds nothing.
func New(limit int64) Budget { return Budget{limit: limit} }

// Take returns the budget with n more bytes, or reports false if they don't fit.
func (b Budget) Take(n int64) (Budget, bool) {
	limit := b.limit
	if n > Small {
		limit = share(limit, largeShare)
	}
	if b.held+n > limit {
		return b, false
	}
	return b.Add(n), true
}

// TakeSpare is Take for bytes that can wait where they are. They leave room for requests, so that they alone never make
// the process full.
func (b Budget) TakeSpare(n int64) (Budget, bool) {
	if b.held+n > share(b.limit, spareShare) {
		return b, false
	}
	return b.Add(n), true
}

// Add returns the budget with n more bytes that are held already, whether they fit or not.
func (b Budget) Add(n int64) Budget {
	b.held += n
	b.full = b.full || b.held >= share(b.limit, fullShare)
	return b
}

// Free returns the budget with n bytes less.
func (b Budget) Free(n int64) Budget {
	b.held -= n
	b.full = b.full && b.held >= share(b.limit, clearShare)
	return b
}

// Held returns how many bytes are held.
func (b Budget) Held() int64 { return b.held }

// Limit returns how many bytes may be held.
func (b Budget) Limit() int64 { return b.limit }

// Full reports that the process should get no more requests.
func (b Budget) Full() bool { return b.full }

func share(limit int64, part float64) int64 { return int64(float64(limit) * part) }
