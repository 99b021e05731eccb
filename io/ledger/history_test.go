package ledger

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	core "mothcart/core/ledger"
	fakestore "mothcart/fake/store"
)

// oneShard returns options of one VM with one shard and without a limit on writes.
func oneShard(self string, s *fakestore.Store, u *upstream) Options {
	opts := testOptions(self, s, u)
	opts.Shards = 1
	opts.WritesPerSecond, opts.WriteBurst = 1e6, 1e6
	return opts
}

// keys returns the number of objects under the prefix.
func keys(t *testing.T, s *fakestore.Store, prefix string) int {
	listed, err := s.Client().List(t.Context(), prefix, "", 10000)
	require.NoError(t, err)
	return len(listed)
}

// A key whose record was moved from the head into a block must not run again when it is resent to a new home.
// The new home must find the record with a bounded number of reads.
func TestResendFindsSealedKeyAfterTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstream{}
		s := fakestore.New(fakestore.NewOptions().WithRates(1e6, 1e6))
		opts := oneShard("e1", s, u)
		opts.Limits = opts.Limits.WithSealBytes(1000)
		l := New(opts)
		const n = 400
		var outcomes []Outcome
		for i := range n {
			o, err := l.Do(t.Context(), testRequest(fmt.Sprint(i)))
			require.NoError(t, err)
			outcomes = append(outcomes, o)
		}
		l.Close()
		assert.Positive(t, keys(t, s, "ledger/000/index/"), "small blocks were merged")
		assert.Less(t, keys(t, s, "ledger/000/block/"), 32, "merged blocks are deleted")

		opts.Self = "e2"
		opts.Members = func() []string { return []string{"e2"} }
		opts.Store = s.Client()
		l = New(opts)
		defer l.Close()
		before := s.Calls().Reads
		o, err := l.Do(t.Context(), testRequest("0"))
		require.NoError(t, err)
		assert.Equal(t, outcomes[0], o)
		assert.Less(t, s.Calls().Reads-before, uint64(40), "reads of a takeover and a resend")
		for i := range n {
			r, err := l.Lookup(t.Context(), "rota", outcomes[i].ID)
			require.NoError(t, err)
			assert.Equal(t, outcomes[i], r.Outcome)
		}
		assert.Equal(t, n, u.all)
	})
}

func TestRetentionDropsBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstream{}
		s := fakestore.New(fakestore.NewOptions().WithRates(1e6, 1e6))
		opts := oneShard("e1", s, u)
		opts.Limits = opts.Limits.WithSealBytes(1000).WithRetention(time.Hour)
		l := New(opts)
		defer l.Close()
		for i := range 300 {
			_, err := l.Do(t.Context(), testRequest(fmt.Sprint("old ", i)))
			require.NoError(t, err)
		}
		old := keys(t, s, "ledger/000/")
		time.Sleep(2 * time.Hour)
		for i := range 60 {
			_, err := l.Do(t.Context(), testRequest(fmt.Sprint("new ", i)))
			require.NoError(t, err)
			time.Sleep(time.Second)
		}
		_, err := l.Lookup(t.Context(), "rota", core.NewID("rota", "old 1").String())
		require.ErrorIs(t, err, ErrNotFound)
		_, err = l.Lookup(t.Context(), "rota", core.NewID("rota", "new 1").String())
		require.NoError(t, err)
		assert.Less(t, keys(t, s, "ledger/000/"), old)
	})
}

func TestLargeBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstream{}
		s := fakestore.New(fakestore.NewOptions().WithRates(1e6, 1e6))
		l := New(oneShard("e1", s, u))
		defer l.Close()
		req := testRequest("large")
		req.Idempotent = true
		req.Payload = make([]byte, 3<<20)
		rng := rand.NewChaCha8([32]byte{})
		_, _ = rng.Read(req.Payload)
		id, err := l.Accept(t.Context(), req)
		require.NoError(t, err)
		time.Sleep(time.Minute)
		r, err := l.Lookup(t.Context(), "rota", id)
		require.NoError(t, err)
		assert.Equal(t, append([]byte("answer to "), req.Payload...), r.Answer.Body)
		req = testRequest("too large")
		req.Idempotent = true
		req.Payload = make([]byte, maxPayloadBytes+1)
		_, err = l.Accept(t.Context(), req)
		require.ErrorIs(t, err, ErrDidNotRun)
	})
}

