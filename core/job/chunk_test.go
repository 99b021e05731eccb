package job

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

// machine drives chunk records and their holders as package io/job does, over a store of one object.
type machine struct {
	terms   Terms
	items   int
	record  Chunk
	version uint64
	now     time.Time
	holders []machineHolder
	sent    []int
	outcome []ItemState
	writes  int
}

type machineHolder struct {
	chunk   HeldChunk
	version uint64
}

func newMachine(t *rapid.T) *machine {
	m := &machine{
		terms: Terms{MaxAttempts: rapid.IntRange(1, 4).Draw(t, "attempts"), Idempotent: rapid.Bool().Draw(t, "idempotent")},
		items: rapid.IntRange(1, ChunkItems).Draw(t, "items"),
		now:   epoch,
	}
	m.record = NewChunk(m.items)
	m.sent = make([]int, m.items)
	m.outcome = make([]ItemState, m.items)
	return m
}

// put writes c if the store has the expected version, and checks that final outcomes stay the same.
func (m *machine) put(t *rapid.T, c Chunk, expect uint64) bool {
	if expect != m.version {
		return false
	}
	require.True(t, c.Valid(m.items))
	for i, s := range m.outcome {
		require.True(t, !s.Final() || s == c.Items[i], "outcome of item %d changed", i)
	}
	copy(m.outcome, c.Items)
	m.record = c
	m.version++
	m.writes++
	return true
}

func (m *machine) claim(t *rapid.T) {
	if m.record.Closed {
		return
	}
	next, _, err := Claim(m.record, "vm", m.terms)
	require.NoError(t, err)
	if m.put(t, next, m.version) {
		m.holders = append(m.holders, machineHolder{chunk: NewHeldChunk(next, m.terms, DefaultLease, m.now), version: m.version})
	}
}

func (m *machine) pick(t *rapid.T) *machineHolder {
	if len(m.holders) == 0 {
		t.Skip("no holder")
	}
	return &m.holders[rapid.IntRange(0, len(m.holders)-1).Draw(t, "holder")]
}

func (m *machine) send(t *rapid.T) {
	h := m.pick(t)
	next, taken := h.chunk.Take(m.now, rapid.IntRange(1, 64).Draw(t, "n"))
	for _, i := range taken {
		var ok bool
		next, ok = next.Start(m.now, i)
		require.True(t, ok)
		m.sent[i]++
		if !m.terms.Idempotent {
			require.Equal(t, 1, m.sent[i], "non-idempotent item %d sent twice", i)
		}
	}
	h.chunk = next
}

// answer ends one dispatched item in one of the ways that a dispatcher can.
func (m *machine) answer(t *rapid.T) {
	h := m.pick(t)
	out := h.chunk.Dispatched()
	if len(out) == 0 {
		t.Skip("nothing dispatched")
	}
	i := rapid.SampledFrom(out).Draw(t, "item")
	switch rapid.IntRange(0, 4).Draw(t, "answer") {
	case 0:
		h.chunk, _ = h.chunk.Fail(i, rapid.Bool().Draw(t, "lost"))
	case 1:
		if h.chunk, _ = h.chunk.Return(i); m.terms.Idempotent {
			m.sent[i]--
		}
	default:
		h.chunk, _ = h.chunk.Done(i, Succeeded)
	}
}

func (m *machine) write(t *rapid.T) {
	h := m.pick(t)
	w, due := h.chunk.NextWrite(m.now)
	if !due {
		t.Skip("nothing due")
	}
	m.finish(t, h, w)
}

func (m *machine) release(t *rapid.T) {
	h := m.pick(t)
	m.finish(t, h, h.chunk.Release())
}

// finish writes w; the holder of a closed, released or lost chunk is removed.
func (m *machine) finish(t *rapid.T, h *machineHolder, w Write) {
	if m.put(t, w.Chunk, h.version) {
		h.version = m.version
		h.chunk = h.chunk.Wrote(w.Chunk, m.now)
		if !w.Chunk.Closed && w.Chunk.Owner != "" {
			return
		}
	}
	for i := range m.holders {
		if &m.holders[i] == h {
			m.holders = append(m.holders[:i:i], m.holders[i+1:]...)
			return
		}
	}
}

