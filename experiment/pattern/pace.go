package pattern

import (
	"cmp"
	"math/rand/v2"
	"time"
)

const (
	// noiseTime is how long a VM's other work slows an engine down, or doesn't; noiseShare is the share of such times, and
	// noiseFactor how much longer work takes in them.
	noiseTime   = 600 * time.Millisecond
	noiseShare  = 0.15
	noiseFactor = 2.5
	// halfSpeed is how much longer work takes at a slow engine.
	halfSpeed = 2.0
	// askEvents is the number of events of an ask.
	askEvents = 18
)

// enginePace is how long work takes at an engine, as a multiple of the slot time. The zero value is as usual.
type enginePace struct {
	lasting float64
	// noise is the seed of the times in which the engine is slower; 0 means none.
	noise uint64
}

// at returns the pace at a time, and when it ends.
func (p enginePace) at(t time.Duration) (pace float64, until time.Duration) {
	pace = cmp.Or(p.lasting, 1)
	if p.noise == 0 {
		return pace, 1 << 62
	}
	phase := time.Duration(p.noise%600) * time.Millisecond
	n := (t + phase) / noiseTime
	if rand.New(rand.NewPCG(p.noise, uint64(n))).Float64() < noiseShare {
		pace *= noiseFactor
	}
	return pace, (n+1)*noiseTime - phase
}

// duration returns how long an amount of work takes from a time on.
func (p enginePace) duration(from, work time.Duration) time.Duration {
	t := from
	for {
		pace, until := p.at(t)
		if need := time.Duration(float64(work) * pace); t+need <= until {
			return t + need - from
		}
		work -= time.Duration(float64(until-t) / pace)
		t = until
	}
}

// work returns the work that is done between two times.
func (p enginePace) work(from, to time.Duration) time.Duration {
	var sum time.Duration
	for t := from; t < to; {
		pace, until := p.at(t)
		until = min(until, to)
		sum += time.Duration(float64(until-t) / pace)
		t = until
	}
	return sum
}

// figures says which paces engines name.
type figures struct {
	// named returns the pace that an engine names; nil means that it names none.
	named func(s *sim, e *engine) float64
	// age is how old a figure is when the home gets it.
	age time.Duration
	// all makes the home know those of all busy engines at each request, which no product can.
	all bool
}

func truth(s *sim, e *engine) float64 {
	pace, _ := e.pace.at(s.clock.Now())
	return pace
}

// stuck is the figure of engines that always name the same pace.
func stuck(*sim, *engine) float64 { return noiseFactor }

// senseless is a figure that has nothing to do with the engine.
func senseless(s *sim, _ *engine) float64 {
	return 0.5 + 4*rand.New(rand.NewPCG(s.opts.Seed, uint64(s.clock.Now()))).Float64()
}

// setPaces sets the paces of the engines.
func (s *sim) setPaces() {
	if s.scenario.pace == nil {
		return
	}
	for i, e := range s.engines {
		s.scenario.pace(i, e)
	}
}

// observePace records the events of an ask that starts, and passes on the pace that the engine names in the head of its
// answer.
func (s *sim) observePace(e *engine, r *request) {
	now := s.clock.Now()
	if e.upstream.Zone != zoneName(r.entry%s.opts.Zones) {
		s.crossed++
	}
	if r.kind.name == askKind.name && r.runs == 1 {
		at := now
		for i := range askEvents {
			next := at + e.pace.duration(at, r.slotTime/askEvents)
			if i == 0 {
				s.firstEvents = append(s.firstEvents, next-r.arrived)
			} else {
				s.pauses = append(s.pauses, next-at)
			}
			at = next
		}
	}
	f := s.scenario.figures
	if f.named == nil || s.strategy.pace == nil {
		return
	}
	key, named := r.key, f.named(s, e)
	s.clock.After(f.age, func() { s.strategy.pace(key, named, f.age) })
}

// tellAll passes on the paces of all busy engines.
func (s *sim) tellAll() {
	if !s.scenario.figures.all {
		return
	}
	for _, e := range s.engines {
		if len(e.running) > 0 {
			s.strategy.pace(e.running[0].key, truth(s, e), 0)
		}
	}
}
