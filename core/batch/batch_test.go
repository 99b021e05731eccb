package batch

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func job(items int) Job {
	j := Job{ID: "j1"}
	for i := range items {
		j.Items = append(j.Items, Item{ID: fmt.Sprintf("a%d", i), Tokens: 10})
	}
	return j
}

func TestChunksAppendOnly(t *testing.T) {
	log, err := NewLog(job(3)).WithChunk(Chunk{Results: []Result{{Item: "a1", State: Completed, Text: "x"}}})
	require.NoError(t, err)
	for _, tc := range []struct {
		name  string
		chunk Chunk
		want  error
	}{
		{"a position that has a result", Chunk{From: 0, Results: []Result{{Item: "a0"}}}, ErrPosition},
		{"a gap", Chunk{From: 2, Results: []Result{{Item: "a0"}}}, ErrPosition},
		{"an item twice", Chunk{From: 1, Results: []Result{{Item: "a1"}}}, ErrItem},
		{"an item twice in one chunk", Chunk{From: 1, Results: []Result{{Item: "a0"}, {Item: "a0"}}}, ErrItem},
		{"an item of another job", Chunk{From: 1, Results: []Result{{Item: "b0"}}}, ErrItem},
	} {
		t.Run(tc.name, func(t *testing.T) {
			after, err := log.WithChunk(tc.chunk)
			require.ErrorIs(t, err, tc.want)
			require.Equal(t, log, after)
		})
	}
	require.Len(t, log.Open(), 2)
	require.Equal(t, int64(20), log.OpenTokens())
	require.Empty(t, log.WithEnded().Open())
	require.True(t, log.WithEnded().Done())
	require.Equal(t, 1, log.WithEnded().Len(), "results stay after the end")
}

func TestPageHoldsAtLeastOneResult(t *testing.T) {
	log, err := NewLog(job(3)).WithChunk(Chunk{Results: []Result{{Item: "a0", Text: "xxxx"}, {Item: "a1", Text: "y"}}})
	require.NoError(t, err)
	for _, tc := range []struct{ after, maxBytes, next int }{
		{0, 1, 1}, {0, 1000, 2}, {1, 1000, 2}, {2, 1000, 2}, {9, 1000, 2}, {-1, 1000, 2},
	} {
		results, next := log.Page(tc.after, tc.maxBytes)
		require.Equal(t, tc.next, next)
		require.Len(t, results, max(next-min(max(tc.after, 0), 2), 0))
	}
}

// TestTwoHomesAgree lets two homes write chunks of the same job to a store that accepts a single chunk for
// each position. The answers to some writes are lost. Both homes must end with the same results.
func TestTwoHomesAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const items = 6
		stored := map[int]Chunk{}
		logs := [2]Log{NewLog(job(items)), NewLog(job(items))}
		catchUp := func(i int) {
			for c, ok := stored[logs[i].Chunks()]; ok; c, ok = stored[logs[i].Chunks()] {
				next, err := logs[i].WithChunk(c)
				require.NoError(rt, err)
				logs[i] = next
			}
		}
		for range 40 {
			i := rapid.IntRange(0, 1).Draw(rt, "home")
			open := logs[i].Open()
			if len(open) == 0 {
				continue
			}
			n := rapid.IntRange(0, len(open)).Draw(rt, "results")
			c := Chunk{From: logs[i].Len()}
			for _, item := range open[:n] {
				c.Results = append(c.Results, Result{Item: item.ID, State: Completed, Text: fmt.Sprint("home ", i)})
			}
			if _, exists := stored[logs[i].Chunks()]; exists {
				catchUp(i)
				continue
			}
			stored[logs[i].Chunks()] = c
			if rapid.Bool().Draw(rt, "answered") {
				catchUp(i)
			}
		}
		catchUp(0)
		catchUp(1)
		require.Equal(rt, logs[0], logs[1])
		seen := map[string]bool{}
		results, _ := logs[0].Page(0, 1<<20)
		for _, r := range results {
			require.False(rt, seen[r.Item])
			seen[r.Item] = true
		}
	})
}

func TestListedItemsNeedNoBodies(t *testing.T) {
	j := Job{ID: "j1", Items: []Item{{ID: "a0", Body: []byte("x"), Tokens: 10}, {ID: "a1", Body: []byte("y"), Tokens: 10}}}
	log, err := NewLog(j).WithChunk(Chunk{Results: []Result{{Item: "a1", State: Completed}}})
	require.NoError(t, err)
	small := log.WithoutListedBodies()
	require.Equal(t, []Item{j.Items[0]}, small.Open())
	require.Equal(t, []Item{j.Items[0], {ID: "a1", Tokens: 10}}, small.Job().Items)
	require.Equal(t, j.Items, log.Job().Items, "the log itself is unchanged")
}
