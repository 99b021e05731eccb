package job

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"mothcart/core/job"
	fakestore "mothcart/fake/store"
	"mothcart/io/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fleet is several VMs in one process that use one fake object service.
type fleet struct {
	t     *testing.T
	store *fakestore.Store
	mu    sync.Mutex
	vms   map[string]*Jobs
	dead  map[string]bool
	serve map[string]map[string]handler
	// view overrides the live members by VM.
	view map[string][]string
	// gates holds the channels on which paused VMs wait at their calls to the store and to peers.
	gates map[string]chan struct{}
	// isolated VMs can't exchange messages with peers, but stay in the list of members.
	isolated map[string]bool
	// onStoreCall is called before and after each store call of a VM, if set.
	onStoreCall func(id string, n int, after bool)
	calls       map[string]int
}

func newFleet(t *testing.T, s *fakestore.Store, ids ...string) *fleet {
	f := &fleet{
		t:        t,
		store:    s,
		vms:      map[string]*Jobs{},
		dead:     map[string]bool{},
		serve:    map[string]map[string]handler{},
		view:     map[string][]string{},
		gates:    map[string]chan struct{}{},
		calls:    map[string]int{},
		isolated: map[string]bool{},
	}
	for _, id := range ids {
		f.add(id)
	}
	for _, id := range ids {
		f.start(id, func(o Options) Options { return o })
	}
	return f
}

// add registers VM id, so that it can be started.
func (f *fleet) add(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.serve[id] = map[string]handler{}
	f.dead[id] = true
}

func (f *fleet) start(id string, change func(Options) Options) {
	f.mu.Lock()
	f.dead[id] = false
	f.mu.Unlock()
	members := func() []string { return f.members(id) }
	opts := NewOptions(id, f.client(id)).WithMembers(members).WithPeers(f.peers(id))
	j, err := New(change(opts))
	require.NoError(f.t, err)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms[id] = j
}

// client returns the store client of VM id, which counts its calls and can be paused.
func (f *fleet) client(id string) store.Client {
	c := f.store.Client()
	around := func() func() {
		f.mu.Lock()
		f.calls[id]++
		n, onCall := f.calls[id], f.onStoreCall
		f.mu.Unlock()
		step := func(after bool) {
			if onCall != nil {
				onCall(id, n, after)
			}
			f.waitWhilePaused(id)
		}
		step(false)
		return func() { step(true) }
	}
	return store.Client{
		Get: func(ctx context.Context, key string) (store.Object, error) {
			defer around()()
			return c.Get(ctx, key)
		},
		Put: func(ctx context.Context, key string, value []byte, expect store.Version) (store.Version, error) {
			defer around()()
			return c.Put(ctx, key, value, expect)
		},
		Delete: func(ctx context.Context, key string, expect store.Version) error {
			defer around()()
			return c.Delete(ctx, key, expect)
		},
		List: func(ctx context.Context, prefix, after string, limit int) ([]store.Object, error) {
			defer around()()
			return c.List(ctx, prefix, after, limit)
		},
	}
}

// waitWhilePaused blocks while VM id is paused.
func (f *fleet) waitWhilePaused(id string) {
	f.mu.Lock()
	gate := f.gates[id]
	f.mu.Unlock()
	if gate != nil {
		<-gate
	}
}

// pause stops VM id at its next call of the store or of a peer, and its workers, until d has passed.
func (f *fleet) pause(id string, d time.Duration) {
	gate := make(chan struct{})
	f.mu.Lock()
	f.gates[id] = gate
	f.mu.Unlock()
	time.AfterFunc(d, func() {
		f.mu.Lock()
		delete(f.gates, id)
		f.mu.Unlock()
		close(gate)
	})
}

