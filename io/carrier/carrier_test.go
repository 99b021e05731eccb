package carrier

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mothcart/core/site"
	"mothcart/core/slot"
)

var errRefused = errors.New("connection refused")

// testLinks are links of a node with its own clock, whose connections open or fail as a test says.
type testLinks struct {
	*Links
	now      time.Time
	stopping bool
	// reachable holds the upstreams to which connections open.
	reachable map[string]bool
}

// newLinks returns links of the node 10.1.0.9 with upstreams u0 to u8, all within reach, and a number of other entries.
func newLinks(t *testing.T, entries int) *testLinks {
	l := &testLinks{now: time.Unix(1000, 0), reachable: map[string]bool{}}
	var named []string
	for n := range entries {
		named = append(named, fmt.Sprintf("10.1.0.%d:7000", n))
	}
	l.Links = NewLinks(Options{
		Dial: func(_ context.Context, _, address string) (net.Conn, error) {
			if !l.reachable[address] {
				return nil, errRefused
			}
			near, far := net.Pipe()
			_ = far.Close()
			return near, nil
		},
		Port: 7001, Own: "10.1.0.9", Zone: "z1", Entries: func() []string { return append(named, "10.1.0.9:7000") },
		Stopping: func() bool { return l.stopping }, Now: func() time.Time { return l.now },
		Log: zerolog.Nop(), Registry: metrics.NewRegistry(),
	})
	var list []site.Upstream
	for n := range 9 {
		address := fmt.Sprintf("u%d:80", n)
		l.reachable[address] = true
		list = append(list, site.Upstream{ID: address, Address: address})
	}
	l.SetUpstreams(list)
	t.Cleanup(l.Close)
	return l
}

// dial opens a connection to an upstream.
func (l *testLinks) dial(t *testing.T, n int) {
	if conn, err := l.Dial(t.Context(), "tcp", fmt.Sprintf("u%d:80", n)); err == nil {
		require.NoError(t, conn.Close())
	}
}

// use sends a request through a carrier, with the outcome and the headers of its answer.
func (l *testLinks) use(address string, result slot.Result, headers ...string) {
	h := http.Header{}
	for i := 0; i+1 < len(headers); i += 2 {
		h.Set(headers[i], headers[i+1])
	}
	l.CarrierEnded(address, result)
	l.CarrierAnswered(address, h)
}

// Guards against requests of a node without links that go again and again to an entry that can't carry them, all to one, or
// to another zone while its own has room.
func TestChoiceOfACarrier(t *testing.T) {
	const a, b, c = "10.1.0.0:7001", "10.1.0.1:7001", "10.1.0.2:7001"
	for _, tc := range []struct {
		name    string
		entries int
		before  func(l *testLinks)
		after   time.Duration
		exclude []string
		// want are the possible choices, none if empty.
		want []string
	}{
		{"nothing is known", 3, func(*testLinks) {}, 0, nil, []string{a, b, c}},
		{"excluded", 3, func(*testLinks) {}, 0, []string{a, c}, []string{b}},
		{"all excluded", 3, func(*testLinks) {}, 0, []string{a, b, c}, nil},
		{"only this node", 0, func(*testLinks) {}, 0, nil, nil},
		{"one has served", 3, func(l *testLinks) { l.use(b, slot.Served) }, 0, nil, []string{b}},
		{"one has failed", 2, func(l *testLinks) { l.use(a, slot.Unreachable) }, 0, nil, []string{b}},
		{"one has failed a while ago", 2, func(l *testLinks) { l.use(a, slot.Unreachable) }, carrierPause, nil, []string{a, b}},
		{"one has failed again", 2, func(l *testLinks) {
			l.use(a, slot.Unreachable)
			l.use(a, slot.Unreachable)
		}, carrierPause, nil, []string{b}},
		{"one stops", 2, func(l *testLinks) { l.use(a, slot.Full, HeaderUnable, ReasonStopping) }, stoppingPause - 1, nil, []string{b}},
		{"one has stopped, and starts again", 2, func(l *testLinks) { l.use(a, slot.Full, HeaderUnable, ReasonStopping) }, stoppingPause, nil, []string{a, b}},
		{"the only one stops", 1, func(l *testLinks) { l.use(a, slot.Full, HeaderUnable, ReasonStopping) }, 0, nil, []string{a}},
		{"no other has links", 1, func(l *testLinks) { l.use(a, slot.Full, HeaderUnable, reasonLinksLost) }, 0, nil, nil},
		{"no other had links a while ago", 1, func(l *testLinks) { l.use(a, slot.Full, HeaderUnable, reasonLinksLost) }, carrierPause, nil, []string{a}},
		{"own zone", 2, func(l *testLinks) {
			l.use(a, slot.Served, HeaderZone, "z2")
			l.use(b, slot.Served, HeaderZone, "z1")
		}, 0, nil, []string{b}},
		{"own zone stops", 2, func(l *testLinks) {
			l.use(a, slot.Served, HeaderZone, "z2")
			l.use(b, slot.Full, HeaderZone, "z1", HeaderUnable, ReasonStopping)
		}, 0, nil, []string{a}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newLinks(t, tc.entries)
			if address, ok := l.Carrier(nil); ok { // they have been named
				l.CarrierEnded(address, slot.Abandoned)
			}
			tc.before(l)
			l.now = l.now.Add(tc.after)
			seen := map[string]bool{}
			for range 50 {
				if address, ok := l.Carrier(tc.exclude); ok {
					seen[address] = true
					l.CarrierEnded(address, slot.Abandoned)
				}
			}
			require.Len(t, seen, len(tc.want))
			for _, address := range tc.want {
				require.True(t, seen[address], address)
			}
		})
	}
}

