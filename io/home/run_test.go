package home

import (
	"context"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mothcart/core/batch"
	"mothcart/core/poison"
	"mothcart/core/site"
	"mothcart/core/slot"
	"mothcart/io/forward"
)

// An item's slot may go to an online request after it was granted to the item and before the attempt starts.
// The attempt must then not start, since it would use a slot that it no longer has.
func TestItemPreemptedBeforeItStartsDoesNotStart(t *testing.T) {
	h := &Home{
		ctx: context.Background(), jobs: map[string]*job{}, runners: map[string]*runnerNode{},
		opts: Options{Config: func() site.Config { return site.Config{} }, Now: time.Now, Log: zerolog.Nop()},
	}
	h.metrics.runs, h.metrics.preemptions = metrics.NewCounter(), metrics.NewCounter()
	h.pool = NewSlotPool(slot.NewOptions(), time.Now, func([]poison.Finding) {}, func([]slot.LimitChange) {})
	r := newRun(&h.texts, "j", batch.Item{ID: "i"})
	r.key = slot.Key{Owner: batchOwner, ID: 1}
	h.preempt(r)
	h.startRun(r, slot.Grant{Request: slot.Request{Key: r.key, Batch: true}})
	require.Zero(t, h.metrics.runs.Count())
	require.Nil(t, r.cancel)

	h.startRun(r, slot.Grant{Request: slot.Request{Key: r.key, Batch: true}})
	require.Equal(t, int64(1), h.metrics.runs.Count(), "a later grant starts an attempt")
}

// Guards against texts of items that hold lines of which the upstream sent no event.
func TestEmptyLinesAndCommentsAreNoEvents(t *testing.T) {
	s := new(stream)
	for _, e := range []forward.Event{
		{Raw: []byte("\n\nid: 1\ndata: a\n\n"), ID: "1"},
		{Raw: []byte(": still here\n\n")},
		{Raw: []byte("id: 2\ndata: b\n\n"), ID: "2"},
		{Raw: []byte("\n\n")},
	} {
		require.NoError(t, s.add(e))
	}
	require.Equal(t, "a\nb", s.text.String())
	require.Equal(t, 2, s.events)
}
