package quota

import (
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mothcart/core/poison"
	"mothcart/core/site"
)

// uneven returns accounts of which a few are large, that need 1/1.6 of their limits; burst is in seconds of the rate.
func uneven(accounts int, perSecond, burst float64) []load {
	const skew = 1.2
	var sum float64
	for k := range accounts {
		sum += math.Pow(float64(k+1), -skew)
	}
	var out []load
	for k := range accounts {
		n := perSecond * math.Pow(float64(k+1), -skew) / sum
		a := site.Account{Name: fmt.Sprintf("a%d", k), Rate: 1.6 * n, Burst: burst * 1.6 * n}
		out = append(out, load{a, func(float64) float64 { return n }})
	}
	return out
}

// Guards against refusals below the limit while nothing fails, where callers of small accounts arrive unevenly.
func TestNoneRefusedOnCalmDay(t *testing.T) {
	f := newFleet(55, 1)
	f.now = at(15) // the home has run for a while
	f.run(250, uneven(75, 435, 1), nil)
	require.Greater(t, f.asked, 100_000)
	require.Empty(t, f.refused)
}

// Guards against a fallback that takes from accounts what they are owed while no home serves.
func TestFewRefusedAfterHomeIsLost(t *testing.T) {
	for _, nodes := range []int{9, 55, 72} {
		t.Run(fmt.Sprintf("%d nodes", nodes), func(t *testing.T) {
			var asked, refused int
			for seed := range uint64(4) {
				f := newFleet(nodes, seed)
				loads := uneven(75, 435, 1)
				f.run(20, loads, nil)
				asked -= f.asked
				f.run(10, loads, without(20, takeover))
				asked += f.asked
				refused += between(f.refused, at(20), at(30))
			}
			assert.LessOrEqual(t, float64(refused), 0.02*float64(asked), "of %d", asked)
		})
	}
}

// Guards against a Retry-After at which the caller finds no token: an account sends half as much again as its limit for
// two seconds, at the end of its burst, and refused callers return once.
func TestCallersThatReturnGetTheirToken(t *testing.T) {
	for _, rate := range []float64{1.2, 5, 20, 200} {
		t.Run(fmt.Sprintf("%g a second", rate), func(t *testing.T) {
			f := newFleet(55, 1)
			f.now = at(15)
			got, returned := f.runWithReturns(site.Account{Name: "a", Rate: rate, Burst: rate}, func(s float64) float64 {
				if math.Mod(s, 20) < 2 {
					return 1.5 * rate
				}
				return 0.6 * rate
			})
			assert.GreaterOrEqual(t, float64(got), 0.95*float64(returned), "of %d", returned)
		})
	}
}

// runWithReturns sends requests of an account until 600 s; refused callers return once, up to 20 ms late. It returns how
// many did, and how many of them got a token.
func (f *fleet) runWithReturns(a site.Account, perSecond func(s float64) float64) (got, returned int) {
	back := make(map[time.Duration][]poison.Identity) // callers by the time at which they return
	for id := poison.Identity(1); f.now.Before(at(600)); f.now = f.now.Add(time.Millisecond) {
		passed := f.now.Sub(start)
		for _, id := range back[passed] {
			returned++
			if f.ask(a, id).OK {
				got++
			}
		}
		delete(back, passed)
		if f.rng.Float64() >= perSecond(passed.Seconds())/1000 {
			continue
		}
		id++
		if v := f.ask(a, id); !v.OK {
			late := time.Duration(1+f.rng.IntN(20)) * time.Millisecond
			t := passed + v.RetryAfter.Truncate(time.Millisecond) + late
			back[t] = append(back[t], id)
		}
	}
	return got, returned
}

