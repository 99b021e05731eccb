package ledger

import "time"

// Limits bound the memory and the attempts of one shard. Values are immutable.
type Limits struct {
	// MaxOpen is the largest number of requests that have no recorded outcome.
	MaxOpen int
	// MaxOpenBytes bounds the payloads and unrecorded answers of the open requests, in bytes.
	MaxOpenBytes int
	// MaxHeadBytes bounds the records of a head, in bytes; open requests take at most half of it.
	MaxHeadBytes int
	// MaxTries is the number of homes that may run one idempotent request.
	MaxTries int
	// SealBytes is the size of the finished records in a head above which they are sealed, in bytes.
	SealBytes int
	// RetryPause is the time before a request that did not run is run again.
	RetryPause time.Duration
	// HandoffGrace is added to a request's timeout before its previous home's attempt counts as lost.
	HandoffGrace time.Duration
	// Retention is how long a result stays readable.
	Retention time.Duration
}

// NewLimits returns the default limits.
func NewLimits() Limits {
	return Limits{
		MaxOpen:      4096,
		MaxOpenBytes: 8 << 20,
		MaxHeadBytes: 896 << 10,
		MaxTries:     5,
		SealBytes:    128 << 10,
		RetryPause:   time.Second,
		HandoffGrace: 2 * time.Second,
		Retention:    24 * time.Hour,
	}
}

// WithMaxOpen returns a copy with the number of open requests set.
func (l Limits) WithMaxOpen(n int) Limits {
	l.MaxOpen = n
	return l
}

// WithMaxOpenBytes returns a copy with the bytes of open requests set.
func (l Limits) WithMaxOpenBytes(n int) Limits {
	l.MaxOpenBytes = n
	return l
}

// WithMaxHeadBytes returns a copy with the size of a head's records set.
func (l Limits) WithMaxHeadBytes(n int) Limits {
	l.MaxHeadBytes = n
	return l
}

// WithSealBytes returns a copy with the size above which finished records are sealed set.
func (l Limits) WithSealBytes(n int) Limits {
	l.SealBytes = n
	return l
}

// WithRetention returns a copy with the retention set.
func (l Limits) WithRetention(d time.Duration) Limits {
	l.Retention = d
	return l
}
