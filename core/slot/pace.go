package slot

import (
	"math"
	"time"
)

// An upstream's pace is how long work takes there, as a multiple of what it takes at the service's usual upstream. It has
// two parts. The lasting part is learned from how long requests hold slots, smoothed over many of them. The momentary part
// is what answers say of this moment, and ends soon after; it moves an upstream by one class at most. Whether it is
// believed is learned too, by how well it has foretold hold times: a figure that is wrong, stuck or gone foretells nothing.
//
// A service none of whose upstreams has ever named another pace than the usual one has none: all its upstreams are alike.

const (
	// paceStep is the ratio of the paces of two neighbouring classes.
	paceStep = 4.0 / 3
	// minPaceClass and maxPaceClass bound the classes; class 0 is the usual pace, 4 is three times as long.
	minPaceClass = -2
	maxPaceClass = 4
	// slowClass is the first class whose upstreams get what is least urgent. That goes on to measure them, while online
	// requests avoid them.
	slowClass = 1
	// paceMargin is how far, in classes, the lasting pace must be from its class to change it. Half a class is the middle
	// between two.
	paceMargin = 0.75
	// paceWeight is the number of requests over which the lasting pace of an upstream is averaged; the first ones are
	// averaged as if paceDoubt requests before them had been as usual.
	paceWeight = 24
	paceDoubt  = 8
	// usualWeight is the number of requests over which the usual hold time and the belief in figures are averaged.
	usualWeight = 256
	// paceGrain keeps differences of a few milliseconds, such as the time that a release takes to the home, from being taken
	// for those of upstreams.
	paceGrain = 10 * time.Millisecond
	// figureWindow is the time over which an upstream's mean figure is averaged.
	figureWindow = 10 * time.Second
	// maxPaceRatio bounds each hold time and figure relative to the usual one, so that no single one counts for much.
	maxPaceRatio = 8.0
	// figureLife is the age up to which a figure is used. Work beside an upstream on its VM goes on for some hundred
	// milliseconds.
	figureLife = 400 * time.Millisecond
	// minBelief is the belief below which figures don't count. It is low, since a hold time outlasts the moment of a figure,
	// while the first event comes within it.
	minBelief = 0.05
	// minExcess is the logarithm of how much longer than on average work must take at the moment to count: half as long again.
	minExcess = 0.4
	// beliefDoubt is added to the variance of figures, so that the belief in figures that hardly vary stays low.
	beliefDoubt = 0.01
	// minUnevenness is the logarithm of the least figure that shows that a service's upstreams are uneven: a fifth longer.
	minUnevenness = 0.18
	// loadSlowdown is how much longer work takes at an upstream with all slots in use than at an idle one: a step reads the
	// weights once for all requests, and computes the prompts of new ones.
	loadSlowdown = 0.25
)

// pace is what is known of the pace of an upstream. Values are logarithms, 0 is as usual. The zero value is an upstream of
// which nothing is known.
type pace struct {
	lasting      float64
	lastingClass int
	// holds is the number of hold times in lasting, up to its weight.
	holds int
	// excess is how far the last figure was from meanFigure, the moving mean, and counts until excessUntil. The first figure
	// came at figuresSince, the last at figureAt.
	meanFigure             float64
	figuresSince, figureAt time.Time
	excess                 float64
	excessUntil            time.Time
	// queued reports that the upstream is in Pool.momentary.
	queued bool
	// class orders upstreams: the lasting and the momentary part together.
	class int
}

// paceModel is what is known of the paces of a service.
type paceModel struct {
	// known reports that an upstream of the service has named another pace than the usual one.
	known bool
	// usual and usualBatch are the moving means of the logarithms of hold times.
	usual, usualBatch movingMean
	// covariance and variance are those of excess figures with hold times.
	covariance, variance float64
}

// movingMean is an exponential mean that starts as a plain one.
type movingMean struct {
	value float64
	n     int
}

func (m *movingMean) add(x float64, weight int) {
	m.n = min(m.n+1, weight)
	m.value += (x - m.value) / float64(m.n)
}

// belief returns which share of a momentary figure is believed, from 0 to 1.
func (m *paceModel) belief() float64 {
	b := m.covariance / (m.variance + beliefDoubt)
	if b < minBelief {
		return 0
	}
	return min(b, 1)
}

// IsPace reports whether a number is a pace that an upstream may name; others count as not known.
func IsPace(pace float64) bool { return pace >= 1/maxPaceRatio/2 && pace <= 2*maxPaceRatio }

func clampLog(x float64) float64 {
	limit := math.Log(maxPaceRatio)
	return min(max(x, -limit), limit)
}

