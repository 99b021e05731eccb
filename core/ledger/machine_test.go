package ledger

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// rapidSeed makes CI's runs repeatable; -rapid.seed=0 on the command line asks for a random one.
const rapidSeed = "20261203"

// rapidChecks is the number of histories of one run; -rapid.checks asks for more.
const rapidChecks = "3000"

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", rapidSeed)
	_ = flag.Set("rapid.checks", rapidChecks)
	flag.Parse()
	os.Exit(m.Run())
}

// home is one process in the state machine; it may be paused between any two of its steps.
type home struct {
	writer Writer
	state  Shard
	// expectedVersion is the version of the last head read or confirmed, write the update in flight, and
	// applied whether write has reached the store.
	expectedVersion int
	write           *Head
	applied         bool
	dispatch        []Record
	running         []Record
	handoffs        []Effect
	waitingCallers  map[ID]int
}

// machine drives the shards of several homes that update one versioned head.
type machine struct {
	t          *rapid.T
	now        time.Time
	homes      []*home
	head       Head
	version    int
	blocks     map[string][]Record
	lastNumber uint64
	// notRefused counts the callers of an ID that were not told that the request did not run.
	notRefused map[ID]int
	ran        map[ID]int
	outcome    map[ID]State
	// accepted are the requests whose callers were told that they will run.
	accepted map[ID]bool
}

func isIdempotent(id ID) bool { return id[15]%3 == 0 }

func newMachine(t *rapid.T) *machine {
	m := &machine{
		t: t, now: time.Unix(1e9, 0), blocks: map[string][]Record{},
		notRefused: map[ID]int{}, ran: map[ID]int{}, outcome: map[ID]State{}, accepted: map[ID]bool{},
	}
	for i := range 3 {
		m.homes = append(m.homes, &home{writer: Writer{VM: fmt.Sprintf("e%d", i)}})
		m.restart(m.homes[i])
	}
	return m
}

func (m *machine) restart(h *home) {
	m.lastNumber++
	h.writer.Incarnation = m.lastNumber
	h.state = NewShard(NewLimits().WithSealBytes(600).WithMaxOpen(6).WithMaxHeadBytes(1600), h.writer)
	h.write, h.dispatch, h.running, h.handoffs, h.waitingCallers = nil, nil, nil, nil, map[ID]int{}
}

func (m *machine) home() *home { return m.pickHome(func(*home) bool { return true }) }

// pickHome returns one of the homes that fits accepts; the action is skipped when there is none.
func (m *machine) pickHome(fits func(*home) bool) *home {
	var found []*home
	for _, h := range m.homes {
		if fits(h) {
			found = append(found, h)
		}
	}
	if len(found) == 0 {
		m.t.Skip("no such home")
	}
	return found[rapid.IntRange(0, len(found)-1).Draw(m.t, "home")]
}

func (m *machine) id() ID {
	n := rapid.IntRange(0, 4).Draw(m.t, "key")
	return NewID("team", fmt.Sprint(n))
}

// applyEffects stores the new state of the home and carries out its effects.
func (m *machine) applyEffects(h *home, s Shard, effects []Effect) {
	h.state = s
	for _, e := range effects {
		id := e.Record.ID
		switch e.Kind {
		case Dispatch:
			h.dispatch = append(h.dispatch, e.Record)
		case Handoff:
			h.handoffs = append(h.handoffs, e)
		case Durable:
			m.accepted[id] = m.accepted[id] || e.Record.Async
		case Recorded:
			m.checkOutcome(id, e.Record.State)
			h.waitingCallers[id] = 0
		case NotRun:
			m.notRefused[id] -= h.waitingCallers[id]
			h.waitingCallers[id] = 0
		case Uncertain, Reroute:
			h.waitingCallers[id] = 0
		}
	}
}

// checkOutcome checks that the outcome that a caller is told is the durable one.
func (m *machine) checkOutcome(id ID, s State) {
	require.Equal(m.t, m.outcome[id], s, "the outcome told to a caller is the durable one")
}