// members returns the live VMs in the view of VM viewer.
func (f *fleet) members(viewer string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v := f.view[viewer]; v != nil {
		return v
	}
	var ids []string
	for id := range f.serve {
		if !f.dead[id] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

var errUnreachable = errors.New("peer unreachable")

func (f *fleet) peers(id string) Peers {
	find := func(to, method string) handler {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.dead[to] || f.dead[id] || f.isolated[to] || f.isolated[id] {
			return nil
		}
		return f.serve[to][method]
	}
	return Peers{
		Handle: func(method string, h func(context.Context, string, []byte) ([]byte, error)) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.serve[id][method] = h
		},
		Call: func(ctx context.Context, to, method string, body []byte) ([]byte, error) {
			f.waitWhilePaused(id)
			h := find(to, method)
			if h == nil {
				return nil, errUnreachable
			}
			f.waitWhilePaused(to)
			return h(ctx, id, body)
		},
		Notify: func(to, method string, body []byte) error {
			h := find(to, method)
			if h == nil {
				return errUnreachable
			}
			go func() {
				f.waitWhilePaused(id)
				f.waitWhilePaused(to)
				_, _ = h(context.Background(), id, body)
			}()
			return nil
		},
	}
}

// kill ends a VM as a crash does, without releasing its chunks.
func (f *fleet) kill(id string) {
	f.mu.Lock()
	f.dead[id] = true
	j := f.vms[id]
	delete(f.vms, id)
	f.mu.Unlock()
	j.mu.Lock()
	j.closed = true
	for _, h := range j.heldChunks.all() {
		j.drop(h)
	}
	j.mu.Unlock()
	close(j.done)
	j.cancel()
	j.wg.Wait()
	j.codec.close()
}

func (f *fleet) close() {
	f.mu.Lock()
	vms := f.vms
	f.vms = map[string]*Jobs{}
	f.mu.Unlock()
	for _, j := range vms {
		j.Close()
	}
}

func items(n int) []ItemSpec {
	list := make([]ItemSpec, n)
	for i := range list {
		list[i] = ItemSpec{CustomID: fmt.Sprintf("item-%d", i), Body: fmt.Appendf(nil, `{"prompt":"rota of parish %d"}`, i)}
	}
	return list
}

// dispatch runs a worker on a VM that takes items of model m until the VM's jobs are closed. It polls
// every 50 ms while items are running, else every second.
func (f *fleet) dispatch(id string, concurrency int, run func(j *Jobs, item Item)) {
	f.mu.Lock()
	j := f.vms[id]
	f.mu.Unlock()
	go func() {
		slots := make(chan struct{}, concurrency)
		pause := time.Second
		for {
			select {
			case <-j.done:
				return
			case <-time.After(pause):
			}
			pause = time.Second
			if len(slots) > 0 {
				pause = 50 * time.Millisecond
			}
			f.waitWhilePaused(id)
			for _, item := range j.Take("m", concurrency-len(slots)) {
				slots <- struct{}{}
				go func() {
					run(j, item)
					<-slots
				}()
			}
		}
	}()
}

// answerItem is a worker that needs 100 ms for an item.
func answerItem(j *Jobs, item Item) {
	if j.Start(item) {
		finishItem(j, item)
	}
}

func finishItem(j *Jobs, item Item) {
	select {
	case <-item.Context().Done():
		j.Return(item)
	case <-time.After(100 * time.Millisecond):
		j.Done(item, Result{Status: 200, Body: []byte(`{"answer":"` + item.CustomID + `"}`)})
	}
}

// finished waits until the job has ended and returns its outcomes, which must be exactly one per item.
func finished(t *testing.T, j *Jobs, id string, limit time.Duration) (Status, []Outcome) {
	t.Helper()
	end := time.Now().Add(limit)
	for {
		s, err := j.Get(t.Context(), "team", id)
		if err == nil && s.Head.State.Terminal() {
			return s, outcomes(t, j, s)
		}
		require.True(t, time.Now().Before(end), "the job has not ended: %+v, %v", s.Counts, err)
		time.Sleep(time.Second)
	}
}

func outcomes(t *testing.T, j *Jobs, s Status) []Outcome {
	t.Helper()
	var list []Outcome
	seen := map[int]bool{}
	require.NoError(t, j.Results(t.Context(), "team", s.Head.ID, func(o Outcome) bool {
		require.False(t, seen[o.Index], "two outcomes of item %d", o.Index)
		seen[o.Index] = true
		list = append(list, o)
		return true
	}))
	if s.Head.State.Terminal() {
		require.Len(t, list, s.Head.Items)
	}
	return list
}

func spec(n int) Spec {
	return Spec{Team: "team", Key: "lot", Model: "m", Endpoint: "/v1/chat/completions", Items: items(n)}
}

// Guards against lost outcomes and a second job for a repeated submission when several VMs run one job.
func TestJobRunsOnSeveralVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fakestore.New(fakestore.NewOptions().WithLatency(2 * time.Millisecond))
		f := newFleet(t, s, "e1", "e2", "e3")
		defer f.close()
		for _, id := range []string{"e1", "e2", "e3"} {
			f.dispatch(id, 32, answerItem)
		}
		status, err := f.vms["e1"].Submit(t.Context(), spec(2000))
		require.NoError(t, err)
		again, err := f.vms["e2"].Submit(t.Context(), spec(2000))
		require.NoError(t, err)
		assert.Equal(t, status.Head.ID, again.Head.ID)
		_, err = f.vms["e2"].Submit(t.Context(), spec(2001))
		require.ErrorIs(t, err, ErrKeyReused)
		end, list := finished(t, f.vms["e3"], status.Head.ID, 5*time.Minute)
		assert.Equal(t, job.Completed, end.Head.State)
		assert.Equal(t, job.Counts{Succeeded: 2000}, end.Counts)
		assert.Equal(t, `{"answer":"item-7"}`, string(list[7].Body))
		page, err := f.vms["e1"].List(t.Context(), "team", "", 10)
		require.NoError(t, err)
		assert.Len(t, page.Jobs, 1)
		t.Logf("calls %+v, ended after %s", s.Calls(), end.Head.Ended.Sub(end.Head.Created))
	})
}