// Pace applies the pace that the upstream of a slot in use named in an answer, 1 being as usual. The age is how long ago
// that was.
func (p *Pool) Pace(now time.Time, k Key, named float64, age time.Duration) {
	if g := p.grants[k]; g != nil && IsPace(named) && p.upstreams[g.upstream.ID] == g.upstream {
		p.setFigure(now, g.upstream, clampLog(math.Log(named)), max(age, 0))
	}
}

func (p *Pool) setFigure(now time.Time, u *upstream, figure float64, age time.Duration) {
	m := &p.service(u.Service).paces
	m.known = m.known || math.Abs(figure) > minUnevenness
	if !m.known {
		return
	}
	excess := u.pace.addFigure(now, figure)
	until := now.Add(figureLife - age)
	if !until.After(now) || until.Before(u.pace.excessUntil) {
		return
	}
	u.pace.excess, u.pace.excessUntil = excess, until
	if !u.pace.queued {
		u.pace.queued = true
		p.momentary = append(p.momentary, momentary{u, until})
	}
	p.classify(now, u)
}

// momentary is an upstream whose momentary pace ends at a time, or later if it was named again since.
type momentary struct {
	upstream *upstream
	until    time.Time
}

// addFigure adds a figure to the mean, by the time since the last one, since how often figures come depends on the load. It
// returns how far the figure was from the mean.
func (c *pace) addFigure(now time.Time, figure float64) float64 {
	if c.figuresSince.IsZero() {
		c.figuresSince, c.figureAt, c.meanFigure = now, now, figure
		return 0
	}
	excess := figure - c.meanFigure
	passed := max(now.Sub(c.figureAt), 0)
	window := min(now.Sub(c.figuresSince)+figureLife, figureWindow) // the first figure counts for its life
	c.meanFigure += (figure - c.meanFigure) * min(float64(passed)/float64(window), 1)
	c.figureAt = now
	return excess
}

// endFigures ends the momentary parts that are too old. The queue has about the order of their ends, and each upstream is
// in it once, so that a call takes no time for those that go on.
func (p *Pool) endFigures(now time.Time) {
	for len(p.momentary) > 0 && !now.Before(p.momentary[0].until) {
		u := p.momentary[0].upstream
		p.momentary = p.momentary[1:]
		if now.Before(u.pace.excessUntil) {
			p.momentary = append(p.momentary, momentary{u, u.pace.excessUntil})
			continue
		}
		u.pace.excess, u.pace.queued = 0, false
		p.classify(now, u)
	}
}

// learnPace learns from the hold time of a served request that ran in one attempt, which this pool has granted.
func (p *Pool) learnPace(now time.Time, s *service, g *grant) {
	m, u := &s.paces, g.upstream
	held := now.Sub(g.since)
	if !m.known || g.adopted || held <= 0 || g.request.Ran > 0 || g.request.Continues {
		return
	}
	usual := &m.usual
	if g.request.Batch {
		usual = &m.usualBatch
	}
	x := math.Log((held + paceGrain).Seconds())
	if usual.n == 0 {
		usual.add(x, usualWeight)
	}
	ratio := clampLog(x - usual.value)
	usual.add(x, usualWeight)
	excess := float64(g.excess)
	if surprise := ratio - float64(g.lasting); excess != 0 && !g.request.Batch {
		m.covariance += (surprise*excess - m.covariance) / usualWeight
		m.variance += (excess*excess - m.variance) / usualWeight
	}
	if p.upstreams[u.ID] != u {
		return
	}
	u.pace.holds = min(u.pace.holds+1, paceWeight-paceDoubt)
	u.pace.lasting += (ratio - m.belief()*excess - u.pace.lasting) / float64(u.pace.holds+paceDoubt)
	p.classify(now, u)
}

// classify sets the class of an upstream, with hysteresis for the lasting part.
func (p *Pool) classify(now time.Time, u *upstream) {
	step := math.Log(paceStep)
	at := u.pace.lasting / step
	if math.Abs(at-float64(u.pace.lastingClass)) > paceMargin {
		u.pace.lastingClass = boundClass(at)
	}
	class := u.pace.lastingClass
	if u.pace.excess > minExcess && p.service(u.Service).paces.belief() > 0 {
		class = min(class+1, maxPaceClass)
	}
	if class != u.pace.class {
		p.update(now, u, func() { u.pace.class = class })
	}
}

func boundClass(class float64) int {
	return min(max(int(math.Round(class)), minPaceClass), maxPaceClass)
}

// paceFactors are the paces of the classes from minPaceClass on.
var paceFactors = func() (f [maxPaceClass - minPaceClass + 1]float64) {
	for i := range f {
		f[i] = math.Pow(paceStep, float64(i+minPaceClass))
	}
	return f
}()
