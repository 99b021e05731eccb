package engine

import "time"

// Load is the state that the engine reports, delayed by Options.ReportLag.
type Load struct {
	Running, Waiting, KVUsedTokens int
	// At is the time of the state, since the start of the engine.
	At time.Duration
}

// CacheKind says what happened to a prefix.
type CacheKind string

// Kinds of cache events.
const (
	Stored  CacheKind = "stored"
	Evicted CacheKind = "evicted"
)

// CacheEvent is a change of the prefix cache. Sequence numbers of lost events are missing.
type CacheEvent struct {
	Sequence uint64        `json:"sequence"`
	Kind     CacheKind     `json:"kind"`
	Prefix   uint64        `json:"prefix"`
	At       time.Duration `json:"-"`
}

const (
	// loadInterval is the minimum time between two recorded loads.
	loadInterval = 10 * time.Millisecond
	// maxCacheEvents bounds the cache events that are retained for readers.
	maxCacheEvents = 4096
)

// recordLoad records the current load for delayed reports and discards loads that are too old for them.
func (m *Model) recordLoad(now time.Duration) {
	l := m.currentLoad(now)
	n := len(m.loads)
	if n > 1 && l.At-m.loads[n-2].At < loadInterval {
		m.loads[n-1] = l
		return
	}
	m.loads = append(m.loads, l)
	oldest := 0
	for oldest+1 < len(m.loads) && m.loads[oldest+1].At <= now-m.opts.ReportLag {
		oldest++
	}
	if oldest > len(m.loads)/2 {
		m.loads = append([]Load(nil), m.loads[oldest:]...)
	}
}

func (m *Model) currentLoad(now time.Duration) Load {
	return Load{Running: len(m.running), Waiting: m.waiting.Len(), KVUsedTokens: m.memory.pinned(), At: now}
}

// Report returns the load as it was Options.ReportLag ago.
func (m *Model) Report(now time.Duration) Load {
	if m.opts.ReportLag == 0 {
		return m.currentLoad(now)
	}
	at := max(0, now-m.opts.ReportLag)
	report := Load{At: at}
	for _, l := range m.loads {
		if l.At > at {
			break
		}
		report = l
	}
	report.At = at
	return report
}

func (m *Model) recordCache(now time.Duration, kind CacheKind, prefix uint64) {
	m.cacheSequence++
	if m.rng.Float64() < m.opts.EventGapShare {
		return
	}
	m.cache = append(m.cache, CacheEvent{Sequence: m.cacheSequence, Kind: kind, Prefix: prefix, At: now})
	if len(m.cache) > maxCacheEvents {
		m.cache = append([]CacheEvent(nil), m.cache[maxCacheEvents/2:]...)
	}
}

func (m *Model) recordEvictions(now time.Duration) {
	for _, prefix := range m.memory.evicted {
		m.recordCache(now, Evicted, prefix)
	}
	m.memory.evicted = m.memory.evicted[:0]
}

// CacheEvents returns the published events after a sequence number.
func (m *Model) CacheEvents(now time.Duration, after uint64) []CacheEvent {
	events := []CacheEvent{}
	for _, e := range m.cache {
		if e.Sequence > after && e.At+m.opts.EventDelay <= now {
			events = append(events, e)
		}
	}
	return events
}
