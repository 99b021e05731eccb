package slot

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/core/site"
)

// roomCapacity is the memory of an upstream of 8 slots in tokens; a request of the usual size takes 450.
const (
	roomCapacity = 147_261
	roomSlots    = 8
	usualTokens  = 450
)

func newRoomPool(list []site.Upstream) *Pool {
	p := NewPool(NewOptions().WithConfig(NewOptions().Account, func(string) int { return roomCapacity }))
	p.SetUpstreams(start, list)
	return p
}

func sized(r Request, tokens int) Request {
	r.PromptTokens, r.OutputTokens = tokens-tokens/10, tokens/10
	return r
}

// roomLoad runs requests in virtual time, in steps of a millisecond, and checks what upstreams hold after each step.
type roomLoad struct {
	t    *testing.T
	p    *Pool
	now  time.Time
	next uint64
	// running are the grants with their ends, asked the times at which requests asked.
	running map[Key]Grant
	ends    map[Key]time.Time
	asked   map[Key]time.Time
	// waits are the waits of granted requests by their size in tokens.
	waits   map[int][]time.Duration
	refused map[Reason]int
	hold    func(r Request) time.Duration
	most    int
	// preempted counts items that were preempted.
	preempted int
}

func newRoomLoad(t *testing.T, p *Pool) *roomLoad {
	return &roomLoad{t: t, p: p, now: start, running: map[Key]Grant{}, ends: map[Key]time.Time{}, asked: map[Key]time.Time{}, waits: map[int][]time.Duration{}, refused: map[Reason]int{},
		hold: func(Request) time.Duration { return 700 * time.Millisecond }}
}

func size(r Request) int { return r.PromptTokens + r.OutputTokens }

// ask asks for a slot for a request of a size, which waits up to a time.
func (l *roomLoad) ask(tokens int, wait time.Duration) {
	l.next++
	r := sized(online(l.next), tokens)
	r.Order, r.Deadline, r.Objective = l.now.Add(5*time.Second), l.now.Add(wait), l.now.Add(wait)
	l.asked[r.Key] = l.now
	l.take(l.p.Ask(l.now, r))
}

func (l *roomLoad) take(out Outcome) {
	for _, g := range out.Preempted {
		delete(l.running, g.Request.Key)
		delete(l.ends, g.Request.Key)
		l.preempted++
	}
	for _, g := range out.Granted {
		l.running[g.Request.Key], l.ends[g.Request.Key] = g, l.now.Add(l.hold(g.Request))
		l.waits[size(g.Request)] = append(l.waits[size(g.Request)], l.now.Sub(l.asked[g.Request.Key]))
	}
	for _, r := range out.Refused {
		l.refused[r.Reason]++
	}
}

// step lets a millisecond pass and ends the requests that are due.
func (l *roomLoad) step() {
	l.now = l.now.Add(time.Millisecond)
	var due []Key
	for k, end := range l.ends {
		if !l.now.Before(end) {
			due = append(due, k)
		}
	}
	slices.SortFunc(due, func(a, b Key) int { return int(a.ID) - int(b.ID) })
	for _, k := range due {
		delete(l.running, k)
		delete(l.ends, k)
		l.take(l.p.Release(l.now, k, Served))
	}
	if l.now.Sub(start)%(20*time.Millisecond) == 0 {
		l.take(l.p.Tick(l.now))
	}
	l.check()
}

func (l *roomLoad) check() {
	held := map[string]int{}
	for _, g := range l.running {
		held[g.Upstream.ID] += size(g.Request)
		l.most = max(l.most, held[g.Upstream.ID])
		require.LessOrEqual(l.t, held[g.Upstream.ID], roomCapacity, "an upstream ends when its memory runs out, after %s", l.now.Sub(start))
	}
}

// Load: a wave of requests of 12,000 to 40,000 tokens, of which eight take more than an upstream has, beside small ones.
func TestLargeRequestsNeverExceedTheMemoryOfAnUpstream(t *testing.T) {
	for _, tc := range []struct {
		name string
		// change is called after a second of the wave.
		change func(l *roomLoad)
	}{
		{"steady", func(*roomLoad) {}},
		{"the last upstream with room is lost", func(l *roomLoad) {
			for id, u := range l.p.upstreams {
				if u.held+40_000 <= roomCapacity {
					l.lose(id)
				}
			}
		}},
		{"a new home has adopted the grants", func(l *roomLoad) {
			p := newRoomPool(upstreams(9, roomSlots))
			for _, g := range l.running {
				p.Adopt(l.now, g.Request, g.Upstream.ID)
			}
			l.p = p
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newRoomLoad(t, newRoomPool(upstreams(9, roomSlots)))
			random := rand.New(rand.NewPCG(1, 2))
			for ms := range 4000 {
				if ms == 1000 {
					tc.change(l)
				}
				if ms%60 == 0 {
					l.ask(usualTokens, 300*time.Millisecond)
				}
				if ms%12 == 0 {
					l.ask(12_000+random.IntN(28_001), time.Second)
				}
				l.step()
			}
			require.Greater(t, l.most, roomCapacity*8/10, "the wave needs the memory")
			require.Zero(t, slices.Max(l.waits[usualTokens]), "small requests find slots and room at once")
		})
	}
}