// Guards against one carrier that gets all requests of a node at once, since it is the best known or the only near one.
func TestCarriersShareTheLoad(t *testing.T) {
	l := newLinks(t, 4)
	address, _ := l.Carrier(nil)
	l.use(address, slot.Served, HeaderZone, "z1")
	inUse := map[string]int{}
	for range 40 {
		a, ok := l.Carrier(nil)
		require.True(t, ok)
		inUse[a]++
	}
	for a, n := range inUse {
		require.InDelta(t, 10, n, farCost/2, a)
	}
}

// Guards against a carrier that takes what it can't send, and against one that doesn't say why it refuses.
func TestCarrierRefusesAtOnce(t *testing.T) {
	for _, tc := range []struct {
		name, reason string
		before       func(t *testing.T, l *testLinks)
	}{
		{"sound", "", func(*testing.T, *testLinks) {}},
		{"links lost", reasonLinksLost, func(t *testing.T, l *testLinks) {
			clear(l.reachable)
			for n := range 5 {
				l.dial(t, n)
			}
		}},
		{"stopping", ReasonStopping, func(_ *testing.T, l *testLinks) { l.stopping = true }},
		{"busy", reasonBusy, func(_ *testing.T, l *testLinks) {
			for range maxCarried {
				l.carried <- struct{}{}
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newLinks(t, 1)
			tc.before(t, l)
			ran := false
			w := httptest.NewRecorder()
			l.Handler(func(http.ResponseWriter, *http.Request) { ran = true }).ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", nil))
			require.Equal(t, tc.reason, w.Header().Get(HeaderUnable))
			require.Equal(t, "z1", w.Header().Get(HeaderZone))
			require.Equal(t, tc.reason == "", ran)
			if tc.reason != "" {
				require.Equal(t, http.StatusServiceUnavailable, w.Code)
				require.Contains(t, w.Body.String(), "not run")
			}
		})
	}
}

// Guards against failures of a node's links that count as failures of upstreams, also the first one of them, and against a
// failed upstream that is reported late or not at all.
func TestVerdictOnAFailure(t *testing.T) {
	for _, tc := range []struct {
		name  string
		after func(t *testing.T, l *testLinks)
		// want is the verdict that the upstream has failed; told reports that there is one.
		want, told bool
	}{
		{"nothing further is known", func(*testing.T, *testLinks) {}, false, false},
		{"another upstream is reached", func(t *testing.T, l *testLinks) { l.dial(t, 1) }, true, true},
		{"another one fails too", func(t *testing.T, l *testLinks) {
			delete(l.reachable, "u1:80")
			l.dial(t, 1)
		}, false, true},
		{"the same one fails again", func(t *testing.T, l *testLinks) { l.dial(t, 0) }, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newLinks(t, 1)
			delete(l.reachable, "u0:80")
			l.dial(t, 0)
			verdicts := make(chan bool, 2)
			l.Judge(func(failed bool) { verdicts <- failed })
			tc.after(t, l)
			select {
			case failed := <-verdicts:
				require.True(t, tc.told)
				require.Equal(t, tc.want, failed)
			default:
				require.False(t, tc.told)
				require.True(t, <-verdicts, "after verdictTime the upstream has failed")
			}
			require.Empty(t, verdicts, "one verdict")
		})
	}
	t.Run("links are doubtful already", func(t *testing.T) {
		l := newLinks(t, 1)
		clear(l.reachable)
		l.dial(t, 0)
		l.dial(t, 1)
		verdicts := make(chan bool, 2)
		l.Judge(func(failed bool) { verdicts <- failed })
		require.False(t, <-verdicts)
	})
}

// Guards against failures that are judged more than once, or never, while connections end beside each other.
func TestVerdictsBesideEachOther(t *testing.T) {
	l := newLinks(t, 1)
	const failures = 200
	verdicts := make(chan bool, 2*failures)
	var all sync.WaitGroup
	for i := range failures {
		all.Go(func() { l.Judge(func(failed bool) { verdicts <- failed }) })
		all.Go(func() { l.dial(t, i%9) })
	}
	all.Wait()
	l.dial(t, 1)
	require.Len(t, verdicts, failures)
}
