package slot

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"mothcart/core/poison"
	"mothcart/core/site"
)

// crashLoad is a pattern of requests whose prompts share parts, at upstreams that crash for reasons of their own, on a
// part, or on a request that comes again.
type crashLoad struct {
	name      string
	upstreams int
	// rate is the number of sound requests a second, bad that of requests with the part that crashes upstreams. Each
	// sound prompt has one of firstParts first parts and one of subjects further ones.
	rate, bad            int
	firstParts, subjects int
	// alike is the number of different sound requests, each of which comes again and again; 0 means that none does.
	alike int
	// repeats reports that the bad requests are tries of one request, instead of requests that share a part.
	repeats bool
	// crashes is the number of upstreams that crash by themselves each second on average; together is how many of them
	// crash at a time.
	crashes  float64
	together int
}

const (
	crashTime = time.Minute
	// firstEvent is the time after which an upstream begins to write, at most twice as long if it is slow.
	firstEvent = 120 * time.Millisecond
	crashStep  = 5 * time.Millisecond
	crashDown  = 1500 * time.Millisecond
	badPart    = "bad"
	// badIdentity is that of the tries of a bad request.
	badIdentity poison.Identity = 1
)

// crashAttempt is a request at an upstream.
type crashAttempt struct {
	parts       []string
	upstream    int
	trial, bad  bool
	writes, end time.Time
}

// crashRun is a run of a crashLoad.
type crashRun struct {
	crashLoad
	rng   *rand.Rand
	p     *Pool
	list  []site.Upstream
	since []time.Time // when a crashed upstream is back; zero while it runs
	open  map[Key]*crashAttempt
	asked map[Key][]string
	next  uint64
	// identities are those of the requests by number, and badIdentity that of the tries of a bad request.
	identities map[uint64]poison.Identity
	// quarantined are the parts and requests that were quarantined, by their names in logs, ended the times of the ends under badPart; reached are the times
	// at which requests with it were sent.
	quarantined    map[string]bool
	ended, reached []time.Time
	// began counts the sound requests that got a slot, sent all of them, from late on.
	began, sent int
}

// seeds returns the number of seeds of a pattern, fewer for large ones.
func (l crashLoad) seeds() uint64 {
	if l.upstreams > 100 || testing.Short() {
		return 2
	}
	return 20
}

func (l crashLoad) play(seed uint64) *crashRun {
	r := &crashRun{
		crashLoad: l, rng: rand.New(rand.NewPCG(seed, 1)), p: NewPool(NewOptions()), since: make([]time.Time, l.upstreams),
		open: map[Key]*crashAttempt{}, asked: map[Key][]string{}, identities: map[uint64]poison.Identity{}, quarantined: map[string]bool{},
	}
	r.list = upstreams(l.upstreams, 8)
	r.p.SetUpstreams(start, r.list)
	for now := start; now.Before(start.Add(crashTime)); now = now.Add(crashStep) {
		r.step(now)
	}
	return r
}

func (r *crashRun) step(now time.Time) {
	for i, back := range r.since {
		if !back.IsZero() && !now.Before(back) {
			r.since[i] = time.Time{}
			r.list[i].Incarnation++
			r.record(now, r.p.SetUpstreams(now, r.list))
		}
	}
	perStep := crashStep.Seconds()
	if r.rng.Float64() < r.crashes*perStep/float64(max(r.together, 1)) {
		for range max(r.together, 1) {
			r.crash(now, r.rng.IntN(r.upstreams))
		}
	}
	r.advance(now)
	r.record(now, r.p.Tick(now))
	if r.rng.Float64() < float64(r.rate)*perStep {
		r.ask(now, r.firstPart(), fmt.Sprintf("subject%d", r.rng.IntN(r.subjects)))
	}
	if r.rng.Float64() < float64(r.bad)*perStep {
		r.ask(now, r.firstPart(), badPart)
	}
}

func (r *crashRun) firstPart() string { return fmt.Sprintf("first%d", r.rng.IntN(r.firstParts)) }

