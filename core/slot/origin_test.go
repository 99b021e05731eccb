package slot

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/core/site"
)

// Guards against streams that last longer than their origin is remembered.
func TestOriginIsRecordedAtTheEndOfAnAttemptToo(t *testing.T) {
	for _, tc := range []struct {
		name string
		end  func(p *Pool, r Request)
	}{
		{"released", func(p *Pool, r Request) { p.Release(start.Add(time.Minute), r.Key, Broken) }},
		{"its node is lost", func(p *Pool, r Request) { p.DropOwner(start.Add(time.Minute), r.Key.Owner) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var began []string
			opts := NewOptions()
			opts.Began = func(stream, version string) { began = append(began, stream+" "+version) }
			p := NewPool(opts)
			p.SetUpstreams(start, []site.Upstream{{ID: "a", Service: "scribe", Version: "v1", Slots: 2}})
			r := online(1)
			r.Stream = "s1"
			require.Len(t, p.Ask(start, r).Granted, 1)
			tc.end(p, r)
			require.Equal(t, []string{"s1 v1", "s1 v1"}, began)
		})
	}
}

// Guards against guesses of the pool about a stream of which nobody knows where it began.
func TestPoolBindsWhatContinuesAStream(t *testing.T) {
	upstreams := []site.Upstream{{ID: "a", Service: "scribe", Version: "v1", Slots: 2}, {ID: "b", Service: "scribe", Version: "v2", Slots: 2}}
	for _, tc := range []struct {
		name     string
		resumes  string
		version  string
		sole     string
		upstream string
		boundBy  BoundBy
		reason   Reason
	}{
		{"known to the node that asks", "known", "v2", "", "b", "", ""},
		{"known to the pool", "known", "", "v2", "a", BoundByPool, ""},
		{"the service has had one version", "unknown", "", "v2", "b", BoundBySoleVersion, ""},
		{"nobody knows", "unknown", "", "", "", "", ReasonUnknownVersion},
		{"the request can't tell", "", "", "", "", "", ReasonUnknownVersion},
		{"its version has left", "known", "v0", "", "", "", ReasonNoVersion},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := NewPool(NewOptions().WithOrigins(func(string, string) {}, func(stream string) (string, bool) { return "v1", stream == "known" },
				func(time.Time, string) (string, bool) { return tc.sole, tc.sole != "" }))
			p.SetUpstreams(start, upstreams)
			r := online(1)
			r.Continues, r.Resumes, r.Version = true, tc.resumes, tc.version
			out := p.Ask(start, r)
			if tc.reason != "" {
				require.Equal(t, tc.reason, out.Refused[0].Reason)
				require.Empty(t, p.Grants())
				return
			}
			require.Equal(t, tc.upstream, out.Granted[0].Upstream.ID)
			require.Equal(t, tc.boundBy, out.Granted[0].Request.BoundBy)
		})
	}
}
