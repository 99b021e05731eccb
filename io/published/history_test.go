package published

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mothcart/core/config"
	"mothcart/core/publication"
	fakestore "mothcart/fake/store"
)

// Kinds of steps in a history.
const (
	stepRace = iota
	stepOutage
	stepLostAnswers
	stepPartition
	stepRestart
	stepStale
	stepSleep
	stepKinds
)

const historyVMs = 4

// step is one step of a history; its kind determines which of the other fields apply.
type step struct {
	kind int
	vm   int
	on   bool
	// class and remove describe the change that each VM applies in a race.
	class  [historyVMs]int
	remove [historyVMs]bool
	pause  time.Duration
}

// applyAnswer is the answer of one apply to a change of class.
type applyAnswer struct {
	class  string
	result Result
	err    error
}

// history runs steps, checks what each VM has in force, and records the answers of the applies.
type history struct {
	t       *testing.T
	store   *fakestore.Store
	net     *network
	stale   [historyVMs]*staleClient
	vms     [historyVMs]*Follower
	mu      sync.Mutex
	answers []applyAnswer
	starts  int
	stop    context.CancelFunc
	ctx     context.Context
	wg      sync.WaitGroup
}

// TestHistoriesWithFaults runs random histories of racing applies under faults, and checks the
// answers and the sets in force on all VMs against the audit trail.
func TestHistoriesWithFaults(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", "20261203"))
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 5, 25).Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) { runHistory(t, steps) })
		if t.Failed() {
			rt.Fatalf("history failed")
		}
	})
}

func drawStep(rt *rapid.T) step {
	s := step{
		kind:  rapid.IntRange(0, stepKinds-1).Draw(rt, "kind"),
		vm:    rapid.IntRange(0, historyVMs-1).Draw(rt, "vm"),
		on:    rapid.Bool().Draw(rt, "on"),
		pause: time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pauseMillis")) * time.Millisecond,
	}
	for i := range historyVMs {
		s.class[i] = rapid.IntRange(0, 5).Draw(rt, "class")
		s.remove[i] = rapid.Bool().Draw(rt, "remove")
	}
	return s
}

func runHistory(t *testing.T, steps []step) {
	h := &history{t: t, net: newNetwork()}
	h.store = fakestore.New(fakestore.NewOptions().WithRates(1e6, 1e6).WithLatency(3 * time.Millisecond))
	h.ctx, h.stop = context.WithCancel(context.Background())
	for i := range historyVMs {
		h.stale[i] = &staleClient{}
		h.startVM(i)
	}
	for _, s := range steps {
		h.run(s)
	}
	h.heal()
	time.Sleep(time.Minute)
	h.wg.Wait()
	time.Sleep(10 * time.Second)
	h.check()
	h.stop()
	for _, f := range h.vms {
		f.Close()
	}
	synctest.Wait()
}

func (h *history) startVM(i int) {
	id := fmt.Sprintf("e%d", i+1)
	h.starts++
	f := New(Options{Self: id, Incarnation: fmt.Sprint(h.starts), Seed: uint64(h.starts), Store: h.stale[i].client(h.store.Client()), Peers: h.net.peers(id)})
	h.vms[i] = f
	go h.observe(f)
}

// observe checks that the generation of a VM never decreases.
func (h *history) observe(f *Follower) {
	var last uint64
	for {
		changed := f.Changed()
		generation := f.Current().Generation
		assert.GreaterOrEqual(h.t, generation, last, "a VM reverted")
		last = generation
		select {
		case <-changed:
		case <-f.ctx.Done():
			return
		}
	}
}

func (h *history) run(s step) {
	switch s.kind {
	case stepRace:
		for i, f := range h.vms {
			h.wg.Go(func() { h.apply(f, s.class[i], s.remove[i]) })
		}
		time.Sleep(s.pause)
	case stepOutage:
		h.store.SetOutage(s.on)
	case stepLostAnswers:
		h.store.SetLostAnswerShare(map[bool]float64{true: 0.5}[s.on])
	case stepPartition:
		h.net.setPartitioned(fmt.Sprintf("e%d", s.vm+1), s.on)
	case stepRestart:
		h.vms[s.vm].Close()
		h.startVM(s.vm)
	case stepStale:
		o, err := h.store.Client().Get(h.ctx, publication.RootKey)
		if err == nil && s.on {
			h.stale[s.vm].set(&o)
		} else {
			h.stale[s.vm].set(nil)
		}
	default:
		time.Sleep(s.pause)
	}
}

// apply adds or removes a class on top of the VM's current set, and expects that set's generation.
func (h *history) apply(f *Follower, class int, remove bool) {
	snapshot := f.Current()
	name := fmt.Sprintf("c%d", class)
	set := snapshot.Set
	set.BatchClasses = slices.DeleteFunc(slices.Clone(set.BatchClasses), func(b config.BatchClass) bool { return b.Name == name })
	if !remove {
		set.BatchClasses = append(set.BatchClasses, classSet(h.t, name).BatchClasses...)
	}
	result, err := f.Apply(context.Background(), time.Now(), "abebe", config.Normalize(set), &snapshot.Generation)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers = append(h.answers, applyAnswer{name, result, err})
}

func (h *history) heal() {
	h.store.SetOutage(false)
	h.store.SetLostAnswerShare(0)
	for i := range historyVMs {
		h.net.setPartitioned(fmt.Sprintf("e%d", i+1), false)
		h.stale[i].set(nil)
	}
}

// check compares the answers and the sets in force with the audit trail.
func (h *history) check() {
	trail, err := h.vms[0].Audit(context.Background(), 1000)
	require.NoError(h.t, err)
	published := map[publication.EntryID]uint64{}
	classes := map[string]bool{}
	var generation uint64
	for _, e := range slices.Backward(trail) {
		if e.Outcome != publication.OutcomeAccepted {
			continue
		}
		generation++
		assert.Equal(h.t, generation, e.Generation, "each generation has one entry")
		published[e.ID] = e.Generation
		changes, err := h.vms[0].Changes(context.Background(), e)
		require.NoError(h.t, err)
		for _, c := range changes {
			assert.Equal(h.t, c.Action == config.ActionAdd, !classes[c.Object.Name], "the change fits the set before it")
			classes[c.Object.Name] = c.Action == config.ActionAdd
		}
	}
	for _, answer := range h.answers {
		got, ok := published[answer.result.ID]
		switch {
		case errors.Is(answer.err, ErrOutcomeUnknown):
		case answer.err == nil && answer.result.Outcome == publication.OutcomeAccepted:
			assert.Equal(h.t, answer.result.Generation, got, "reported as accepted")
			for _, c := range answer.result.Changes {
				assert.Equal(h.t, answer.class, c.Object.Name, "an apply changes nothing of others")
			}
			assert.NotEmpty(h.t, answer.result.Changes, "a generation changes something")
		default:
			assert.False(h.t, ok, "reported as not published: %v %v", answer.result.Outcome, answer.err)
		}
	}
	for i, f := range h.vms {
		snapshot := f.Current()
		assert.Equal(h.t, generation, snapshot.Generation, "in force on VM %d", i)
		for name, exists := range classes {
			_, ok := snapshot.BatchClass(name)
			assert.Equal(h.t, exists, ok, "class %s on VM %d", name, i)
		}
	}
}