// advance lets upstreams write and end answers.
func (r *crashRun) advance(now time.Time) {
	keys := make([]Key, 0, len(r.open))
	for k := range r.open {
		keys = append(keys, k)
	}
	for _, k := range sorted(keys) {
		a := r.open[k]
		switch {
		case a == nil || now.Before(a.writes):
		case a.bad:
			r.ended = append(r.ended, now)
			r.crash(now, a.upstream)
		case !now.Before(a.end):
			delete(r.open, k)
			r.record(now, r.p.Release(now, k, Served))
		case a.trial:
			a.trial = false
			r.record(now, r.p.Wrote(now, k))
		}
	}
}

// crash ends an upstream and all attempts there; those that had not begun to write are tried once more.
func (r *crashRun) crash(now time.Time, upstream int) {
	if !r.since[upstream].IsZero() {
		return
	}
	r.since[upstream] = now.Add(crashDown)
	var keys []Key
	for k, a := range r.open {
		if a.upstream == upstream {
			keys = append(keys, k)
		}
	}
	for _, k := range sorted(keys) {
		a := r.open[k]
		delete(r.open, k)
		if !now.Before(a.writes) && !a.bad {
			r.record(now, r.p.Release(now, k, Broken))
			continue
		}
		r.record(now, r.p.Release(now, k, Ended))
		if k.Owner == "first" {
			r.askAs(now, Key{Owner: "again", ID: k.ID}, a.parts)
		}
	}
}

func (r *crashRun) ask(now time.Time, parts ...string) {
	r.next++
	bad := parts[1] == badPart
	if !bad && now.After(start.Add(crashTime/2)) {
		r.sent++
	}
	r.identities[r.next] = poison.Identity(1000 + r.next)
	switch {
	case bad && r.repeats:
		r.identities[r.next] = badIdentity
	case !bad && r.alike > 0:
		r.identities[r.next] = poison.Identity(100 + r.rng.IntN(r.alike))
	}
	r.askAs(now, Key{Owner: "first", ID: r.next}, parts)
}

func (r *crashRun) askAs(now time.Time, k Key, parts []string) {
	q := online(k.ID)
	q.Key, q.Objective, q.Order, q.Deadline = k, now.Add(loadWait), now.Add(5*time.Second), now.Add(loadWait)
	for _, p := range parts {
		q.Parts = append(q.Parts, poison.NewPart(p))
	}
	q.Identity = r.identities[k.ID]
	r.asked[k] = parts
	r.record(now, r.p.Ask(now, q))
}

func (r *crashRun) record(now time.Time, out Outcome) {
	for _, f := range out.Findings {
		if f.Kind == poison.QuarantineBegun {
			name := f.Part.String()
			if f.IsRequest() {
				name = f.Identity.String()
			}
			r.quarantined[name] = true
		}
	}
	for _, g := range out.Granted {
		k := g.Request.Key
		at := -1
		for i, u := range r.list {
			if u.ID == g.Upstream.ID {
				at = i
			}
		}
		if !r.since[at].IsZero() {
			r.record(now, r.p.Release(now, k, Unreachable))
			continue
		}
		first := firstEvent + time.Duration(r.rng.Int64N(int64(firstEvent)))
		parts := r.asked[k]
		a := &crashAttempt{parts: parts, upstream: at, trial: g.Trial, bad: parts[1] == badPart, writes: now.Add(first), end: now.Add(first + loadHold)}
		r.open[k] = a
		if a.bad {
			r.reached = append(r.reached, now)
		} else if k.Owner == "first" && now.After(start.Add(crashTime/2)) {
			r.began++
		}
	}
}

