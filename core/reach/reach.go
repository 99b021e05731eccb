// Package reach decides what connections that can't be opened prove: that upstreams have failed, or that a node has lost
// its links to all of them.
//
// A node whose links are cut fails at each upstream that it tries, whether connections hang or are refused. One that has
// opened a connection to any upstream since has links, so that the other failures are those of the upstreams. Links is the
// state of one node, by what it has tried itself:
//
//   - A failure makes the links doubtful once doubtfulUpstreams are out of reach, with none reached since. The node should
//     probe others at once, and not report these failures as those of upstreams.
//   - They count as lost once lostUpstreams, or all that are known, are out of reach. The node probes on, and uses its links
//     again after some successes in a row, more of them each time that links come and go.
//
// An upstream that accepts a connection and is silent says nothing about links.
//
// Usage:
//
//	l := reach.NewLinks().WithUpstreams(addresses)
//	l = l.WithFailure(now, address)                // or WithSuccess
//	if l.ProbeDue(now) { … l.ProbeTargets() … }
//	if l.Lost() { … }
package reach

import (
	"maps"
	"slices"
	"time"
)

const (
	// doubtfulUpstreams is the number of upstreams out of reach, with none reached since, from which links are doubtful.
	doubtfulUpstreams = 2
	// lostUpstreams is the number from which links count as lost; fewer if the node knows fewer upstreams.
	lostUpstreams = 5
	// failureTime is how long a failure counts while none follows.
	failureTime = 5 * time.Second
	// probeInterval is the time between two rounds of probes, and probesAtOnce their number in a round.
	probeInterval = 250 * time.Millisecond
	probesAtOnce  = 4
	// successesNeeded is the number of successes in a row after which lost links are used again. It doubles, up to
	// maxSuccesses, each time that they are lost within flapTime of their return.
	successesNeeded = 2
	maxSuccesses    = 16
	flapTime        = 10 * time.Second
)

// Links is the state of a node's links to upstreams. Values are immutable.
type Links struct {
	upstreams []string
	// failed holds the time of the last failure by upstream, since the last success.
	failed map[string]time.Time
	// lostAt is when the links were lost; zero while they are not. returnedAt is when they last returned.
	lostAt, returnedAt time.Time
	// successes counts successes in a row, and needed is how many end a loss.
	successes, needed int
	probedAt          time.Time
	// next is the position among the upstreams at which the next round of probes begins.
	next int
}

// NewLinks returns links of which nothing is known.
func NewLinks() Links { return Links{needed: successesNeeded} }

// WithUpstreams returns the links to the given addresses of upstreams.
func (l Links) WithUpstreams(addresses []string) Links {
	l.upstreams = slices.Clone(addresses)
	l.failed = maps.Clone(l.failed)
	maps.DeleteFunc(l.failed, func(a string, _ time.Time) bool { return !slices.Contains(addresses, a) })
	return l
}

// WithFailure returns the links after a connection to an upstream could not be opened.
func (l Links) WithFailure(now time.Time, address string) Links {
	failed := make(map[string]time.Time, len(l.failed)+1)
	for a, at := range l.failed {
		if now.Sub(at) < failureTime {
			failed[a] = at
		}
	}
	failed[address] = now
	l.failed, l.successes = failed, 0
	if l.Lost() || len(failed) < min(lostUpstreams, max(len(l.upstreams), doubtfulUpstreams)) {
		return l
	}
	l.lostAt = now
	if l.returnedAt.IsZero() || now.Sub(l.returnedAt) >= flapTime {
		l.needed = successesNeeded
	} else {
		l.needed = min(2*l.needed, maxSuccesses)
	}
	return l
}

// WithSuccess returns the links after a connection to an upstream was opened.
func (l Links) WithSuccess(now time.Time) Links {
	l.failed = nil
	l.successes++
	if l.Lost() && l.successes >= l.needed {
		l.lostAt, l.returnedAt = time.Time{}, now
	}
	return l
}

// WithProbes returns the links after a round of probes has begun.
func (l Links) WithProbes(now time.Time) Links {
	l.probedAt = now
	l.next += probesAtOnce
	return l
}

// Lost reports that the node has lost its links to all upstreams.
func (l Links) Lost() bool { return !l.lostAt.IsZero() }

// LostAt returns when the links were lost; zero while they are not.
func (l Links) LostAt() time.Time { return l.lostAt }

// Doubtful reports that failures may be those of the links, not of the upstreams.
func (l Links) Doubtful() bool { return l.Lost() || len(l.failed) >= doubtfulUpstreams }

// Failed returns the upstreams that are out of reach, and when each has failed last.
func (l Links) Failed() map[string]time.Time { return maps.Clone(l.failed) }

// ProbeDue reports whether probes are to be sent, which decide about doubtful links and find out when lost ones are back.
func (l Links) ProbeDue(now time.Time) bool {
	return l.Doubtful() && now.Sub(l.probedAt) >= probeInterval
}

// ProbeTargets returns the addresses of the next round of probes, each time others; those that have not failed go first.
func (l Links) ProbeTargets() []string {
	n := len(l.upstreams)
	if n == 0 {
		return nil
	}
	turned := slices.Concat(l.upstreams[l.next%n:], l.upstreams[:l.next%n])
	slices.SortStableFunc(turned, func(a, b string) int {
		_, aFailed := l.failed[a]
		_, bFailed := l.failed[b]
		switch {
		case aFailed == bFailed:
			return 0
		case aFailed:
			return 1
		default:
			return -1
		}
	})
	return turned[:min(n, probesAtOnce)]
}
