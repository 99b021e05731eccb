package node

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/platform/fake"
)

// smallValue is the size of the largest object of a platform that stores small ones, in bytes. An item's text has 340.
const smallValue = 4 << 10

// Guards against jobs of which no result is listed any more, since those that piled up in an outage are larger together than an
// object of this platform may be.
func TestResultsThatPileUpInAnOutageAreListed(t *testing.T) {
	for _, items := range []int{10, 60} {
		t.Run(fmt.Sprintf("%d items", items), func(t *testing.T) {
			(&testSite{ownRuns: 64, valueBytes: smallValue}).run(t, func(t *testing.T, s *testSite) {
				require.Equal(t, http.StatusAccepted, s.submitJob(1, "j1", items).status)
				s.objects.SetFault(fake.Fault{Down: map[string]bool{"": true}})
				time.Sleep(4500 * time.Millisecond)
				s.objects.SetFault(fake.Fault{})
				s.awaitJob(1, "j1", 10*time.Second)
				require.Zero(t, s.objects.TooLarge())
			})
		})
	}
}

// Guards against jobs that are neither accepted nor refused, since their items are larger than an object of this platform may be.
func TestJobsOfEachSizeAreAcceptedOrRefusedForGood(t *testing.T) {
	for _, tc := range []struct {
		name  string
		items int
		body  string
		want  int
	}{
		{"small items", 2, "draft", http.StatusAccepted},
		{"items that fill many objects", 40, strings.Repeat("x", 900), http.StatusAccepted},
		{"an item that no object holds", 2, strings.Repeat("x", smallValue), http.StatusRequestEntityTooLarge},
	} {
		t.Run(tc.name, func(t *testing.T) {
			(&testSite{ownRuns: 64, valueBytes: smallValue}).run(t, func(t *testing.T, s *testSite) {
				r := s.submitBodies(1, "j1", tc.items, []byte(tc.body))
				require.Equal(t, tc.want, r.status, r.body)
				require.Less(t, r.took, time.Second)
				if tc.want == http.StatusAccepted {
					s.awaitJob(1, "j1", 15*time.Second)
				}
				require.Zero(t, s.objects.TooLarge())
			})
		})
	}
}