// Guards against quarantines on days on which upstreams crash for reasons of their own.
func TestCrashesOfUpstreamsCondemnNothing(t *testing.T) {
	for _, l := range []crashLoad{
		{name: "9 upstreams, a crash each second", upstreams: 9, rate: 38, firstParts: 40, subjects: 595, crashes: 1},
		{name: "9 upstreams, three crash together", upstreams: 9, rate: 38, firstParts: 40, subjects: 595, crashes: 2, together: 3},
		{name: "9 upstreams, all crash together", upstreams: 9, rate: 38, firstParts: 1, subjects: 20, crashes: 4, together: 40},
		{name: "9 upstreams, few parts", upstreams: 9, rate: 38, firstParts: 1, subjects: 3, crashes: 2},
		{name: "9 upstreams, few requests that come again", upstreams: 9, rate: 38, firstParts: 40, subjects: 595, alike: 3, crashes: 1},
		{name: "9 upstreams, many requests that come again", upstreams: 9, rate: 38, firstParts: 40, subjects: 595, alike: 300, crashes: 2},
		{name: "3 upstreams, a crash each second", upstreams: 3, rate: 12, firstParts: 1, subjects: 1, crashes: 1},
		{name: "300 upstreams, two crashes each second", upstreams: 300, rate: 190, firstParts: 200, subjects: 5000, crashes: 2},
		{name: "300 upstreams, a tenth crash together", upstreams: 300, rate: 190, firstParts: 200, subjects: 5000, crashes: 15, together: 30},
	} {
		t.Run(l.name, func(t *testing.T) {
			for seed := range l.seeds() {
				r := l.play(seed)
				assert.Empty(t, r.quarantined, "seed %d", seed)
			}
		})
	}
}

// Guards against parts and requests that go on to crash upstreams, and against quarantines of what they share prompts or
// upstreams with, also while upstreams crash for reasons of their own.
func TestBadPartIsFoundBesideCrashes(t *testing.T) {
	const contact, mayReach = 3 * time.Second, 3
	for _, l := range []crashLoad{
		{name: "3 upstreams, a request that comes again", upstreams: 3, rate: 12, bad: 10, firstParts: 1, subjects: 595, repeats: true},
		{name: "9 upstreams, a request that comes again", upstreams: 9, rate: 38, bad: 8, firstParts: 40, subjects: 595, repeats: true},
		{name: "9 upstreams, a request that comes again rarely", upstreams: 9, rate: 38, bad: 1, firstParts: 40, subjects: 595, repeats: true},
		{name: "9 upstreams, a request that comes again, a crash each second", upstreams: 9, rate: 38, bad: 8, firstParts: 40, subjects: 595, repeats: true, crashes: 1},
		{name: "300 upstreams, a request that comes again, two crashes each second", upstreams: 300, rate: 190, bad: 8, firstParts: 200, subjects: 5000, repeats: true, crashes: 2},
		{name: "9 upstreams", upstreams: 9, rate: 38, bad: 8, firstParts: 1, subjects: 595},
		{name: "9 upstreams, mostly bad requests", upstreams: 9, rate: 8, bad: 30, firstParts: 1, subjects: 595},
		{name: "9 upstreams, few bad requests", upstreams: 9, rate: 38, bad: 1, firstParts: 40, subjects: 595},
		{name: "9 upstreams, a crash each second", upstreams: 9, rate: 38, bad: 8, firstParts: 40, subjects: 595, crashes: 1},
		{name: "300 upstreams, two crashes each second", upstreams: 300, rate: 190, bad: 30, firstParts: 200, subjects: 5000, crashes: 2},
	} {
		t.Run(l.name, func(t *testing.T) {
			for seed := range l.seeds() {
				r := l.play(seed)
				culprit, ends := poison.NewPart(badPart).String(), 5
				if l.repeats {
					culprit, ends = badIdentity.String(), 3
				}
				assert.Equal(t, map[string]bool{culprit: true}, r.quarantined, "seed %d", seed)
				if len(r.ended) >= ends {
					late := 0
					for _, at := range r.reached {
						if at.After(r.ended[ends-1].Add(contact)) {
							late++
						}
					}
					assert.LessOrEqual(t, late, mayReach, "seed %d", seed)
				}
				assert.GreaterOrEqual(t, r.began, r.sent/2, "seed %d", seed)
			}
		})
	}
}