// lose ends an upstream with the requests that it holds.
func (l *roomLoad) lose(id string) {
	var list []site.Upstream
	for _, u := range l.p.upstreams {
		if u.ID != id {
			list = append(list, u.Upstream)
		}
	}
	l.take(l.p.SetUpstreams(l.now, list))
	for k, g := range l.running {
		if g.Upstream.ID == id {
			delete(l.running, k)
			delete(l.ends, k)
			l.take(l.p.Release(l.now, k, Ended))
		}
	}
}

// Load: requests that just fit into the share of a slot fill all upstreams at all times, so that each slot that becomes
// free is too small for a larger request.
func TestLargeRequestIsNotStarvedBySmallerOnes(t *testing.T) {
	const hold = 700 * time.Millisecond
	for _, tc := range []struct {
		name      string
		upstreams int
		larges    int
	}{
		{"one upstream", 1, 1},
		{"nine upstreams", 9, 1},
		{"nine upstreams, three large ones", 9, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newRoomLoad(t, newRoomPool(upstreams(tc.upstreams, roomSlots)))
			const small, large = roomCapacity / roomSlots, 40_000
			for ms := range 6000 {
				for range tc.upstreams { // far more than the slots take
					if ms%50 == 0 {
						l.ask(small, 4*time.Second)
					}
				}
				if ms == 2000 {
					for range tc.larges {
						l.ask(large, 4*time.Second)
					}
				}
				l.step()
			}
			require.Len(t, l.waits[large], tc.larges)
			t.Logf("waits of large ones: %v, small ones granted: %d", l.waits[large], len(l.waits[small]))
			// Those of the same urgency before it get theirs first: it is last in the queue of the time at which it asks.
			ahead := slices.Max(l.waits[small])
			require.LessOrEqual(t, slices.Max(l.waits[large]), ahead+time.Duration(tc.larges)*hold, "each waits for one upstream to drain")
		})
	}
}

// Small requests must not wait for the room that a large one gets, nor be refused for it.
func TestSmallRequestsDontWaitForALargeOne(t *testing.T) {
	l := newRoomLoad(t, newRoomPool(upstreams(3, roomSlots)))
	for range 3 * 2 {
		l.ask(69_000, time.Second)
	}
	l.ask(40_000, time.Second)
	require.Empty(t, l.waits[40_000])
	require.NotNil(t, l.p.service("scribe").reserved)
	for range 3 * 6 { // all slots
		l.step()
		l.ask(usualTokens, time.Second)
	}
	require.Len(t, l.waits[usualTokens], 2*6, "all but the slots of the upstream that is reserved")
	require.Zero(t, slices.Max(l.waits[usualTokens]))
	for range 701 {
		l.step()
	}
	require.Len(t, l.waits[40_000], 1)
	require.Len(t, l.waits[usualTokens], 3*6)
	require.Empty(t, l.refused)
}

func TestRoomDecidesByTheSizeThatIsKnown(t *testing.T) {
	for _, tc := range []struct {
		name    string
		r       Request
		granted int
		refused Reason
	}{
		{"prompt and longest output", Request{PromptTokens: 50_000, OutputTokens: 19_000, ExpectedTokens: 10}, 2, ReasonNoRoom},
		{"estimate, which is often too low", Request{PromptTokens: 1_000, ExpectedTokens: 17_000}, 2, ReasonNoRoom},
		{"neither is known: the share of a slot", Request{}, 8, ReasonFull},
		{"as large as the upstream", Request{PromptTokens: roomCapacity - 1, OutputTokens: 1}, 1, ReasonNoRoom},
		{"larger", Request{PromptTokens: roomCapacity, OutputTokens: 1}, 0, ReasonTooLarge},
		{"far larger", Request{PromptTokens: 1 << 62, OutputTokens: 1 << 62}, 0, ReasonTooLarge},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newRoomPool(upstreams(1, roomSlots))
			for id := range uint64(roomSlots + 1) {
				r := online(id)
				r.PromptTokens, r.OutputTokens, r.ExpectedTokens = tc.r.PromptTokens, tc.r.OutputTokens, tc.r.ExpectedTokens
				out := p.Ask(start, r)
				if int(id) < tc.granted {
					require.Len(t, out.Granted, 1, id)
					continue
				}
				require.Len(t, out.Refused, 1)
				require.Equal(t, tc.refused, out.Refused[0].Reason)
				require.Positive(t, out.Refused[0].RetryAfter)
			}
			require.Equal(t, tc.granted, p.Load(start, "scribe").Online)
		})
	}
}

