package admit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func offerMany(t *testing.T, q Queue, team string, n int, firstID uint64) Queue {
	for i := range n {
		var v Verdict
		q, v = q.Offer(start, Request{ID: firstID + uint64(i), Team: team, Deadline: start.Add(time.Hour)})
		require.True(t, v.Accepted)
	}
	return q
}

// A team that floods its own queue takes only what the others leave.
func TestSharesAreKeptAndUnusedOnesAreLent(t *testing.T) {
	q := NewQueue(1000).WithShares([]Share{{"deacons", 0.75}, {"lots", 0.25}})
	q = offerMany(t, q, "lots", 500, 0)
	for range 40 {
		var r Request
		var ok bool
		q, r, ok = q.Next(start)
		require.True(t, ok)
		assert.Equal(t, "lots", r.Team, "unused share is lent")
	}
	q = offerMany(t, q, "deacons", 500, 1000)
	got := map[string]int{}
	for range 200 {
		var r Request
		q, r, _ = q.Next(start)
		got[r.Team]++
		q = q.End(start, "lots")
		q = q.Start("lots")
	}
	assert.Greater(t, got["deacons"], 100, "the lent share comes back with the next places")
}

func TestOfferRefuses(t *testing.T) {
	q := offerMany(t, NewQueue(2), "a", 2, 0)
	_, v := q.Offer(start, Request{ID: 9, Team: "a", Deadline: start.Add(time.Hour)})
	assert.Equal(t, QueueFull, v.Reason)
	assert.GreaterOrEqual(t, v.RetryAfter, minRetryAfter)

	q = offerMany(t, NewQueue(1000), "a", 100, 0)
	now := start
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		q = q.End(now, "a")
	}
	_, v = q.Offer(now, Request{ID: 9, Team: "a", Deadline: now.Add(time.Second)})
	assert.Equal(t, TooLate, v.Reason, "100 requests ahead at about 10 a second take 10 s")
	_, v = q.Offer(now, Request{ID: 9, Team: "a", Deadline: now.Add(time.Minute)})
	assert.True(t, v.Accepted)
}

func TestEarliestDeadlineFirstAndExpiry(t *testing.T) {
	q := NewQueue(10)
	for i, d := range []time.Duration{3, 1, 2} {
		q, _ = q.Offer(start, Request{ID: uint64(i), Team: "a", Deadline: start.Add(d * time.Second)})
	}
	q, expired := q.Expire(start.Add(time.Second))
	require.Len(t, expired, 1)
	assert.Equal(t, uint64(1), expired[0].ID)
	_, r, _ := q.Next(start)
	assert.Equal(t, uint64(2), r.ID)
}

// No request is lost or doubled between offer and exit, whatever happens in between.
func TestQueueKeepsEveryRequestOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(rapid.IntRange(1, 5).Draw(t, "limit"))
		now := start
		in := map[uint64]Request{}
		var id uint64
		leave := func(r Request) {
			if _, ok := in[r.ID]; !ok {
				t.Fatalf("request %d left without having entered", r.ID)
			}
			delete(in, r.ID)
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				id++
				r := Request{ID: id, Team: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"), Deadline: now.Add(time.Duration(rapid.IntRange(1, 9).Draw(t, "s")) * time.Second)}
				var v Verdict
				if q, v = q.Offer(now, r); v.Accepted {
					in[id] = r
				}
			},
			"next": func(_ *rapid.T) {
				var r Request
				var ok bool
				if q, r, ok = q.Next(now); ok {
					leave(r)
					q = q.End(now, r.Team)
				}
			},
			"expire": func(_ *rapid.T) {
				now = now.Add(time.Second)
				var expired []Request
				q, expired = q.Expire(now)
				for _, r := range expired {
					leave(r)
				}
			},
			"remove": func(_ *rapid.T) {
				for _, r := range in {
					var ok bool
					if q, ok = q.Remove(r); !ok {
						t.Fatalf("request %d could not be removed", r.ID)
					}
					leave(r)
					return
				}
			},
			"": func(t *rapid.T) {
				if q.Len() != len(in) {
					t.Fatalf("queue holds %d, want %d", q.Len(), len(in))
				}
			},
		})
	})
}

func TestBucket(t *testing.T) {
	b := NewBucket(start, 10, 5)
	taken := 0
	for i := range 1000 {
		var ok bool
		if b, _, ok = b.Take(start.Add(time.Duration(i) * time.Millisecond)); ok {
			taken++
		}
	}
	assert.InDelta(t, 15, taken, 1)
}

// With any demand, all VMs together never get more than the limit.
func TestLendKeepsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 20).Draw(t, "vms")
		demands := rapid.SliceOfN(rapid.Float64Range(0, 1000), 0, vms).Draw(t, "demands")
		var list []Demand
		for _, d := range demands {
			list = append(list, Demand{PerSecond: d})
		}
		sum := float64(vms-len(list)) * Floor(100, vms)
		for _, s := range Lend(100, 10, vms, list) {
			sum += s.PerSecond
		}
		if sum > 100.0001 {
			t.Fatalf("lent %f of 100", sum)
		}
	})
}
