package slot

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Notices of ended requests are lost in any order. After the owners' inventories, the pool holds exactly their open
// requests, and no slot is free while a request waits.
func TestReconcileAfterLostNotices(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n, slots := rapid.IntRange(1, 3).Draw(rt, "upstreams"), rapid.IntRange(1, 3).Draw(rt, "slots")
		p := newPool(n, slots)
		owners := []string{"e1", "e2"}
		open := map[Key]bool{}
		now := start
		for id := range uint64(rapid.IntRange(1, 30).Draw(rt, "requests")) {
			now = now.Add(time.Millisecond)
			r := online(id)
			r.Key.Owner = rapid.SampledFrom(owners).Draw(rt, "owner")
			r.Deadline = now.Add(time.Second)
			for _, refusal := range p.Ask(now, r).Refused {
				require.Equal(rt, r.Key, refusal.Request.Key)
			}
			if p.has(r.Key) {
				open[r.Key] = true
			}
			k := Key{Owner: rapid.SampledFrom(owners).Draw(rt, "ending owner"), ID: rapid.Uint64Range(0, id).Draw(rt, "ending")}
			if !open[k] {
				continue
			}
			delete(open, k)
			if rapid.Bool().Draw(rt, "noticed") {
				p.Release(now, k, Served)
			}
		}
		for _, owner := range owners {
			p.Reconcile(now, owner, func(id uint64) bool { return open[Key{Owner: owner, ID: id}] })
		}
		l := p.Load(now, "scribe")
		require.Equal(rt, len(open), l.Online+l.WaitingOnline)
		for k := range open {
			require.True(rt, p.has(k))
		}
		if l.WaitingOnline > 0 {
			require.Equal(rt, n*slots, l.Online, "no slot is free while a request waits")
		}
	})
}

// An upstream on trial gets one request at a time. A slot of a request that ended without notice would keep it
// from getting any, and so from ever leaving the trial.
func TestReconcileEndsTrialBlockedByLostNotice(t *testing.T) {
	p := newPool(1, 6)
	lost, failing := online(1), []Request{online(2), online(3)}
	p.Adopt(start, lost, "u0")
	for _, r := range failing {
		require.Len(t, p.Ask(start, r).Granted, 1)
	}
	for _, r := range failing {
		p.Release(start, r.Key, Broken)
	}
	later := start.Add(time.Minute) // after any pause
	r := online(4)
	r.Order, r.Deadline = later.Add(5*time.Second), later.Add(time.Second)
	require.Empty(t, p.Ask(later, r).Granted)
	dropped, out := p.Reconcile(later, "e1", func(id uint64) bool { return id == r.Key.ID })
	require.Equal(t, []Key{lost.Key}, dropped)
	require.Len(t, out.Granted, 1)
	p.Release(later, r.Key, Served)
	require.Equal(t, 6, p.service("scribe").index.freeSlots(later, p.opts))
}