// Items give way to a large online request, as many as it needs and at one upstream, and free their room.
func TestItemsMakeRoomForALargeRequest(t *testing.T) {
	p := newRoomPool(upstreams(2, roomSlots))
	for id := range uint64(6) {
		require.Len(t, p.Ask(start, sized(item(id, time.Minute), 45_000)).Granted, 1)
	}
	out := p.Ask(start, sized(online(100), 90_000))
	require.Len(t, out.Granted, 1)
	require.Len(t, out.Preempted, 2)
	for _, g := range out.Preempted {
		require.Equal(t, out.Granted[0].Upstream.ID, g.Upstream.ID)
	}
	l := p.Load(start, "scribe").Room
	require.Equal(t, RoomLoad{Held: 4*45_000 + 90_000, Capacity: 2 * roomCapacity}, l)
}

// A request that waits is refused once the configuration names less memory than it needs; one that names none again
// lets all pass.
func TestCapacityChangesWithTheConfiguration(t *testing.T) {
	capacity := roomCapacity
	p := NewPool(NewOptions().WithConfig(NewOptions().Account, func(string) int { return capacity }))
	p.SetUpstreams(start, upstreams(1, roomSlots))
	require.Len(t, p.Ask(start, sized(item(1, time.Minute), 100_000)).Granted, 1)
	require.Empty(t, p.Ask(start, sized(item(2, time.Minute), 100_000)))
	capacity = 90_000
	out := p.Tick(start)
	require.Len(t, out.Refused, 1)
	require.Equal(t, ReasonTooLarge, out.Refused[0].Reason)
	capacity = 0
	require.Len(t, p.Ask(start, sized(item(3, time.Minute), 1<<30)).Granted, 1)
	p.Release(start, item(1, 0).Key, Served)
	p.Release(start, item(3, 0).Key, Served)
	capacity = roomCapacity
	require.Zero(t, p.Load(start, "scribe").Room.Capacity)
	p.Tick(start)
	require.Equal(t, RoomLoad{Capacity: roomCapacity, Reservations: 1}, p.Load(start, "scribe").Room)
}

// Sites whose requests fit into the share of a slot must decide as without a capacity.
func TestSmallRequestsAreDecidedAsWithoutCapacity(t *testing.T) {
	var pools [2]*Pool
	for i, capacity := range []int{0, roomCapacity} {
		pools[i] = NewPool(NewOptions().WithConfig(NewOptions().Account, func(string) int { return capacity }))
		pools[i].SetUpstreams(start, upstreams(9, roomSlots))
	}
	random := rand.New(rand.NewPCG(1, 2))
	var held []Key
	for n := range uint64(5000) {
		now := start.Add(time.Duration(n) * 5 * time.Millisecond)
		r := online(n)
		if n%4 == 0 {
			r = item(n, time.Duration(n)*5*time.Millisecond+time.Minute)
		}
		r = sized(r, random.IntN(roomCapacity/roomSlots))
		r.Order, r.Deadline = now.Add(5*time.Second), now.Add(200*time.Millisecond)
		out := pools[0].Ask(now, r)
		require.Equal(t, out, pools[1].Ask(now, r))
		for _, g := range out.Granted {
			held = append(held, g.Request.Key)
		}
		if random.IntN(3) > 0 && len(held) > 40 {
			i := random.IntN(len(held))
			k := held[i]
			held = slices.Delete(held, i, i+1)
			next := pools[0].Release(now, k, Served)
			require.Equal(t, next, pools[1].Release(now, k, Served))
			for _, g := range next.Granted {
				held = append(held, g.Request.Key)
			}
		}
		require.Equal(t, pools[0].Tick(now), pools[1].Tick(now))
	}
}

// Online requests are neither held up nor pushed aside by an item that waits for room.
func TestItemsReserveNothingFromOnlineRequests(t *testing.T) {
	p := newRoomPool(upstreams(2, roomSlots))
	for id := range uint64(2) {
		require.Len(t, p.Ask(start, sized(online(id), 120_000)).Granted, 1)
	}
	require.Empty(t, p.Ask(start, sized(item(9, time.Minute), 100_000)))
	require.True(t, p.service("scribe").reserved.request.Batch)
	require.Equal(t, "u0", p.service("scribe").reserved.upstream.ID)
	for id := range uint64(2 * (roomSlots - 1)) {
		out := p.Ask(start, sized(online(10+id), usualTokens))
		require.Len(t, out.Granted, 1)
		require.Equal(t, id < roomSlots-1, out.Granted[0].Upstream.ID == "u0", "the one in their zone goes first")
	}
	out := p.Release(start, online(0).Key, Served)
	require.Len(t, out.Granted, 1, "the item, as soon as it fits")
	require.True(t, out.Granted[0].Request.Batch)
}
