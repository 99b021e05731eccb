package home

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mothcart/io/object"
	"mothcart/io/store"
)

// leaseClient is an object service that stores the lease and the announcement.
type leaseClient struct {
	mu      sync.Mutex
	objects map[string]object.Object
	last    object.Revision
}

func (c *leaseClient) client() object.Client {
	return object.Client{
		Get: func(_ context.Context, kind, _ string) (object.Object, error) {
			c.mu.Lock()
			defer c.mu.Unlock()
			o, ok := c.objects[kind]
			if !ok {
				return o, store.ErrNotFound
			}
			return o, nil
		},
		Create: func(_ context.Context, kind, _ string, spec any) (object.Object, error) {
			o, err := c.write(kind, spec, 0)
			if err != nil {
				o = object.Object{} // only calls with a revision are promised the object
			}
			return o, err
		},
		Put: func(_ context.Context, kind, _ string, spec any, expect object.Revision) (object.Object, error) {
			return c.write(kind, spec, expect)
		},
	}
}

func (c *leaseClient) write(kind string, spec any, expect object.Revision) (object.Object, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if current := c.objects[kind]; current.Revision != expect {
		return current, store.ErrConflict
	}
	b, err := json.Marshal(spec)
	if err != nil {
		return object.Object{}, err
	}
	c.last++
	c.objects[kind] = object.Object{Name: mainName, Revision: c.last, Spec: b}
	return c.objects[kind], nil
}

// Of dozens of home nodes only the preferred ones compete for a lease that nobody holds. A node whose VM held the
// lease before its process ended takes it at once all the same, since no other may for some time.
func TestPreferredNodesTakeTheLeaseFirst(t *testing.T) {
	for _, tc := range []struct {
		name      string
		preferred bool
		held      *lease
		within    time.Duration
		notBefore time.Duration
	}{
		{"preferred, first start", true, nil, 10 * time.Millisecond, 0},
		{"not preferred, first start", false, nil, lateLeasePollInterval + 10*time.Millisecond, lateLeasePollInterval},
		{"not preferred, held by an earlier process of the VM", false, &lease{Term: 4, VM: "s9", Incarnation: 1}, 10 * time.Millisecond, 0},
		{"preferred, held by a lost VM", true, &lease{Term: 4, VM: "s1", Incarnation: 1}, takeoverAfter + leasePollInterval, takeoverAfter},
	} {
		t.Run(tc.name, func(t *testing.T) {
			at := timeToBecomeHome(t, tc.preferred, tc.held)
			require.GreaterOrEqual(t, at, tc.notBefore)
			require.LessOrEqual(t, at, tc.within)
		})
	}
}

// timeToBecomeHome returns how long a node of VM s9 takes to become the home if held is the stored lease; nil means none.
func timeToBecomeHome(t *testing.T, preferred bool, held *lease) time.Duration {
	var took time.Duration
	synctest.Test(t, func(t *testing.T) {
		c := &leaseClient{objects: map[string]object.Object{}}
		if held != nil {
			_, err := c.write(KindLease, *held, 0)
			require.NoError(t, err)
		}
		started := make(chan time.Time, 1)
		began := time.Now()
		e := NewElector(ElectorOptions{
			VMID: "s9", Incarnation: 2, Address: "10.2.0.9:7660", Objects: c.client(),
			Healthy: func() bool { return false }, Isolated: func() bool { return false }, IsPreferred: func() bool { return preferred },
			Start: func(int64, func(time.Time) bool) (stop, awaitHandover func()) {
				started <- time.Now()
				return func() {}, func() {}
			},
			LastTerm: func() int64 { return 0 }, IsFallback: func(context.Context) bool { return false }, Now: time.Now, Log: zerolog.Nop(),
		})
		took = (<-started).Sub(began)
		e.Close()
	})
	return took
}

// Guards against the announcement of a later home that an earlier one writes over without a condition, since the answer to the
// creation doesn't hold the object that exists.
func TestAnnouncementOfALaterHomeStays(t *testing.T) {
	c := &leaseClient{objects: map[string]object.Object{}}
	e := &Elector{opts: ElectorOptions{VMID: "s1", Address: "10.2.0.1:7000", Objects: c.client(), Log: zerolog.Nop()}}
	for _, step := range []struct{ term, want int64 }{{4, 4}, {7, 7}, {5, 7}, {7, 7}, {8, 8}} {
		require.True(t, e.announce(t.Context(), step.term))
		a, err := decodeAnnouncement(c.objects[KindHomes])
		require.NoError(t, err)
		require.Equal(t, step.want, a.Term, "after the home of term %d", step.term)
	}
}

// Guards against a lease that nobody uses: its creation was executed without an answer, and the repetition is told that the object
// exists, without the object.
func TestLeaseWhoseCreationWasNotAnsweredIsOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &leaseClient{objects: map[string]object.Object{}}
		client := c.client()
		create := client.Create
		var attempts atomic.Int64
		client.Create = func(ctx context.Context, kind, name string, spec any) (object.Object, error) {
			o, err := create(ctx, kind, name, spec)
			if attempts.Add(1) == 1 {
				<-ctx.Done() // its connection is silent from now on
				return object.Object{}, store.ErrUnknown
			}
			return o, err
		}
		e := &Elector{opts: ElectorOptions{VMID: "s1", Incarnation: 5, Objects: client, Now: time.Now, Log: zerolog.Nop()}}
		term, ok := e.tryAcquire(t.Context(), false)
		require.True(t, ok)
		require.EqualValues(t, 1, term)
		require.Equal(t, c.objects[KindLease].Revision, e.seen.Revision)
	})
}
