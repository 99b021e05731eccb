package home

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mothcart/core/batch"
	"mothcart/io/forward"
)

// Guards against an item whose text grows with each attempt that an upstream fills with events until it is cut.
func TestTextOfAnItemStaysBoundedOverItsAttempts(t *testing.T) {
	h, j := newProgressHome(1, 0)
	r := j.runs["i0"]
	for range 20 {
		h.addProgress(r, itemOutcome{Events: 100, LastEventID: "100", Text: strings.Repeat("x", 400<<10)}, time.Second)
		require.LessOrEqual(t, r.text.Len(), maxItemText)
		require.Equal(t, r.text.Len() == 0, r.lastID == "", "an item without text begins again")
	}
	require.Positive(t, h.metrics.textsDropped.Count())
}

// Guards against a home that keeps the progress of all items, each within its bound, until it has no memory left.
func TestProgressOfAllItemsStaysBounded(t *testing.T) {
	const limit = 1 << 20
	h, j := newProgressHome(50, limit)
	small := j.runs["i0"]
	h.addProgress(small, itemOutcome{Events: 1, LastEventID: "1", Text: strings.Repeat("x", 10<<10)}, time.Second)
	for range 10 {
		for i := 1; i < 50; i++ {
			h.addProgress(j.runs[fmt.Sprint("i", i)], itemOutcome{Events: 10, LastEventID: "10", Text: strings.Repeat("x", 40<<10)}, time.Second)
			held, _ := countTexts(h)
			require.LessOrEqual(t, held, int64(2*limit))
		}
	}
	require.Equal(t, 10<<10, small.text.Len(), "an item with less than its share keeps its progress")
}

// newProgressHome returns a home whose job j1 has a number of items that run.
func newProgressHome(items int, limit int64) (*Home, *job) {
	j := &job{runs: map[string]*run{}}
	h := &Home{jobs: map[string]*job{"j1": j}, opts: Options{TextBytes: limit, Log: zerolog.Nop()}}
	for i := range items {
		j.runs[fmt.Sprint("i", i)] = newRun(&h.texts, "j1", batch.Item{ID: fmt.Sprint("i", i)})
	}
	h.metrics.textsDropped = metrics.NewCounter()
	return h, j
}

// Guards against a runner whose attempts, each within its bound, receive more than the process has memory for.
func TestTextsOfAllAttemptsStayBounded(t *testing.T) {
	const limit, attempts = 1 << 20, 40
	shared := newTexts(limit, metrics.NewRegistry())
	event := forward.Event{Raw: []byte("data: " + strings.Repeat("x", 1000) + "\n\n")}
	streams := make([]*stream, attempts)
	for i := range streams {
		streams[i] = &stream{texts: shared}
		shared.begin()
	}
	require.NoError(t, streams[0].add(event))
	refused := 0
	for range 500 {
		for _, s := range streams[1:] {
			if s.add(event) != nil {
				refused++
				shared.end(s.taken)
				*s = stream{texts: shared}
				shared.begin()
			}
			require.LessOrEqual(t, shared.held, int64(2*limit))
		}
	}
	require.Positive(t, refused)
	require.NoError(t, streams[0].add(event), "an attempt with less than its share goes on")
	for _, s := range streams {
		shared.end(s.taken)
	}
	require.Zero(t, shared.held)
	require.Zero(t, shared.holders)
}

// Guards against a standby that keeps the texts of all items until it has no memory left.
func TestCheckpointsStayBounded(t *testing.T) {
	const limit = 1 << 20
	c := NewCheckpoints(nil, limit, func() {})
	delta := func(item, from, n int) itemDelta {
		return itemDelta{ItemProgress: ItemProgress{Job: "j", Item: fmt.Sprint("i", item), Text: strings.Repeat("x", n), Events: 1}, From: from}
	}
	c.apply(checkpointNotice{Term: 1, Full: true, Items: []itemDelta{delta(0, 0, 1000)}})
	for from := 0; from < 400<<10; from += 20 << 10 {
		n := checkpointNotice{Term: 1}
		for i := 1; i < 20; i++ {
			n.Items = append(n.Items, delta(i, from, 20<<10))
		}
		c.apply(n)
		held := 0
		for _, p := range c.Items() {
			held += len(p.Text)
		}
		require.EqualValues(t, held, c.bytes)
		require.LessOrEqual(t, held, 2*limit)
	}
	require.Contains(t, c.Items(), ItemProgress{Job: "j", Item: "i0", Text: strings.Repeat("x", 1000), Events: 1}, "an item with less than its share stays")
	c.apply(checkpointNotice{Term: 1, Ended: [][2]string{{"j", "i0"}}})
	c.apply(checkpointNotice{Term: 2})
	require.Zero(t, c.bytes)
}
