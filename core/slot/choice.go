package slot

import (
	"math"
	"time"

	"mothcart/core/zone"
)

// Choice says what decided about an upstream beside its load, for the log. The zero value means that nothing did, since its
// service knows neither pace nor costs of zones.
type Choice struct {
	// Percent is how long work is believed to take at the upstream, in percent of the usual time.
	Percent int
	// FigureAge is the age of the figure that counts for this moment; 0 means that none does.
	FigureAge time.Duration
	// LeftZone reports that the upstream is not in the zone of the VM that asked.
	LeftZone bool
}

// IsZero reports that neither pace nor zone was weighed.
func (c Choice) IsZero() bool { return c.Percent == 0 }

// Pace returns how long work is believed to take, 1 being as usual.
func (c Choice) Pace() float64 { return float64(c.Percent) / 100 }

// choice returns what decided about the upstream of a request, and counts those that leave their zone.
func (p *Pool) choice(now time.Time, g *grant, u *upstream) Choice {
	if !g.request.weighed {
		return Choice{}
	}
	c := Choice{
		Percent:  int(math.Round(100 * paceFactors[u.pace.class-minPaceClass])),
		LeftZone: u.Zone != g.request.AvailabilityZone,
	}
	if now.Before(u.pace.excessUntil) {
		c.FigureAge = max(now.Sub(u.pace.excessUntil.Add(-figureLife)), time.Millisecond)
	}
	p.crossings.Grants++
	if c.LeftZone {
		p.crossings.Left++
		p.crossings.Bytes += uint64(g.request.bytes())
	}
	return c
}

// bytes estimates the bytes of a request and its answer.
func (r *Request) bytes() int {
	output := r.OutputTokens
	if r.ExpectedTokens > 0 {
		output = r.ExpectedTokens
	}
	return zone.Bytes(r.PromptTokens, output)
}

// Crossings counts requests of services that know pace or costs of zones.
type Crossings struct {
	// Grants is the number of all grants, Left of those outside the zone of the VM that asked, Bytes estimates their size.
	Grants, Left, Bytes uint64
}

// Paces sums up the paces of all upstreams.
type Paces struct {
	// Known is the number of services whose upstreams name their pace, Slow that of the upstreams that are slow for good,
	// Momentary of those that are slower at this moment.
	Known, Slow, Momentary int
	// Belief is the greatest belief in momentary figures of all services, from 0 to 1.
	Belief    float64
	Crossings Crossings
}

// Paces returns what is known of the paces of all upstreams.
func (p *Pool) Paces() Paces {
	out := Paces{Crossings: p.crossings}
	for _, s := range p.services {
		if !s.paces.known {
			continue
		}
		out.Known++
		out.Belief = max(out.Belief, s.paces.belief())
		for _, u := range s.upstreams {
			if u.pace.lastingClass >= slowClass {
				out.Slow++
			}
			if u.pace.class > u.pace.lastingClass {
				out.Momentary++
			}
		}
	}
	return out
}
