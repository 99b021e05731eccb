package home

import (
	"sync"

	"github.com/rcrowley/go-metrics"

	"mothcart/core/budget"
)

// texts bounds the texts that all attempts of a runner have received, so that upstreams that write without end can't take the
// memory of the process. It is safe for concurrent use.
type texts struct {
	// limit is in bytes, 0 means none; dropped counts the attempts that lost their text.
	limit   int64
	dropped metrics.Counter

	mu      sync.Mutex
	held    int64
	holders int
}

func newTexts(limit int64, r metrics.Registry) *texts {
	t := &texts{limit: limit, dropped: metrics.GetOrRegisterCounter("items.textsDropped", r)}
	r.GetOrRegister("items.textBytes", func() metrics.Gauge {
		return metrics.NewFunctionalGauge(func() int64 { t.mu.Lock(); defer t.mu.Unlock(); return t.held })
	})
	return t
}

// begin counts an attempt, and end ends its count with the bytes that it has taken.
func (t *texts) begin() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holders++
}

func (t *texts) end(own int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holders--
	t.held -= own
}

// take counts n more bytes of an attempt that has own bytes. It reports false if the attempt has to give up all of them.
func (t *texts) take(own, n int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if budget.OverShare(t.limit, t.held+n, own+n, t.holders) {
		t.dropped.Inc(1)
		return false
	}
	t.held += n
	return true
}
