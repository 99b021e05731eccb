package site

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against taking a service for one of a single software version while streams of another may be taken up.
func TestSoleVersion(t *testing.T) {
	upstream := func(id, version string) Upstream { return Upstream{ID: id, Service: "scribe", Version: version} }
	old := []Entry{written(upstream("a", "v1")), written(upstream("b", "v1"))}
	d := Directory{}.With(start, old...)
	complete := d.WithComplete(start)
	mixed := start.Add(versionHistory)
	both := complete.With(mixed, written(upstream("c", "v2")))
	released := both.With(mixed.Add(time.Second), Entry{ID: "a", Gone: true}, Entry{ID: "b", Gone: true})
	for _, tc := range []struct {
		name string
		d    Directory
		at   time.Time
		want string
	}{
		{"one version", complete, mixed, "v1"},
		{"not seen for long enough", complete, mixed.Add(-time.Millisecond), ""},
		{"not complete", d, mixed, ""},
		{"two versions", both, mixed, ""},
		{"two versions for long", both, mixed.Add(time.Hour), ""},
		{"the old one is gone", released, mixed.Add(time.Second), ""},
		{"the old one is gone, nearly long enough", released, mixed.Add(time.Second + versionHistory - 1), ""},
		{"the old one is gone for long enough", released, mixed.Add(time.Second + versionHistory), "v2"},
		{"an upstream changes its version", complete.With(mixed, written(upstream("a", "v2")), written(upstream("b", "v2"))), mixed, ""},
		{"while the object service is down", complete.WithDown(mixed, true), mixed.Add(time.Hour), ""},
		{"just after it was down", complete.WithDown(mixed, true).WithDown(mixed, false), mixed, ""},
		{"long after it was down", complete.WithDown(mixed, true).WithDown(mixed, false), mixed.Add(versionHistory), "v1"},
		{"the same before a restart", d.WithHistory([]Departure{{"scribe", "v1", start}}).WithComplete(start), start, "v1"},
		{"the same before a restart, not complete yet", d.WithHistory([]Departure{{"scribe", "v1", start}}), mixed, ""},
		{"another before a restart", d.WithHistory([]Departure{{"scribe", "v0", start}}).WithComplete(start), start, ""},
		{"another long before a restart", d.WithHistory([]Departure{{"scribe", "v0", start}}).WithComplete(start), mixed, "v1"},
		{"another service's", complete.With(start, written(Upstream{ID: "x", Service: "desk", Version: "v7"})), mixed, "v1"},
	} {
		got, ok := tc.d.SoleVersion(tc.at, "scribe")
		require.Equal(t, tc.want != "", ok, tc.name)
		if ok {
			require.Equal(t, tc.want, got, tc.name)
		}
	}
	left := released.Departed(mixed.Add(time.Second))
	require.Equal(t, []Departure{{"scribe", "v1", mixed.Add(time.Second)}}, left)
	require.Empty(t, released.Departed(mixed.Add(time.Second+versionHistory)))
	_, ok := complete.SoleVersion(mixed, "unknown")
	require.False(t, ok)
}