func (m *machine) submit(*rapid.T) {
	h, id := m.pickHome(func(h *home) bool { return h.state.Held() }), m.id()
	q := Request{ID: id, Idempotent: isIdempotent(id), Async: rapid.Bool().Draw(m.t, "async"), Timeout: 10 * time.Second, AtSeconds: m.now.Unix()}
	var candidates, searched []string
	for _, b := range h.state.References().Blocks {
		candidates = append(candidates, b.Key)
	}
	s, v := h.state.Submit(m.now, q, candidates, searched)
	for v.Kind == Search {
		for _, key := range v.Blocks {
			i := slices.IndexFunc(m.blocks[key], func(r Record) bool { return r.ID == id })
			if i >= 0 {
				m.checkOutcome(id, m.blocks[key][i].State)
				return
			}
			searched = append(searched, key)
		}
		s, v = h.state.Submit(m.now, q, candidates, searched)
	}
	switch v.Kind {
	case WasRecorded:
		m.checkOutcome(id, v.Record.State)
	case Wait:
		h.state = s
		m.accepted[id] = m.accepted[id] || (q.Async && v.Durable != None)
		h.waitingCallers[id]++
		m.notRefused[id]++
	}
}

func (m *machine) load(*rapid.T) {
	h := m.pickHome(func(h *home) bool { return !h.state.Held() })
	h.expectedVersion = m.version
	s, effects := h.state.Load(m.now, m.head, rapid.Bool().Draw(m.t, "previous alive"))
	m.applyEffects(h, s, effects)
}

func (m *machine) upkeep(*rapid.T) {
	h := m.home()
	p := h.state.Plan(m.now)
	if p.Empty() || h.write != nil {
		return
	}
	history := h.state.References().After(p)
	if len(p.Seal) > 0 {
		m.lastNumber++
		key := fmt.Sprint(m.lastNumber)
		m.blocks[key] = p.Seal
		history.Blocks = append(history.Blocks, BlockRef{Key: key, NewestSeconds: m.now.Unix()})
	}
	h.state = h.state.WithHistory(history)
}

func (m *machine) startWrite(*rapid.T) {
	h := m.pickHome(func(h *home) bool { return h.state.Held() && h.state.Dirty() && !h.state.Writing() })
	s, head, ok := h.state.Commit()
	if !ok {
		m.t.Skip("no room in the head")
	}
	h.state, h.write, h.applied = s, &head, false
}

// applyWrite applies the update in flight to the store; the home has no answer yet.
func (m *machine) applyWrite(*rapid.T) {
	h := m.pickHome(func(h *home) bool { return h.write != nil && h.expectedVersion == m.version })
	value, err := EncodeHead(*h.write)
	require.NoError(m.t, err)
	m.head, err = DecodeHead(value)
	require.NoError(m.t, err)
	m.version++
	h.applied = true
	m.checkDurable()
}

// receiveAnswer tells the home the outcome of its update, by the answer or by reading back.
func (m *machine) receiveAnswer(*rapid.T) {
	h := m.pickHome(func(h *home) bool { return h.write != nil })
	write := *h.write
	switch {
	case h.expectedVersion == m.version:
		h.write = nil
		s, effects := h.state.Failed()
		m.applyEffects(h, s, effects)
	case m.head.Last == write.Last:
		h.write, h.expectedVersion = nil, m.version
		s, effects := h.state.Committed(m.now)
		m.applyEffects(h, s, effects)
	default:
		h.write = nil
		applied := m.head.Applied(h.writer, write.Last.Sequence)
		if h.applied {
			require.NotEqual(m.t, NotApplied, applied)
		} else {
			require.NotEqual(m.t, IsApplied, applied)
		}
		s, effects := h.state.Fenced(applied)
		m.applyEffects(h, s, effects)
	}
}

