package ledger

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	core "mothcart/core/ledger"
	fakestore "mothcart/fake/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// upstream counts the executions of each request.
type upstream struct {
	mu   sync.Mutex
	runs map[string]int
	all  int
}

func (u *upstream) execute(_ context.Context, req Request) (Answer, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.runs == nil {
		u.runs = map[string]int{}
	}
	u.runs[req.ID]++
	u.all++
	header := []Field{{Name: "Run", Value: strconv.Itoa(u.all)}}
	return Answer{Status: 200, Header: header, Body: append([]byte("answer to "), req.Payload...)}, nil
}

func (u *upstream) count(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

// testOptions returns the options of one VM with the fake object service and the counting upstream.
func testOptions(self string, s *fakestore.Store, u *upstream) Options {
	opts := NewOptions()
	opts.Self = self
	opts.Members = func() []string { return []string{self} }
	opts.Store = s.Client()
	opts.Execute = u.execute
	return opts
}

func testRequest(key string) Request {
	return Request{Team: "rota", Key: key, BodyHash: HashBody([]byte(key)), Payload: []byte(key)}
}

func TestOneVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		u := &upstream{}
		l := New(testOptions("e1", fakestore.New(fakestore.NewOptions().WithLatency(5*time.Millisecond)), u))
		defer l.Close()

		first, err := l.Do(ctx, testRequest("swap 1"))
		require.NoError(t, err)
		assert.True(t, first.Recorded)
		assert.Equal(t, "answer to swap 1", string(first.Answer.Body))
		again, err := l.Do(ctx, testRequest("swap 1"))
		require.NoError(t, err)
		assert.Equal(t, first, again)
		assert.Equal(t, 1, u.count(first.ID))

		other := testRequest("swap 1")
		other.BodyHash = HashBody([]byte("another body"))
		_, err = l.Do(ctx, other)
		require.ErrorIs(t, err, ErrBodyMismatch)

		id, err := l.Accept(ctx, testRequest("swap 2"))
		require.NoError(t, err)
		time.Sleep(2 * time.Second)
		r, err := l.Lookup(ctx, "rota", id)
		require.NoError(t, err)
		assert.Equal(t, core.Done, r.State)
		assert.True(t, r.Recorded)
		assert.Equal(t, 1, u.count(id))
		_, err = l.Lookup(ctx, "another team", id)
		require.ErrorIs(t, err, ErrNotFound)

		keyless, err := l.Do(ctx, Request{Team: "rota", Payload: []byte("x")})
		require.NoError(t, err)
		assert.False(t, keyless.Recorded)
		require.NoError(t, l.Drain(ctx))
	})
}

// While the object service is unreachable, a request must be refused without being sent, and must run once
// when it is sent again after the outage.
func TestOutageRefusesNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		u := &upstream{}
		s := fakestore.New(fakestore.NewOptions())
		l := New(testOptions("e1", s, u))
		defer l.Close()
		_, err := l.Do(ctx, testRequest("before"))
		require.NoError(t, err)
		s.SetOutage(true)
		_, err = l.Do(ctx, testRequest("during"))
		require.ErrorIs(t, err, ErrDidNotRun)
		assert.Zero(t, u.count(core.NewID("rota", "during").String()))
		s.SetOutage(false)
		time.Sleep(maxBackoff)
		_, err = l.Do(ctx, testRequest("during"))
		require.NoError(t, err)
		assert.Equal(t, 1, u.count(core.NewID("rota", "during").String()))
	})
}
