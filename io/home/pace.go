package home

import (
	"math"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"mothcart/core/slot"
)

// paceRecord is the pace that an upstream named in the answer to a request that uses one of its slots.
type paceRecord struct {
	ID uint64 `msgpack:"id"`
	// Percent is how long work takes, in percent of the usual time; AgeMillis is how long ago the answer said so.
	Percent   int `msgpack:"pct"`
	AgeMillis int `msgpack:"age,omitempty"`
}

func newPaceRecord(id uint64, pace float64, age time.Duration) paceRecord {
	return paceRecord{ID: id, Percent: percent(pace), AgeMillis: int(age.Milliseconds())}
}

func percent(pace float64) int { return int(math.Round(100 * pace)) }

func (r paceRecord) pace() float64      { return float64(r.Percent) / 100 }
func (r paceRecord) age() time.Duration { return time.Duration(r.AgeMillis) * time.Millisecond }

// maxPaces bounds the paces that wait for a message, and maxPaceAge their age: older ones say nothing of the moment, and
// what is lasting shows in others.
const (
	maxPaces   = 16
	maxPaceAge = time.Second
)

// paceOutbox holds the paces that go to the home with the next message about a request. It is safe for concurrent use.
type paceOutbox struct {
	mu      sync.Mutex
	waiting []waitingPace
}

type waitingPace struct {
	id   uint64
	pace float64
	at   time.Time
}

// add adds a pace; the oldest one gives way.
func (o *paceOutbox) add(now time.Time, id uint64, pace float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.waiting) >= maxPaces {
		o.waiting = append(o.waiting[:0], o.waiting[1:]...)
	}
	o.waiting = append(o.waiting, waitingPace{id, pace, now})
}

// take removes and returns the paces with their ages; nil if there are none.
func (o *paceOutbox) take(now time.Time) []paceRecord {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.waiting) == 0 {
		return nil
	}
	out := make([]paceRecord, 0, len(o.waiting))
	for _, w := range o.waiting {
		if age := max(now.Sub(w.at), 0); age < maxPaceAge {
			out = append(out, newPaceRecord(w.id, w.pace, age))
		}
	}
	o.waiting = o.waiting[:0]
	return out
}

// released returns the notice that a request has ended, with the paces that wait.
func (c *Client) released(id uint64, result slot.Result) releaseNotice {
	return releaseNotice{ID: id, Result: result, Paces: c.paces.take(c.opts.Now())}
}

// Paces applies the paces that upstreams named in answers to requests of an owner.
func (p *SlotPool) Paces(owner string, records []paceRecord) {
	if len(records) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for _, r := range records {
		p.pool.Pace(now, slot.Key{Owner: owner, ID: r.ID}, r.pace(), r.age())
	}
}

// PaceSummary sums up the paces of all upstreams.
func (p *SlotPool) PaceSummary() slot.Paces {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool.Paces()
}

// paceNote keeps the pace that the upstream of an item names, until the outcome of the attempt takes it.
type paceNote struct {
	pace float64
	at   time.Time
}

// observe passes a pace on at once if the home runs the item itself, and else keeps it.
func (n *paceNote) observe(pace float64, pass func(pace float64)) {
	switch {
	case pace <= 0:
	case pass != nil:
		pass(pace)
	default:
		n.pace, n.at = pace, time.Now()
	}
}

// record returns the pace for the outcome; nil if none was kept.
func (n *paceNote) record() *paceRecord {
	if n.pace == 0 {
		return nil
	}
	r := newPaceRecord(0, n.pace, time.Since(n.at))
	return &r
}

// applyItemPace applies the pace that the upstream of an item named.
func (h *Home) applyItemPace(id uint64, pace *paceRecord) {
	if pace != nil {
		h.pool.Paces(itemKey(id).Owner, []paceRecord{{ID: id, Percent: pace.Percent, AgeMillis: pace.AgeMillis}})
	}
}

// logChoice adds what decided about the upstream of an item, if anything but its load did.
func logChoice(e *zerolog.Event, g slot.Grant) *zerolog.Event {
	if g.Choice.IsZero() {
		return e
	}
	return e.Str("zone", g.Upstream.Zone).Float64("pace", g.Choice.Pace()).Dur("paceAgeMillis", g.Choice.FigureAge).Bool("leftZone", g.Choice.LeftZone)
}

// updatePaceMetrics updates the gauges of paces and of traffic that leaves its zone; there are none before an upstream
// names its pace.
func (h *Home) updatePaceMetrics() {
	s := h.pool.PaceSummary()
	if s.Known == 0 && s.Crossings.Grants == 0 {
		return
	}
	set := func(name string, v int64) { metrics.GetOrRegisterGauge(name, h.opts.Registry).Update(v) }
	set("home.slowUpstreams", int64(s.Slow))
	set("home.momentarilySlowUpstreams", int64(s.Momentary))
	set("home.paceBeliefPercent", int64(100*s.Belief))
	set("home.weighedGrants", int64(s.Crossings.Grants))
	set("home.grantsOutsideZone", int64(s.Crossings.Left))
	set("home.bytesOutsideZone", int64(s.Crossings.Bytes))
}
