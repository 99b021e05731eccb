package node

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/platform/fake"
)

// Guards against an origin that is remembered for the upstream a stream was first granted, not for where it began.
func TestOriginIsWhereTheFirstEventCameFrom(t *testing.T) {
	for _, tc := range []struct {
		name string
		// silent is how long the first upstream sends nothing; while it lasts only the other version has slots.
		silent time.Duration
	}{
		{"the first upstream goes on", 320 * time.Millisecond},
		{"another version begins the stream", time.Minute},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				for _, e := range s.engines[1:] {
					e.SetState("draining")
				}
				time.Sleep(time.Second)
				s.engines[0].Silence(tc.silent)
				done := s.stream(1, "/ask/stream/1", "r1")
				time.Sleep(100 * time.Millisecond)
				s.addEngine(4, "v2")
				s.addEngine(5, "v2")
				for _, e := range s.engines {
					e.SetFaults(fake.EngineFaults{BreakAfter: 5})
				}
				r := <-done
				require.False(t, r.complete)
				last := strings.Count(r.body, "\n\n")
				require.Positive(t, last)
				for _, e := range s.engines {
					e.SetFaults(fake.EngineFaults{})
					e.Silence(0)
					e.SetState("ready")
				}
				time.Sleep(3 * time.Second)
				back := s.takeUp(2, "s1", "r1", last)
				require.Equal(t, http.StatusOK, back.status)
				require.Equal(t, rest("s1", last), fake.TextOf(back.body))
				require.Len(t, s.versionsOf("r1", "s1"), 1)
			})
		})
	}
}
