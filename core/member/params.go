package member

import "time"

// Params are the times and bounds of the protocol. Values are immutable.
type Params struct {
	// TickInterval is the time between two calls of Tick; one probe starts with each tick.
	TickInterval time.Duration
	// AckTimeout bounds the wait for the answer to a direct probe, and then to indirect ones.
	AckTimeout time.Duration
	// SuspicionTimeout is the time that a suspect has to refute before it counts as dead.
	SuspicionTimeout time.Duration
	// PauseThreshold is the time between two events above which the node considers itself to have
	// been paused.
	PauseThreshold time.Duration
	// RingPartners is the number of successors in hash order that a node probes.
	RingPartners int
	// RandomPartners is the number of further nodes, drawn at random, that a node probes.
	RandomPartners int
	// RotateInterval is the interval at which one random partner is replaced.
	RotateInterval time.Duration
	// ChooseInterval is the least time between two choices of partners, so that a node whose view
	// grows fast does not open many connections.
	ChooseInterval time.Duration
	// MaxOverload bounds how much a node that misses many answers stretches its timeouts and the
	// time between its probes: by a factor of up to 1 + MaxOverload.
	MaxOverload int
	// Relays is the number of members that are asked to probe a target indirectly.
	Relays int
	// Fanout is the number of partners that fresh updates are pushed to at each tick.
	Fanout int
	// SpreadFactor times the binary logarithm of the number of members bounds how often a node
	// sends one update.
	SpreadFactor float64
	// MaxUpdates bounds the updates in one message that is not a synchronization.
	MaxUpdates int
	// JoinRetry is the time between two attempts of a new node to learn the members.
	JoinRetry time.Duration
	// JoinTimeout is the time without an answer after which a new node considers itself alone.
	JoinTimeout time.Duration
	// ReprobeInterval is the time between two probes of listed VMs that are not live.
	ReprobeInterval time.Duration
	// DifferLimit is the number of differing digests, less the number of equal ones, that leads to
	// a synchronization.
	DifferLimit int
	// SyncInterval is the least time between two synchronizations that a node starts.
	SyncInterval time.Duration
	// DeadRetention is the time for which the record of a dead member outside the VM list is kept.
	DeadRetention time.Duration
	// MarkRetention is the time for which the leaving mark of a VM outside the VM list is kept.
	MarkRetention time.Duration
}

// NewParams returns the defaults.
func NewParams() Params {
	return Params{
		TickInterval:     200 * time.Millisecond,
		AckTimeout:       500 * time.Millisecond,
		SuspicionTimeout: 2500 * time.Millisecond,
		PauseThreshold:   time.Second,
		RingPartners:     4,
		RandomPartners:   4,
		RotateInterval:   30 * time.Second,
		ChooseInterval:   time.Second,
		MaxOverload:      4,
		Relays:           3,
		Fanout:           3,
		SpreadFactor:     3,
		MaxUpdates:       64,
		JoinRetry:        500 * time.Millisecond,
		JoinTimeout:      3 * time.Second,
		ReprobeInterval:  time.Second,
		DifferLimit:      5,
		SyncInterval:     2 * time.Second,
		DeadRetention:    10 * time.Minute,
		MarkRetention:    time.Hour,
	}
}

// WithSuspicionTimeout returns a copy with the suspicion timeout set.
func (p Params) WithSuspicionTimeout(d time.Duration) Params {
	p.SuspicionTimeout = d
	return p
}

// WithPartners returns a copy with the numbers of partners set.
func (p Params) WithPartners(ring, random int) Params {
	p.RingPartners = ring
	p.RandomPartners = random
	return p
}
