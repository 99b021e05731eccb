package site

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestMatchTakesTheLongestPrefixOfTheHost(t *testing.T) {
	cfg := NewConfig(1, []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/"},
	}, nil, Limits{})
	for _, tc := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.Example:8080", "/x/yy", "short"},
		{"a.example", "/x", ""},
		{"b.example", "/x/y/", "other"},
		{"c.example", "/x/", ""},
	} {
		r, ok := cfg.Match(tc.host, tc.path)
		require.Equal(t, tc.want != "", ok, tc)
		require.Equal(t, tc.want, r.Name, tc)
	}
}

func TestServiceFollowsWeights(t *testing.T) {
	r := Route{Targets: []Target{{"a", 90}, {"b", 10}, {"c", 0}}}
	counts := map[string]int{}
	for i := range uint64(100) {
		counts[r.Service(i)]++
	}
	require.Equal(t, map[string]int{"a": 90, "b": 10}, counts)
	require.Equal(t, "a", Route{Targets: []Target{{"a", 0}}}.Service(7))
}

var start = time.Unix(1000, 0)

func ids(list []Upstream) []string {
	var out []string
	for _, u := range list {
		id := u.ID
		if u.Doubtful {
			id += "?"
		}
		out = append(out, id)
	}
	return out
}

// Entries disappear when upstreams end, but also in outages of the object service, during which upstreams
// that still run must stay usable.
func TestDirectoryKeepsMissingUpstreams(t *testing.T) {
	d := Directory{}.With(start, written(Upstream{ID: "a"})).With(start, written(Upstream{ID: "b"}))
	both := d.With(start, Entry{ID: "a", Gone: true}).With(start.Add(100*time.Millisecond), Entry{ID: "b", Gone: true})
	for _, tc := range []struct {
		name string
		d    Directory
		at   time.Duration
		want []string
	}{
		{"just gone", d.With(start, Entry{ID: "a", Gone: true}), 700 * time.Millisecond, []string{"a?", "b"}},
		{"gone for longer", d.With(start, Entry{ID: "a", Gone: true}), 800 * time.Millisecond, []string{"b"}},
		{"half of a service's upstreams gone together", both, 1900 * time.Millisecond, []string{"a?", "b?"}},
		{"half of a service's upstreams gone for longer", both, 2050 * time.Millisecond, []string{"b?"}},
		{"leaving upstreams are not kept", d.With(start, written(Upstream{ID: "a", Draining: true})).With(start, Entry{ID: "a", Gone: true}), 0, []string{"b"}},
		{"gone before the object service was down", d.With(start, Entry{ID: "a", Gone: true}).WithDown(start.Add(400*time.Millisecond), true), time.Second, []string{"b"}},
		{"gone before the object service was down and recovered", d.With(start, Entry{ID: "a", Gone: true}).WithDown(start.Add(time.Second), true).WithDown(start.Add(2*time.Second), false), 3 * time.Second, []string{"b"}},
		{"gone while the object service is down", d.WithDown(start, true).With(start, Entry{ID: "a", Gone: true}), time.Minute, []string{"a?", "b"}},
		{"object service just recovered", d.WithDown(start, true).WithDown(start, false).With(start, Entry{ID: "a", Gone: true}), 1900 * time.Millisecond, []string{"a?", "b"}},
		{"object service recovered for longer", d.WithDown(start, true).WithDown(start, false).With(start, Entry{ID: "a", Gone: true}), 2 * time.Second, []string{"b"}},
		{"entry written again", d.With(start, Entry{ID: "a", Gone: true}).With(start, written(Upstream{ID: "a"})), time.Minute, []string{"a", "b"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			list, _ := tc.d.Upstreams(start.Add(tc.at))
			require.Equal(t, tc.want, ids(list))
		})
	}
	_, next := d.With(start, Entry{ID: "a", Gone: true}).Upstreams(start)
	require.Equal(t, start.Add(800*time.Millisecond), next)
}

func TestWaited(t *testing.T) {
	r := Route{Timeout: 5 * time.Second}
	for _, tc := range []struct {
		name              string
		remaining, waited time.Duration
	}{
		{"first attempt", 5 * time.Second, 0},
		{"retried after a refusal", 4600 * time.Millisecond, 400 * time.Millisecond},
		{"a caller with a short deadline", time.Second, 0},
		{"more time than the route has", 8 * time.Second, 0},
		{"no time given", 0, 0},
	} {
		assert.Equal(t, tc.waited, r.Waited(tc.remaining), tc.name)
	}
}

func written(u Upstream) Entry { return Entry{ID: u.ID, Upstream: u} }

func TestChangesLeaveOutRepeatedEntries(t *testing.T) {
	ready, draining := Upstream{ID: "a", Slots: 2}, Upstream{ID: "a", Slots: 2, Draining: true}
	gone := Entry{ID: "a", Gone: true}
	d := Directory{}.With(start, written(ready))
	for _, tc := range []struct {
		name    string
		entries []Entry
		want    []int
	}{
		{"the same again", []Entry{written(ready), written(ready)}, nil},
		{"changed", []Entry{written(draining)}, []int{0}},
		{"changed and changed back", []Entry{written(draining), written(ready)}, []int{0, 1}},
		{"gone twice", []Entry{gone, gone}, []int{0}},
		{"gone and back", []Entry{gone, written(ready)}, []int{0, 1}},
		{"unknown one gone", []Entry{{ID: "b", Gone: true}}, nil},
		{"new one", []Entry{written(Upstream{ID: "b"})}, []int{0}},
	} {
		require.Equal(t, tc.want, d.Changes(tc.entries), tc.name)
	}
}

func TestLeavingUpstreamsAreDraining(t *testing.T) {
	key := Key{ID: "a", Incarnation: 1}
	first, second := Upstream{ID: "a", Incarnation: 1}, Upstream{ID: "a", Incarnation: 2}
	d, fresh := Directory{}.With(start, written(first)).WithLeaving(start, []Key{key, key})
	require.Equal(t, []Key{key}, fresh)
	_, fresh = d.WithLeaving(start, []Key{key})
	require.Empty(t, fresh)
	draining := func(d Directory, at time.Duration) bool {
		list, _ := d.Upstreams(start.Add(at))
		return len(list) == 1 && list[0].Draining
	}
	require.True(t, draining(d, 0))
	require.True(t, draining(d.With(start, written(first)), 0), "entry written again")
	require.False(t, draining(d.With(start, written(second)), 0), "another incarnation")
	absent := d.With(start, Entry{ID: "a", Gone: true})
	list, _ := absent.Upstreams(start)
	require.Empty(t, list, "a leaving upstream is not used without its entry")
	other := []Key{{ID: "b"}}
	still, _ := absent.WithLeaving(start.Add(forgetAfter), other)
	require.True(t, draining(still.With(start, written(first)), 0), "a late entry of the same run")
	forgotten, _ := absent.WithLeaving(start.Add(forgetAfter+time.Second), other)
	require.False(t, draining(forgotten.With(start, written(first)), 0))
}
