package home

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mothcart/core/batch"
	"mothcart/core/site"
	"mothcart/core/submission"
	"mothcart/io/link"
	"mothcart/io/object"
	"mothcart/io/store"
	"mothcart/platform/fake"
)

// Guards against a refusal of a job by a home that was told of another attempt before it could decide about room.
func TestAttemptIsKnownToAHomeThatDecidesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newReconnectSite(t)
		h, server := s.startHome(1)
		time.Sleep(time.Second)
		job := batch.Job{ID: "j1"}
		first, second := s.clients[0], s.clients[1]
		a := first.BeginSubmission(job.ID)
		_, err := first.Reserve(t.Context(), job, a)
		require.ErrorIs(t, err, ErrNoHome, "it has not loaded the jobs and has no route")
		h.mu.Lock()
		h.listedOnce = true
		h.mu.Unlock()
		time.Sleep(settleGrace)
		require.Equal(t, Unsettled, second.Withdraw(t.Context(), second.BeginSubmission(job.ID), job))
		require.Equal(t, Settled, first.Withdraw(t.Context(), a, job))
		require.Equal(t, Settled, second.Withdraw(t.Context(), second.BeginSubmission(job.ID), job))
		s.close(server)
		h.Close()
	})
}

// Guards against an attempt that no home knows, since it began between a node's hello and the use of the connection.
func TestAttemptDuringAHelloIsKnownToTheHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newReconnectSite(t)
		job := batch.Job{ID: "j1"}
		first, second := s.clients[0], s.clients[1]
		h, server := s.startHome(1)
		time.Sleep(reconnectDelay / 2)
		a := first.BeginSubmission(job.ID)
		_, err := first.Reserve(t.Context(), job, a)
		require.ErrorIs(t, err, ErrNoHome, "the connection isn't used yet")
		h.mu.Lock()
		h.listedOnce = true
		h.mu.Unlock()
		time.Sleep(settleGrace)
		require.Equal(t, Unsettled, second.Withdraw(t.Context(), second.BeginSubmission(job.ID), job))
		require.Equal(t, Settled, first.Withdraw(t.Context(), a, job))
		s.close(server)
		h.Close()
	})
}

// Guards against a home that refuses a job by the word of a later attempt, since the first one came before the home had
// loaded the jobs or had a route.
func TestUndecidedHomeRemembersTheAttempt(t *testing.T) {
	now := time.Unix(1, 0)
	h := &Home{
		jobs: map[string]*job{}, submissions: submission.NewTable(),
		opts: Options{Config: func() site.Config { return site.Config{} }, Now: func() time.Time { return now }, Log: zerolog.Nop()},
	}
	require.True(t, h.room(reserveRequest{Job: "j1", Attempt: "e1/1"}).Undecided)
	require.Equal(t, []submission.Attempt{{Job: "j1", ID: "e1/1"}}, h.submissions.Open(now))
}

// Guards against a home that refuses a job which it may have stored itself for another node, since that node's request for room
// came while it connected.
func TestHomeRemembersTheAttemptsThatItWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &Home{ctx: t.Context(), jobs: map[string]*job{}, submissions: submission.NewTable(), opts: Options{Now: time.Now, Log: zerolog.Nop(),
			Registry: metrics.NewRegistry(),
			Objects: object.Client{Create: func(context.Context, string, string, any) (object.Object, error) {
				return object.Object{}, store.ErrUnknown
			}, Get: func(context.Context, string, string) (object.Object, error) {
				return object.Object{}, store.ErrUnavailable
			}}}}
		network := fake.NewNetwork()
		l, err := network.Listen(t.Context(), "10.2.0.1:7660")
		require.NoError(t, err)
		server := link.NewServer(l, link.Options{Handle: func(_ *link.Conn, in link.Incoming) { h.handle(&session{}, in) }})
		defer server.Close()
		dial := func(ctx context.Context, _, address string) (net.Conn, error) {
			return network.Dial(ctx, "10.1.0.1", address)
		}
		c, err := link.Dial(t.Context(), dial, "10.2.0.1:7660", link.Options{Handle: func(*link.Conn, link.Incoming) {}})
		require.NoError(t, err)
		defer c.Close()
		var a writeAnswer
		require.NoError(t, c.Call(t.Context(), methodSubmit, submitRequest{ID: "j1", Attempt: "e1/1", Job: batch.Job{ID: "j1"}}, &a))
		require.Equal(t, writeUnknown, a.Outcome)
		require.Equal(t, []submission.Attempt{{Job: "j1", ID: "e1/1"}}, h.submissions.Open(time.Now()))
	})
}