func (m *machine) check(t *rapid.T) {
	for i, n := range m.sent {
		require.LessOrEqual(t, n, m.terms.attempts(), "item %d", i)
	}
	require.Equal(t, m.record.Closed, m.record.allFinal())
}

// TestMain fixes the seed of rapid unless the command line names one.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// Several holders claim, dispatch, write and lose one chunk in random order. No final outcome may change, no
// item may exceed its attempts, and no non-idempotent item may be sent twice; the chunk must always close.
func TestChunkMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"claim":   m.claim,
			"send":    m.send,
			"answer":  m.answer,
			"write":   m.write,
			"release": m.release,
			"cancel": func(t *rapid.T) {
				if m.version > 0 && !m.record.Closed && rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
					c, _ := m.record.Cancel("home", m.terms)
					m.put(t, c, m.version)
				}
			},
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second)
			},
			"": m.check,
		})
		m.drain(t)
	})
}

// drain closes the chunk by a holder that gives every item an outcome, in a bounded number of writes.
func (m *machine) drain(t *rapid.T) {
	m.holders = nil
	for range 4 * ChunkItems {
		if m.record.Closed {
			return
		}
		if len(m.holders) == 0 {
			m.claim(t)
			continue
		}
		h := &m.holders[0]
		m.send(t)
		for _, i := range h.chunk.Dispatched() {
			h.chunk, _ = h.chunk.Done(i, Succeeded)
		}
		if w, due := h.chunk.NextWrite(m.now); due {
			m.finish(t, h, w)
		}
	}
	require.True(t, m.record.Closed, "the chunk was not closed")
}

// TestItemThatKillsWorkersIsFound crashes the holder whenever item 77 is in flight. Only that item may
// fail.
func TestItemThatKillsWorkersIsFound(t *testing.T) {
	for attempts := MinAttempts; attempts <= 5; attempts++ {
		terms := Terms{MaxAttempts: attempts, Idempotent: true}
		record, crashes := NewChunk(ChunkItems), 0
		for !record.Closed {
			next, _, err := Claim(record, "vm", terms)
			require.NoError(t, err)
			record = next
			crashes++
			h := NewHeldChunk(record, terms, DefaultLease, epoch)
			for crashed := false; !crashed && !record.Closed; {
				var taken []int
				h, taken = h.Take(epoch, ChunkItems)
				for _, i := range taken {
					crashed = crashed || i == 77
				}
				for _, i := range taken {
					h, _ = h.Done(i, Succeeded)
				}
				if w, due := h.NextWrite(epoch); due && !crashed {
					record = w.Chunk
					h = h.Wrote(record, epoch)
				}
			}
		}
		assert.Equal(t, Counts{Succeeded: ChunkItems - 1, Failed: 1}, record.Counts())
		assert.Equal(t, Failed, record.Items[77])
		assert.Equal(t, attempts, crashes-1)
	}
}

// TestWritesOfAChunk counts the writes of a chunk without faults, with failing items and without
// idempotence.
func TestWritesOfAChunk(t *testing.T) {
	for _, tc := range []struct {
		name    string
		terms   Terms
		failing int
		want    int
	}{
		{"plain", Terms{MaxAttempts: 3, Idempotent: true}, 0, 2},
		{"failing items", Terms{MaxAttempts: 3, Idempotent: true}, 3, 4},
		{"all failing", Terms{MaxAttempts: 3, Idempotent: true}, ChunkItems, 4},
		{"non-idempotent", Terms{MaxAttempts: 3}, 0, 5},
	} {
		t.Run(tc.name, func(t *testing.T) {
			record, _, err := Claim(NewChunk(ChunkItems), "vm", tc.terms)
			require.NoError(t, err)
			h, writes := NewHeldChunk(record, tc.terms, DefaultLease, epoch), 1
			for !h.Durable.Closed {
				var taken []int
				h, taken = h.Take(epoch, 16)
				for _, i := range taken {
					if i < tc.failing {
						h, _ = h.Fail(i, false)
						continue
					}
					h, _ = h.Done(i, Succeeded)
				}
				if w, due := h.NextWrite(epoch); due {
					h = h.Wrote(w.Chunk, epoch)
					writes++
				}
			}
			assert.Equal(t, tc.want, writes)
			assert.Equal(t, tc.failing, h.Durable.Counts().Failed)
		})
	}
}