// Guards against a limit that doesn't follow the configuration: raised, far below what is sent, and a new account.
func TestLimitFollowsConfiguration(t *testing.T) {
	limit := func(rate float64) site.Account { return site.Account{Name: "a", Rate: rate, Burst: rate} }
	for _, tc := range []struct {
		name          string
		before, after site.Account
		sent          float64
	}{
		{"raised", limit(10), limit(50), 300},
		{"lowered", limit(200), limit(5), 300},
		{"new", site.Account{Name: "other", Rate: 10}, limit(20), 100},
		{"no limit before", site.Account{Name: "a"}, limit(20), 100},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(55, 1)
			flood := func(float64) float64 { return tc.sent }
			f.run(30, []load{{tc.before, flood}}, nil)
			f.run(2, []load{{tc.after, flood}}, without(30.5, takeover))
			f.run(28, []load{{tc.after, flood}}, nil)
			window := DefaultTolerance().Window.Seconds()
			later := between(f.granted["a"], at(30+window), at(60))
			assert.InEpsilon(t, tc.after.Rate*(30-window), later, 0.1)
			for s := 30 + window; s < 60; s += 0.1 {
				assert.LessOrEqual(t, float64(between(f.granted["a"], at(s-window), at(s))), DefaultTolerance().Allowed(tc.after), "%g s", s)
			}
		})
	}
}

// Guards against a part of an account's limit that stays unused after its nodes have ended, or were replaced.
func TestSharesOfLostNodesReturn(t *testing.T) {
	a := site.Account{Name: "a", Rate: 100, Burst: 10}
	f := newFleet(10, 1)
	home := f.nodes[0].home
	load := []load{{a, func(float64) float64 { return 500 }}}
	f.run(20, load, nil)
	granted := func() int { return len(f.granted["a"]) }
	f.connect(nil, f.nodes[:5]...)
	lost := f.nodes[:5]
	f.nodes = f.nodes[5:]
	before := granted()
	f.run(10, load, nil)
	assert.InEpsilon(t, 500, granted()-before, 0.1, "five of ten nodes may go on")
	f.connect(home, lost[0])
	before = granted()
	f.run(10, load, nil)
	assert.InEpsilon(t, 600, granted()-before, 0.1)
	f.run(reserveTime.Seconds(), load, nil)
	before = granted()
	f.run(10, load, nil)
	assert.InEpsilon(t, 1000, granted()-before, 0.1)
}

func TestIdleAccountsAreDropped(t *testing.T) {
	l := NewLimiter(start, DefaultTolerance(), func() float64 { return 0 })
	for i := range 26_000 {
		require.True(t, l.Take(at(1), site.Account{Name: fmt.Sprint(i), Rate: 1, Burst: 2}, Ask{Owner: "e/1/1"}).OK)
	}
	require.Equal(t, 26_000, l.Tracked())
	for i := range 20 {
		l.Take(at(10*float64(i)), site.Account{Name: "busy", Rate: 1}, Ask{Owner: "e/1/1"})
	}
	require.LessOrEqual(t, l.Tracked(), 1)
	require.LessOrEqual(t, len(l.members.byVM["e"].used), 1)
}

// BenchmarkMemory measures the state of an account at the home and at a node, with one request each.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		home := NewLimiter(start, DefaultTolerance(), func() float64 { return 0 })
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range 26_000 {
			home.Take(at(1), site.Account{Name: fmt.Sprintf("account-%d", i), Rate: 1}, Ask{Owner: fmt.Sprintf("entry-%d/1/1", i%300)})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/26_000, "B/account")
		runtime.KeepAlive(home)
	}
}

// BenchmarkTake measures a request of one of 26,000 accounts from one of 300 nodes, with the answer to the node.
func BenchmarkTake(b *testing.B) {
	l := NewLimiter(start, DefaultTolerance(), func() float64 { return 0 })
	accounts, owners := make([]site.Account, 26_000), make([]string, 300)
	for i := range accounts {
		accounts[i] = site.Account{Name: fmt.Sprintf("account-%d", i), Rate: 5, Burst: 5}
	}
	for i := range owners {
		owners[i] = fmt.Sprintf("entry-%d/1700000000/%d", i, i)
	}
	now, i := at(1), 0
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(200 * time.Microsecond)
		a, owner := accounts[i*7919%len(accounts)], owners[i*31%len(owners)]
		i++
		l.Take(now, a, Ask{Owner: owner, Identity: poison.Identity(i), Latest: time.Second})
		l.Standing(now, a, owner)
	}
}