// Requests above the limit of open requests must be refused, and an outage while the open ones run must not
// lose their results.
func TestOpenRequestsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstream{}
		s := fakestore.New(fakestore.NewOptions())
		opts := oneShard("e1", s, u)
		opts.Limits = opts.Limits.WithMaxOpen(10)
		release := make(chan struct{})
		opts.Execute = func(ctx context.Context, req Request) (Answer, error) {
			<-release
			return u.execute(ctx, req)
		}
		l := New(opts)
		defer l.Close()
		for i := range 10 {
			_, err := l.Accept(t.Context(), testRequest(fmt.Sprint(i)))
			require.NoError(t, err)
		}
		_, err := l.Accept(t.Context(), testRequest("one too many"))
		require.ErrorIs(t, err, ErrDidNotRun)
		s.SetOutage(true)
		close(release)
		time.Sleep(time.Minute)
		s.SetOutage(false)
		require.NoError(t, l.Drain(t.Context()))
		for i := range 10 {
			r, err := l.Lookup(t.Context(), "rota", core.NewID("rota", fmt.Sprint(i)).String())
			require.NoError(t, err)
			assert.Equal(t, core.Done, r.State, "results that were not yet written survived the outage")
		}
	})
}

// The object service fails between the intent and the result. The call must return after Options.ResultWait, and
// a resend after the outage must return the recorded outcome without a second execution.
func TestAnswerThatIsNotDurableInTime(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			u := &upstream{}
			s := fakestore.New(fakestore.NewOptions())
			opts := oneShard("e1", s, u)
			opts.Execute = func(ctx context.Context, req Request) (Answer, error) {
				s.SetOutage(true)
				return u.execute(ctx, req)
			}
			l := New(opts)
			defer l.Close()
			req := testRequest("swap")
			req.Idempotent = idempotent
			start := time.Now()
			o, err := l.Do(t.Context(), req)
			assert.Equal(t, opts.ResultWait, time.Since(start))
			if idempotent {
				require.ErrorIs(t, err, ErrMayHaveRun)
			} else {
				require.NoError(t, err)
				assert.False(t, o.Recorded)
				assert.Equal(t, 200, o.Answer.Status)
			}
			s.SetOutage(false)
			time.Sleep(time.Minute)
			again, err := l.Do(t.Context(), req)
			require.NoError(t, err)
			assert.True(t, again.Recorded)
			assert.Equal(t, 1, u.all)
		})
	}
}

// Many results that become ready at once exceed the largest object together. If all were put into one head, it
// could never be written and no result would become durable.
func TestHeadStaysUnderTheObjectSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstream{}
		s := fakestore.New(fakestore.NewOptions().WithRates(1e6, 1e6))
		opts := oneShard("e1", s, u)
		release := make(chan struct{})
		opts.Execute = func(_ context.Context, req Request) (Answer, error) {
			<-release
			body := make([]byte, inlineBytes)
			_, _ = rand.NewChaCha8([32]byte([]byte(req.ID))).Read(body)
			return Answer{Status: 200, Body: body}, nil
		}
		l := New(opts)
		defer l.Close()
		const n = 400
		for i := range n {
			_, err := l.Accept(t.Context(), testRequest(fmt.Sprint(i)))
			require.NoError(t, err)
		}
		close(release)
		require.NoError(t, l.Drain(t.Context()))
		for i := range n {
			r, err := l.Lookup(t.Context(), "rota", core.NewID("rota", fmt.Sprint(i)).String())
			require.NoError(t, err)
			assert.Equal(t, core.Done, r.State)
		}
	})
}

// A process that crashes between writing an object and the head that references it leaves an orphan. The sweep
// must delete orphans but no object that is in use.
func TestSweepDeletesOrphansOfCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstream{}
		s := fakestore.New(fakestore.NewOptions().WithRates(1e6, 1e6))
		opts := oneShard("e1", s, u)
		opts.Limits = opts.Limits.WithSealBytes(1000)
		crashed := New(opts)
		for i := range 30 {
			_, err := crashed.Do(t.Context(), testRequest(fmt.Sprint(i)))
			require.NoError(t, err)
		}
		var orphans []string
		for _, kind := range []string{blockKind, indexKind, partKind} {
			key := crashed.shards[0].newKey(kind)
			orphans = append(orphans, key)
			require.NoError(t, crashed.shards[0].putObject(t.Context(), key, []byte("orphan")))
		}
		crashed.Close()
		opts.Limits = opts.Limits.WithSealBytes(1 << 20)
		l := New(opts)
		defer l.Close()
		_, err := l.Do(t.Context(), testRequest("first"))
		require.NoError(t, err)
		time.Sleep(sweepDelay + 3*idlePause)
		for i, want := range []int{0, 0, 1} {
			assert.Equal(t, want, keys(t, s, orphans[i]), "only the young part stays: %s", orphans[i])
		}
		for i := range 30 {
			_, err := l.Lookup(t.Context(), "rota", core.NewID("rota", fmt.Sprint(i)).String())
			require.NoError(t, err)
		}
	})
}
