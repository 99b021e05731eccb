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
	d := Directory{}.WithUpstream(Upstream{ID: "a"}).WithUpstream(Upstream{ID: "b"})
	both := d.WithoutUpstream(start, "a").WithoutUpstream(start.Add(100*time.Millisecond), "b")
	for _, tc := range []struct {
		name string
		d    Directory
		at   time.Duration
		want []string
	}{
		{"just gone", d.WithoutUpstream(start, "a"), 700 * time.Millisecond, []string{"a?", "b"}},
		{"gone for longer", d.WithoutUpstream(start, "a"), 800 * time.Millisecond, []string{"b"}},
		{"half of a service's upstreams gone together", both, 1900 * time.Millisecond, []string{"a?", "b?"}},
		{"half of a service's upstreams gone for longer", both, 2050 * time.Millisecond, []string{"b?"}},
		{"leaving upstreams are not kept", d.WithUpstream(Upstream{ID: "a", Draining: true}).WithoutUpstream(start, "a"), 0, []string{"b"}},
		{"gone before the object service was down", d.WithoutUpstream(start, "a").WithDown(start.Add(400*time.Millisecond), true), time.Second, []string{"b"}},
		{"gone before the object service was down and recovered", d.WithoutUpstream(start, "a").WithDown(start.Add(time.Second), true).WithDown(start.Add(2*time.Second), false), 3 * time.Second, []string{"b"}},
		{"gone while the object service is down", d.WithDown(start, true).WithoutUpstream(start, "a"), time.Minute, []string{"a?", "b"}},
		{"object service just recovered", d.WithDown(start, true).WithDown(start, false).WithoutUpstream(start, "a"), 1900 * time.Millisecond, []string{"a?", "b"}},
		{"object service recovered for longer", d.WithDown(start, true).WithDown(start, false).WithoutUpstream(start, "a"), 2 * time.Second, []string{"b"}},
		{"entry written again", d.WithoutUpstream(start, "a").WithUpstream(Upstream{ID: "a"}), time.Minute, []string{"a", "b"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			list, _ := tc.d.Upstreams(start.Add(tc.at))
			require.Equal(t, tc.want, ids(list))
		})
	}
	_, next := d.WithoutUpstream(start, "a").Upstreams(start)
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
