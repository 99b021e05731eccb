package engine

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

func runModel(m *Model) (end time.Duration, events []Event) {
	for at, busy := m.Next(); busy; at, busy = m.Next() {
		m.Step(at)
		end = at
		events = append(events, m.Events()...)
	}
	return end, append(events, m.Events()...)
}

func TestStepTimeGrowsWithSequencesAndPrefill(t *testing.T) {
	opts := NewOptions().WithStep(10*time.Millisecond, time.Millisecond, 10*time.Microsecond).WithPrefillChunk(100)
	m := NewModel(opts)
	m.Submit(0, Request{ID: "a", PromptTokens: 250, MaxTokens: 3})
	end, events := runModel(m)
	// Two full chunks, a half one with the first token, two decoding steps.
	require.Equal(t, 11*time.Millisecond*2+10500*time.Microsecond+22*time.Millisecond, end)
	require.Equal(t, []Event{{"a", Admitted, 0}, {"a", Token, 0}, {"a", Token, 1}, {"a", Token, 2}, {"a", Finished, 3}}, events)
}

func TestMemoryLimitsAdmissionInOrderOfArrival(t *testing.T) {
	m := NewModel(NewOptions().WithCapacity(8, 1000))
	m.Submit(0, Request{ID: "a", PromptTokens: 600, MaxTokens: 5})
	m.Submit(0, Request{ID: "b", PromptTokens: 600, MaxTokens: 5})
	m.Submit(0, Request{ID: "c", PromptTokens: 10, MaxTokens: 5})
	at, _ := m.Next()
	m.Step(at)
	require.Equal(t, Load{Running: 1, Waiting: 2, KVUsedTokens: 600, At: at}, m.currentLoad(at))
	runModel(m)
	require.Equal(t, 3, m.Dispatches())
}

func TestPauseKeepsStateForResume(t *testing.T) {
	m := NewModel(NewOptions())
	m.Submit(0, Request{ID: "a", PromptTokens: 300, MaxTokens: 10, Resumable: true})
	at, _ := m.Next()
	m.Step(at)
	require.True(t, m.Pause(at, "a"))
	computed := m.Computed
	m.Submit(at, Request{ID: "a", PromptTokens: 300, MaxTokens: 10, Resume: true, ResumeFrom: 1})
	end, _ := runModel(m)
	require.Equal(t, computed, m.Computed, "the state was computed again")
	m.Submit(end, Request{ID: "b", PromptTokens: 300, MaxTokens: 10, Resume: true, ResumeFrom: 5})
	_, events := runModel(m)
	require.Equal(t, computed+305, m.Computed)
	require.Equal(t, Event{"b", Token, 5}, events[1])
	require.Equal(t, 1, m.Ran("a"))
	require.Equal(t, 0, m.Ran("b"))
}

func TestBatchEvictsPrefixes(t *testing.T) {
	m := NewModel(NewOptions().WithCapacity(8, 1000).WithCacheEvents(time.Second, 0))
	m.Submit(0, Request{ID: "a", PromptTokens: 400, Prefix: 1, PrefixTokens: 300, MaxTokens: 1})
	runModel(m)
	m.Submit(time.Second, Request{ID: "b", PromptTokens: 400, Prefix: 1, PrefixTokens: 300, MaxTokens: 1})
	runModel(m)
	require.Equal(t, 500, m.Computed, "the second prompt computes only its own part")
	m.Submit(2*time.Second, Request{ID: "c", PromptTokens: 900, MaxTokens: 1})
	end, _ := runModel(m)
	require.Len(t, m.CacheEvents(end, 0), 1, "the eviction is published late")
	require.Equal(t, Evicted, m.CacheEvents(end+2*time.Second, 1)[0].Kind)
}

// For any order of submits, pauses, cancels and steps: memory and running sequences must stay within their
// limits, no request may finish twice, and no memory may leak.
func TestModelProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewModel(NewOptions().WithCapacity(4, 900).WithKeepState(100 * time.Millisecond))
		now := time.Duration(0)
		finished := map[string]int{}
		ids := 0
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				ids++
				m.Submit(now, Request{
					ID: fmt.Sprint(ids), PromptTokens: rapid.IntRange(60, 500).Draw(t, "prompt"), Prefix: 7,
					PrefixTokens: 50, MaxTokens: rapid.IntRange(1, 20).Draw(t, "limit"), Resumable: true,
				})
			},
			"stop": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(1, max(1, ids)).Draw(t, "id"))
				if rapid.Bool().Draw(t, "pause") {
					m.Pause(now, id)
					return
				}
				m.Cancel(now, id)
			},
			"step": func(*rapid.T) {
				if at, busy := m.Next(); busy {
					now = at
					m.Step(now)
				}
			},
			"": func(t *rapid.T) {
				for _, e := range m.Events() {
					if e.Kind == Finished {
						finished[e.ID]++
					}
				}
				require.LessOrEqual(t, m.memory.used, 900)
				require.LessOrEqual(t, len(m.running), 4)
				for id, n := range finished {
					require.Equal(t, 1, n, id)
				}
			},
		})
		runModel(m)
		require.Empty(t, m.byID)
		require.Zero(t, m.memory.pinned(), "memory leaks")
	})
}

func BenchmarkModelStep(b *testing.B) {
	m := NewModel(NewOptions())
	for i := range 64 {
		m.Submit(0, Request{ID: fmt.Sprint(i), PromptTokens: 10, MaxTokens: 1 << 30})
	}
	m.opts.KVTokens = 1 << 40
	m.memory.capacity = 1 << 40
	b.ReportAllocs()
	for b.Loop() {
		at, _ := m.Next()
		m.Step(at)
		m.Events()
	}
}
