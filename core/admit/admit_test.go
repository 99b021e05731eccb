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

// A team with a full queue may use the share of the others only as long as these have no requests.
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
	assert.Greater(t, got["deacons"], 100, "the owner gets its share back with the next free slots")
}

func TestWithinShare(t *testing.T) {
	q := NewQueue(10).WithShares([]Share{{"deacons", 0.5}})
	for i := range 8 {
		assert.Equal(t, i < 5, q.WithinShare("deacons", 10))
		q = q.Start("deacons")
	}
	assert.False(t, q.WithinShare("unknown", 10))
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

// queueMachine is a state machine test of a queue; it records which requests are in it.
type queueMachine struct {
	q      Queue
	now    time.Time
	queued map[uint64]Request
	id     uint64
}

func (m *queueMachine) removeQueued(t *rapid.T, r Request) {
	if _, ok := m.queued[r.ID]; !ok {
		t.Fatalf("request %d was removed but is not in the queue", r.ID)
	}
	delete(m.queued, r.ID)
}

func (m *queueMachine) Offer(t *rapid.T) {
	m.id++
	deadline := m.now.Add(time.Duration(rapid.IntRange(1, 9).Draw(t, "seconds")) * time.Second)
	r := Request{ID: m.id, Team: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"), Deadline: deadline}
	var v Verdict
	if m.q, v = m.q.Offer(m.now, r); v.Accepted {
		m.queued[r.ID] = r
	}
}

func (m *queueMachine) Next(t *rapid.T) {
	var r Request
	var ok bool
	if m.q, r, ok = m.q.Next(m.now); ok {
		m.removeQueued(t, r)
		m.q = m.q.End(m.now, r.Team)
	}
}

func (m *queueMachine) Expire(t *rapid.T) {
	m.now = m.now.Add(time.Second)
	var expired []Request
	m.q, expired = m.q.Expire(m.now)
	for _, r := range expired {
		m.removeQueued(t, r)
	}
}

func (m *queueMachine) Remove(t *rapid.T) {
	for _, r := range m.queued {
		var ok bool
		if m.q, ok = m.q.Remove(r); !ok {
			t.Fatalf("request %d could not be removed", r.ID)
		}
		m.removeQueued(t, r)
		return
	}
}

func (m *queueMachine) Check(t *rapid.T) {
	if m.q.Len() != len(m.queued) {
		t.Fatalf("queue holds %d, want %d", m.q.Len(), len(m.queued))
	}
}

// Under random calls, no request may be lost or duplicated between Offer and its removal.
func TestQueueKeepsEveryRequestOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &queueMachine{q: NewQueue(rapid.IntRange(1, 5).Draw(t, "limit")), now: start, queued: map[uint64]Request{}}
		t.Repeat(rapid.StateMachineActions(m))
	})
}

// For any sequence of requests, all VMs together must not admit more than rate and burst allow.
func TestGrantsStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, burst = 20, 10
		master := NewBucket(start, rate, burst)
		vms := make([]Allowance, rapid.IntRange(1, 9).Draw(t, "vms"))
		now := start
		admitted := 0
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "gap")) * time.Millisecond)
			i := rapid.IntRange(0, len(vms)-1).Draw(t, "vm")
			a, ok := vms[i].Take(now)
			if !ok {
				var n int
				master, n, _ = master.TakeUpTo(now, a.Want())
				a, ok = a.WithGrant(now, n).Spend(now)
			}
			vms[i] = a
			if ok {
				admitted++
			}
		}
		if most := rate*now.Sub(start).Seconds() + burst; float64(admitted) > most+0.001 {
			t.Fatalf("admitted %d, at most %f", admitted, most)
		}
	})
}

// A VM that can't reach the account's home limits the account to the rate that was granted last.
func TestAllowanceWithoutHome(t *testing.T) {
	const limit, burst, vms = 100, 10, 10
	for _, tc := range []struct {
		name    string
		granted int
		least   int
		most    int
	}{
		{"never granted", 0, 90, 110},
		{"granted half of the limit", 50, 400, 550},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a := Allowance{}
			now := start
			for range 20 * tc.granted {
				now = now.Add(time.Second / 50)
				var ok bool
				if a, ok = a.Take(now); !ok {
					a, _ = a.WithGrant(now, 1).Spend(now)
				}
			}
			admitted := 0
			for range 1000 {
				now = now.Add(10 * time.Millisecond)
				var ok bool
				if a, _, ok = a.WithoutHome(now, limit, burst, vms); ok {
					admitted++
				}
			}
			assert.GreaterOrEqual(t, admitted, tc.least)
			assert.LessOrEqual(t, admitted, tc.most)
		})
	}
}
