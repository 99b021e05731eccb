package home

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mothcart/core/batch"
	"mothcart/core/poison"
	"mothcart/core/site"
	"mothcart/core/slot"
	"mothcart/io/forward"
	"mothcart/io/link"
	"mothcart/platform/fake"
)

const (
	// largestJob is the number of items of the largest job.
	largestJob = 50_000
	// rigSlots is the number of items that run at the same time.
	rigSlots = 40
)

// attemptRig is a home whose items run at another node, which answers when it is told to.
type attemptRig struct {
	home  *Home
	calls chan link.Incoming
	// runs holds the runs of all items, whose IDs are unique.
	runs map[string]*run
	stop func()
}

// newAttemptRig returns a home with a number of open items, of which as many run as there are slots. Its clock stands still, so
// that nothing that is done at intervals counts as the work of an event.
func newAttemptRig(tb testing.TB, items int) *attemptRig {
	ctx, cancel := context.WithCancel(tb.Context())
	rig := &attemptRig{calls: make(chan link.Incoming, 1024), runs: make(map[string]*run)}
	network := fake.NewNetwork()
	l, err := network.Listen(ctx, "10.1.0.1:7660")
	require.NoError(tb, err)
	server := link.NewServer(l, link.Options{Handle: func(_ *link.Conn, in link.Incoming) {
		if in.Method == methodRun {
			rig.calls <- in
		}
	}})
	dial := func(ctx context.Context, _, address string) (net.Conn, error) {
		return network.Dial(ctx, "10.2.0.1", address)
	}
	conn, err := link.Dial(ctx, dial, "10.1.0.1:7660", link.Options{Handle: func(*link.Conn, link.Incoming) {}})
	require.NoError(tb, err)
	rig.stop = func() {
		rig.home.pool.Close()
		cancel()
		conn.Close()
		server.Close()
	}

	start := time.Unix(1_700_000_000, 0)
	now := func() time.Time { return start }
	cfg := site.NewConfig(1, []site.Route{{
		Name: "jobs", Host: "h.example", Prefix: "/", Kind: site.Batch, Targets: []site.Target{{Service: "s", Weight: 1}}, Completion: time.Hour,
	}}, nil, site.Limits{})
	h := &Home{
		ctx: ctx, jobs: map[string]*job{}, reserved: map[string]reservation{}, loading: map[string]*loading{}, hintRead: true, remoteRuns: map[uint64]*remoteRun{},
		runners: map[string]*runnerNode{"n1": {conn: conn, name: "n1", stopped: make(chan struct{})}},
		opts: Options{
			Config: func() site.Config { return cfg }, Now: now, TimeOfDay: now, Log: zerolog.Nop(), TextBytes: 64 << 20,
			Runner: &Runner{opts: RunnerOptions{Refuses: func(site.Upstream) bool { return true }, Codec: forward.HeaderCodec{
				SharedParts: func(http.Header) []poison.Part { return nil }, Size: func(http.Header) forward.Size { return forward.Size{} },
			}}},
		},
	}
	h.metrics.runs, h.metrics.preemptions, h.metrics.textsDropped = metrics.NewCounter(), metrics.NewCounter(), metrics.NewCounter()
	h.metrics.corrected = metrics.NewCounter()
	options := slot.NewOptions().WithConfig(func(string) (site.Account, bool) { return site.Account{}, false }, func(string) int { return 4000 })
	h.pool = NewSlotPool(options, now, func([]poison.Finding) {}, func([]slot.LimitChange) {})
	var upstreams []site.Upstream
	for i := range rigSlots / 4 {
		upstreams = append(upstreams, site.Upstream{ID: fmt.Sprint("u", i), Incarnation: 1, Service: "s", Slots: 4, Version: "v1", Address: fmt.Sprintf("10.3.0.%d:80", i)})
	}
	h.pool.SetUpstreams(upstreams)
	rig.home = h
	for first := 0; first < items; first += largestJob {
		rig.addJob(fmt.Sprint("j", first/largestJob), min(largestJob, items-first))
	}
	return rig
}

// addJob adds a job and asks for slots for its items.
func (rig *attemptRig) addJob(id string, items int) {
	h, now := rig.home, rig.home.opts.Now()
	of := batch.Job{ID: id, Host: "h.example", Path: "/lot/1", AcceptedAt: now}
	for i := range items {
		of.Items = append(of.Items, batch.Item{ID: fmt.Sprint(id, "-", i), Tokens: 450})
	}
	j := &job{log: batch.NewLog(of), changed: make(chan struct{}), runs: make(map[string]*run), acceptedAt: now, dueAt: now.Add(time.Hour)}
	h.jobs[id] = j
	for _, item := range of.Items {
		r := newRun(&h.texts, id, item)
		j.runs[item.ID], rig.runs[item.ID] = r, r
		h.askSlot(r)
	}
}

// endAttempt makes an attempt end before its item is complete. If it was preempted, the item asks for a slot again at once.
func (rig *attemptRig) endAttempt(tb testing.TB, preempted bool) {
	in := <-rig.calls
	var c itemCall
	require.NoError(tb, in.Decode(&c))
	if preempted {
		rig.home.preempt(rig.runs[c.ID])
	}
	in.Answer(itemOutcome{Result: slot.Abandoned, Status: http.StatusOK, Events: 1, Text: "the answer so far", LastEventID: "1", Err: "broken off"})
}

// stepEvents are the events whose steps .ci/steps counts.
var stepEvents = []struct {
	name  string
	event func(t *testing.T, rig *attemptRig)
}{
	{"endedAttempt", func(t *testing.T, rig *attemptRig) {
		rig.endAttempt(t, false)
		time.Sleep(retryPause + time.Millisecond) // the item asks for a slot again
	}},
	{"inventory", func(_ *testing.T, rig *attemptRig) {
		rig.home.reconcile(&session{owner: "e1/1/1"}, inventoryNotice{IDs: []uint64{1, 2, 3}})
	}},
	{"load", func(_ *testing.T, rig *attemptRig) { rig.home.pool.Load("s") }},
}

// Guards against events of which each costs the more the more items are open. The script .ci/steps runs this test with numbers of
// items and of events, and compares how many statements are executed.
func TestStepsOfEvents(t *testing.T) {
	number := func(name string, otherwise int) int {
		if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
			return n
		}
		return otherwise
	}
	items, events := number("STEPS_ITEMS", 100), number("STEPS_EVENTS", 50)
	for _, tc := range stepEvents {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rig := newAttemptRig(t, items)
				synctest.Wait()
				require.Len(t, rig.calls, rigSlots)
				for range events {
					tc.event(t, rig)
					synctest.Wait()
				}
				rig.stop()
				time.Sleep(time.Second) // the goroutines end
			})
		})
	}
}

// BenchmarkEndedAttempt measures what the end of an attempt costs, with the messages to and from the node that makes it.
func BenchmarkEndedAttempt(b *testing.B) {
	for _, items := range []int{100, 1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("items=%d", items), func(b *testing.B) {
			rig := newAttemptRig(b, items)
			for b.Loop() {
				rig.endAttempt(b, true)
			}
			rig.stop()
		})
	}
}