func (m *machine) execute(*rapid.T) {
	h := m.pickHome(func(h *home) bool { return len(h.dispatch) > 0 })
	r := h.dispatch[0]
	h.dispatch = h.dispatch[1:]
	h.running = append(h.running, r)
}

func (m *machine) finish(*rapid.T) {
	h := m.pickHome(func(h *home) bool { return len(h.running) > 0 })
	r := h.running[0]
	h.running = h.running[1:]
	kind := rapid.SampledFrom([]ResultKind{Completed, Completed, MayHaveRun, DidNotRun}).Draw(m.t, "result")
	if kind != DidNotRun {
		m.ran[r.ID]++
		require.Positive(m.t, m.notRefused[r.ID], "a request that was refused as not run has run")
		if !r.Idempotent {
			require.Equal(m.t, 1, m.ran[r.ID], "a non-idempotent request ran twice")
		}
	}
	s, effects := h.state.Result(m.now, r.ID, Result{Kind: kind, State: Done, Answer: Answer{Body: make([]byte, 500)}, Attempt: r.Attempt})
	m.applyEffects(h, s, effects)
}

// handoff sends a result to another home; the message may be sent again later.
func (m *machine) handoff(*rapid.T) {
	from := m.pickHome(func(h *home) bool { return len(h.handoffs) > 0 })
	to := m.pickHome(func(h *home) bool { return h.state.Held() })
	e := from.handoffs[0]
	if !rapid.Bool().Draw(m.t, "again") {
		from.handoffs = from.handoffs[1:]
		from.state = from.state.HandoffAcknowledged(e.Record.ID)
	}
	s, effects := to.state.Result(m.now, e.Record.ID, e.Result)
	m.applyEffects(to, s, effects)
}

func (m *machine) withdraw(*rapid.T) {
	h, id := m.home(), m.id()
	s, ok := h.state.Withdraw(id)
	if ok {
		m.applyEffects(h, s, []Effect{{Kind: NotRun, Record: Record{ID: id}}})
	}
}

func (m *machine) tick(*rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 15).Draw(m.t, "seconds")) * time.Second)
	h := m.home()
	s, effects, _ := h.state.Tick(m.now)
	m.applyEffects(h, s, effects)
}

func (m *machine) crash(*rapid.T) {
	if rapid.IntRange(0, 3).Draw(m.t, "really") == 0 {
		m.restart(m.home())
	}
}

// checkDurable checks that a durable outcome never changes and is never lost.
func (m *machine) checkDurable() {
	seen := map[ID]State{}
	note := func(r Record) {
		before, ok := seen[r.ID]
		require.False(m.t, ok, "two records of one request: %s and %s", before, r.State)
		seen[r.ID] = r.State
	}
	for _, r := range m.head.Tail {
		note(r)
	}
	for _, b := range m.head.Blocks {
		for _, r := range m.blocks[b.Key] {
			note(r)
		}
	}
	for id, s := range m.outcome {
		require.Equal(m.t, s, seen[id], "a durable outcome changed")
	}
	for id := range m.accepted {
		require.True(m.t, !m.accepted[id] || seen[id] != None, "an accepted request is lost")
	}
	for id, s := range seen {
		if s.Final() {
			m.outcome[id] = s
		}
	}
}

// Homes submit, write, crash and take over in random order, and answers of the store are lost or delayed.
// No durable outcome may change or be lost, no non-idempotent request may run twice, and no request may
// run after all its callers were told that it did not.
func TestShardMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit": m.submit, "submitMore": m.submit, "load": m.load, "upkeep": m.upkeep,
			"begin": m.startWrite, "beginMore": m.startWrite, "land": m.applyWrite, "landMore": m.applyWrite, "answer": m.receiveAnswer,
			"answerMore": m.receiveAnswer, "execute": m.execute, "finish": m.finish, "handoff": m.handoff,
			"withdraw": m.withdraw, "tick": m.tick, "crash": m.crash,
		})
	})
}
