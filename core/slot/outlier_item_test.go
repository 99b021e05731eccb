package slot

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/core/site"
)

// Guards against items that fail at one outlier after another while sound upstreams have free slots: an item has only a
// few attempts that may fail.
func TestItemsGoToSoundUpstreams(t *testing.T) {
	p := NewPool(NewOptions())
	var list []site.Upstream
	for _, id := range []string{"u0", "u1", "u2", "u3", "u4", "u5", "u6", "u7"} {
		list = append(list, site.Upstream{ID: id, Service: "scribe", Zone: "z0", Slots: 8, Version: "v1"})
	}
	p.SetUpstreams(start, list)
	now := start
	ask := func(r Request, failing ...string) string {
		now = now.Add(10 * time.Millisecond)
		r.Order, r.Deadline = now.Add(5*time.Second), now.Add(200*time.Millisecond)
		granted := p.Ask(now, r).Granted
		require.Len(t, granted, 1)
		id := granted[0].Upstream.ID
		result := Served
		for _, f := range failing {
			if f == id {
				result = Errored
			}
		}
		p.Release(now.Add(time.Millisecond), r.Key, result)
		return id
	}
	for id := range uint64(12) { // u0 and u1 fail more than half of their requests
		r := online(id)
		r.Exclude = []string{"u2", "u3", "u4", "u5", "u6", "u7", []string{"u1", "u0"}[id%2]}
		ask(r, "u0", "u1")
	}
	require.Equal(t, 2, p.service("scribe").outliers)
	now = now.Add(time.Second)
	failed, before := 0, ""
	for id := range uint64(6) { // an item leaves out the upstream that failed it last
		r := item(100+id, time.Minute)
		if before != "" {
			r.Exclude = []string{before}
		}
		if got := ask(r, "u0", "u1"); got == "u0" || got == "u1" {
			failed, before = failed+1, got
		}
	}
	require.LessOrEqual(t, failed, 1)
}
