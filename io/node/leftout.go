package node

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"mothcart/io/object"
	"mothcart/platform"
)

const (
	// leftOutInterval is the least time between two log lines about the same fault of an entry, which each listing shows
	// again.
	leftOutInterval = time.Minute
	// maxLeftOut bounds the faults that are remembered.
	maxLeftOut = 1000
	// maxLoggedName bounds the names and reasons that are logged, in bytes.
	maxLoggedName = 200
)

// leftOutLog logs and counts the entries of the object service that can't be used. Its methods are safe for concurrent use.
type leftOutLog struct {
	log     zerolog.Logger
	now     func() time.Time
	unread  metrics.Counter
	skipped metrics.Counter

	mu     sync.Mutex
	logged map[string]time.Time
}

func newLeftOutLog(opts Options) *leftOutLog {
	return &leftOutLog{
		log: opts.Log, now: opts.Now, logged: make(map[string]time.Time),
		unread:  metrics.GetOrRegisterCounter("entries.leftOut", opts.Registry),
		skipped: metrics.GetOrRegisterCounter("entries.upstreamsSkipped", opts.Registry),
	}
}

// report names an entry that can't be read.
func (l *leftOutLog) report(e platform.LeftOut) {
	l.unread.Inc(1)
	name, reason := shortened(e.Name), shortened(e.Reason.Error())
	if l.isDue(e.Kind + "\n" + name + "\n" + reason) {
		l.log.Warn().Str("kind", e.Kind).Str("name", name).Int64("revision", int64(e.Revision)).Str("reason", reason).Msg("entryLeftOut")
	}
}

// skipUpstream names an entry that describes no upstream to use.
func (l *leftOutLog) skipUpstream(o object.Object, err error) {
	l.skipped.Inc(1)
	name, reason := shortened(o.Name), shortened(err.Error())
	if l.isDue(name + "\n" + reason) {
		l.log.Warn().Str("upstream", name).Int64("revision", int64(o.Revision)).Str("error", reason).Msg("upstreamSkipped")
	}
}

// isDue reports that a fault was not logged within the interval, and counts it as logged.
func (l *leftOutLog) isDue(fault string) bool {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, ok := l.logged[fault]; ok && now.Sub(at) < leftOutInterval {
		return false
	}
	if len(l.logged) >= maxLeftOut {
		clear(l.logged)
	}
	l.logged[fault] = now
	return true
}

func shortened(s string) string { return s[:min(len(s), maxLoggedName)] }
