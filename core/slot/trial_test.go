package slot

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a sound upstream that is left out for good after two failures: requests come one after another, others
// have free slots, and no batch item tries it.
func TestUpstreamOnTrialIsTriedWithoutLoad(t *testing.T) {
	stream := func(r Request) Request { r.Stream = "s"; return r }
	repeatable := func(r Request) Request { r.Repeatable = true; return r }
	continued := func(r Request) Request { r.Stream, r.Continues, r.Version = "s", true, "v1"; return r }
	once := func(r Request) Request { return r }
	for _, tc := range []struct {
		name string
		// kind makes a request of a kind; result is that of requests at the upstream.
		kind   func(Request) Request
		result Result
		// least and most bound the requests that the upstream gets in a minute, of 600.
		least, most int
	}{
		{"streams, sound", stream, Served, 150, 300},
		{"calls that may run again, sound", repeatable, Served, 150, 300},
		{"streams, still broken", stream, Broken, 8, 13},
		{"calls that may run again, unreachable", repeatable, Unreachable, 8, 13},
		{"requests that run once", once, Served, 0, 0},
		{"streams that go on", continued, Served, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			list := upstreams(2, 2)
			for i := range list {
				list[i].Version, list[i].Zone = "v1", "z0"
			}
			p := NewPool(NewOptions())
			p.SetUpstreams(start, list)
			for i := range uint64(2) {
				r := online(i)
				r.Exclude = []string{"u1"}
				p.Ask(start, r)
				p.Release(start, r.Key, Broken)
			}
			got := 0
			for i := range uint64(600) {
				now := start.Add(time.Duration(i) * 100 * time.Millisecond)
				r := tc.kind(online(10 + i))
				r.Order, r.Deadline = now.Add(5*time.Second), now.Add(200*time.Millisecond)
				granted := p.Ask(now, r).Granted
				require.Len(t, granted, 1)
				result := Served
				if granted[0].Upstream.ID == "u0" {
					got++
					result = tc.result
				}
				p.Release(now.Add(50*time.Millisecond), r.Key, result)
			}
			require.GreaterOrEqual(t, got, tc.least)
			require.LessOrEqual(t, got, tc.most)
		})
	}
}

// Guards against items that wait for good, while others have free slots, because each of their tries goes to an upstream on
// trial that refuses it.
func TestItemsLeaveAnUpstreamOnTrialThatRefuses(t *testing.T) {
	list := upstreams(2, 2)
	p := NewPool(NewOptions())
	p.SetUpstreams(start, list)
	ask := func(now time.Time, id uint64, exclude ...string) string {
		r := online(id)
		r.Batch, r.Exclude, r.Order, r.Deadline = true, exclude, start, time.Time{}
		granted := p.Ask(now, r).Granted
		require.Len(t, granted, 1)
		return granted[0].Upstream.ID
	}
	for i := range uint64(2) {
		require.Equal(t, "u0", ask(start, i, "u1"))
		p.Release(start, online(i).Key, Broken)
	}
	refused := 0
	for i := range uint64(100) {
		now := start.Add(time.Second + time.Duration(i)*100*time.Millisecond)
		if ask(now, 10+i) == "u1" {
			p.Release(now, online(10+i).Key, Served)
			continue
		}
		refused++
		p.Release(now, online(10+i).Key, Full)
	}
	require.Equal(t, 1, refused)
	now := start.Add(20 * time.Second)
	require.Equal(t, "u0", ask(now, 200, "u1"), "it is still tried if it is the only one")
	p.Release(now, online(200).Key, Broken)
	require.Equal(t, "u0", ask(now.Add(5*time.Second), 201), "it is tried first again after it has done something else")
}
