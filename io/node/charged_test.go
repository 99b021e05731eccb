package node

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/io/forward"
	"mothcart/platform/fake"
)

// Guards against a request that loses its account on its way through another entry, and against callers that say what
// only another entry may say: that a limit doesn't apply.
func TestAccountsThroughAnotherEntry(t *testing.T) {
	runStrandedSite(t, func(s *strandedSite) {
		t := s.t
		s.configureAccounts(2, fake.Account{Name: "press", Keys: []string{"key-b"}, Rate: 1, Burst: 1}, fake.Account{Name: "desk team", Keys: []string{"key-a"}})
		time.Sleep(time.Second)
		s.cut(1)
		sent := 0
		count := func(n int, h http.Header, account string) map[int]int {
			statuses := make(map[int]int)
			for range n {
				sent++
				id := fmt.Sprint("q", sent)
				r := s.callWith(t.Context(), 1, http.MethodPost, "/ask/stream/1", id, "", h)
				statuses[r.status]++
				if r.status == http.StatusOK {
					s.requireAccount(id, account)
				}
				time.Sleep(100 * time.Millisecond)
			}
			return statuses
		}
		count(int(contact/(100*time.Millisecond)), keyOf("key-a"), "desk team")
		require.Greater(t, count(10, keyOf("key-a"), "desk team")[http.StatusOK], 5)
		usual := count(30, keyOf("key-b"), "press")
		require.NotZero(t, usual[http.StatusTooManyRequests], "%v", usual)
		time.Sleep(time.Minute)
		h := keyOf("key-b")
		h.Set(forward.HeaderCarriedCharged, "1")
		claimed := count(30, h, "press")
		require.InDelta(t, usual[http.StatusTooManyRequests], claimed[http.StatusTooManyRequests], 3, "%v and %v", usual, claimed)
	})
}
