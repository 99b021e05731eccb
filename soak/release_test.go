package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mothcart/platform/fake"
)

const (
	// enginesThatServe is how many of the engines of a version serve while one breaks its streams off.
	enginesThatServe = engines - 1
	// streamCallers is the number of callers that read streams, one after the other.
	streamCallers = 8
	// releasePace makes a stream last 0.9 s, so that faults hit streams in the middle.
	releasePace = 60 * time.Millisecond
	// leaveAfter is how long a draining engine serves on; the platform's bound is 2 s.
	leaveAfter = 2200 * time.Millisecond
	// settle is the time in which all entries learn of a new engine.
	settle = time.Second
)

// service is the time in which an engine takes new requests.
type service struct {
	id          string
	engine      *fake.Engine
	from, until time.Time
}

// release replaces the engines of a site by engines of other software versions. It is used by one goroutine.
type release struct {
	s        *site
	rng      *rand.Rand
	services []service
	// engines is the number of engines that the site ever had.
	engines int
	leaving sync.WaitGroup
}

func newRelease(s *site, rng *rand.Rand) *release {
	r := &release{s: s, rng: rng, engines: engines + 1}
	for n, e := range s.engines {
		e.SetPace(releasePace)
		r.services = append(r.services, service{id: engineID(n + 1), engine: e, from: time.Now()})
	}
	return r
}

// start starts the engines of a version.
func (r *release) start(version string) {
	for range engines {
		r.engines++
		e := r.s.addEngine(r.engines, "scribe", version, engineSlots)
		e.SetPace(releasePace)
		r.s.engines = append(r.s.engines, e)
		r.services = append(r.services, service{id: engineID(r.engines), engine: e, from: time.Now().Add(settle)})
	}
}

// drain makes the engines of a version leave, one after the other.
func (r *release) drain(version string) {
	for i, v := range r.services {
		if v.engine.Version() != version {
			continue
		}
		r.services[i].until = time.Now()
		v.engine.SetState("draining")
		r.leaving.Go(func() {
			time.Sleep(leaveAfter)
			v.engine.Crash()
			r.s.objects.RemoveUpstream(v.id)
		})
		time.Sleep(between(r.rng, 0, 300*time.Millisecond))
	}
}

// serving draws an engine that takes new requests.
func (r *release) serving() *fake.Engine {
	for {
		if v := r.services[r.rng.IntN(len(r.services))]; v.until.IsZero() {
			return v.engine
		}
	}
}

// disturb breaks streams off in the middle, at one engine at a time, and kills entries.
func (r *release) disturb(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		e := r.serving()
		e.SetFaults(fake.EngineFaults{BreakAfter: 2 + r.rng.IntN(5)})
		time.Sleep(between(r.rng, 100*time.Millisecond, 500*time.Millisecond))
		r.s.restart(r.s.processes[r.rng.IntN(entries)], syscall.SIGKILL, 200*time.Millisecond)
		e.SetFaults(fake.EngineFaults{})
		time.Sleep(between(r.rng, 0, 400*time.Millisecond))
	}
}

// serves reports whether enough engines of a version took new requests all the time.
func (r *release) serves(version string, from, to time.Time) bool {
	n := 0
	for _, v := range r.services {
		if v.engine.Version() == version && v.from.Before(from) && (v.until.IsZero() || v.until.After(to)) {
			n++
		}
	}
	return n > enginesThatServe
}

// versions returns the software versions of the engines that sent an event of a request.
func (r *release) versions(id string, n int) map[string]bool {
	versions := make(map[string]bool)
	for _, e := range r.s.engines {
		for _, sent := range e.Events(id) {
			if sent == n {
				versions[e.Version()] = true
			}
		}
	}
	return versions
}

// versionsOf returns the software versions that can have sent all events of a stream, or those that one of its
// requests brought.
func (r *release) versionsOf(st *stream, request string) map[string]bool {
	var possible map[string]bool
	for i, id := range st.events {
		if request != "" && id != request {
			continue
		}
		at := r.versions(id, i+1)
		if possible == nil {
			possible = at
		}
		maps.DeleteFunc(possible, func(v string, _ bool) bool { return !at[v] })
	}
	return possible
}

// resumedAtAnotherVersion reports whether one request of a stream brought events of two versions.
func (r *release) resumedAtAnotherVersion(st *stream) bool {
	return slices.ContainsFunc(st.events, func(id string) bool { return len(r.versionsOf(st, id)) == 0 })
}

// Guards against streams that go on at an engine of another software version than the one that began them.
func TestStreamsStayAtTheirSoftwareVersion(t *testing.T) {
	program := build(t)
	for _, seed := range seedsOr(1) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			s := newSite(t, program, seed)
			defer s.close()
			defer s.saveLogs(seed)
			s.awaitReady()
			r := newRelease(s, rand.New(rand.NewPCG(seed, 21)))
			stop := make(chan struct{})
			var callers sync.WaitGroup
			streams := make([][]*stream, streamCallers)
			for n := range streams {
				rng := rand.New(rand.NewPCG(seed, uint64(100+n)))
				c := &streamCaller{c: &checker{s: s}, rng: rng, name: fmt.Sprintf("%d.%d", seed, n)}
				callers.Go(func() { streams[n] = c.readAll(stop) })
			}
			duration := time.Duration(*seconds) * time.Second
			r.start("v2")
			r.disturb(duration / 2)
			r.start("v3")
			r.drain("v1")
			r.disturb(duration / 2)
			close(stop)
			callers.Wait()
			r.leaving.Wait()
			r.check(streams)
		})
	}
}

// check checks that no stream holds events of two versions, and that streams taken up go on.
func (r *release) check(streams [][]*stream) {
	t := r.s.t
	var begun, asked, mixed, resumed, takenUp, wentOn int
	for _, st := range slices.Concat(streams...) {
		asked++
		if len(st.events) == 0 {
			continue
		}
		begun++
		if len(r.versionsOf(st, "")) == 0 {
			mixed++
		}
		if r.resumedAtAnotherVersion(st) {
			resumed++
		}
		for _, up := range st.takeUps {
			for version := range r.versions(st.events[0], 1) {
				if r.serves(version, up.from, up.to) {
					takenUp++
					if up.wentOn {
						wentOn++
					}
				}
			}
		}
	}
	t.Logf("%d of %d streams began, %d held events of two versions, %d of them within one answer; "+
		"%d taken up while their version served, %d of them went on", begun, asked, mixed, resumed, takenUp, wentOn)
	require.Positive(t, begun, "no stream began")
	require.Positive(t, takenUp, "no stream was taken up")
	assert.Zero(t, mixed, "streams that hold events of two software versions")
	assert.GreaterOrEqual(t, 2*wentOn*asked, takenUp*begun, "streams that were taken up go on less than half as often as new ones begin")
}
