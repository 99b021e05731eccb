package node

import (
	"encoding/json"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mothcart/io/object"
	"mothcart/platform"
)

// Guards against an upstream that a node keeps for ever, since two sources told of its entry and of the entry's removal at the same
// time.
func TestChangesOfTwoSourcesAreAppliedInTheirOrder(t *testing.T) {
	var calls atomic.Int64
	var order []bool
	begun, gate := make(chan struct{}), make(chan struct{})
	now := time.Unix(1000, 0)
	b := &base{
		mirrors: map[string]*object.Mirror{platform.KindUpstreams: object.NewMirror()}, publishedAt: now, publishPending: true,
		onEvents: func(_ string, events []object.Event) { order = append(order, events[0].Deleted) },
	}
	b.opts.Log = zerolog.Nop()
	b.opts.Now = func() time.Time {
		if calls.Add(1) == 1 {
			close(begun)
			<-gate // the first change is decoded
		}
		return now
	}
	spec := json.RawMessage(`{"state":"ready","service":"desk","version":"1","address":"10.0.0.1:80","slots":1}`)
	entry := object.Object{Name: "u1", Revision: 5, Spec: spec}
	var sources sync.WaitGroup
	sources.Go(func() {
		b.receive(platform.KindUpstreams, object.Change{Listed: true, At: 5, Objects: []object.Object{entry}})
	})
	<-begun
	removed := make(chan struct{})
	sources.Go(func() {
		entry.Revision = 7
		b.receive(platform.KindUpstreams, object.Change{Events: []object.Event{{Object: entry, Deleted: true}}})
		close(removed)
	})
	select {
	case <-removed:
	case <-time.After(50 * time.Millisecond): // it waits for the first one
	}
	close(gate)
	sources.Wait()
	list, _ := b.directory.Upstreams(now.Add(time.Hour))
	require.Empty(t, list)
	require.Equal(t, []bool{false, true}, order, "in which the home sends them on")
}
