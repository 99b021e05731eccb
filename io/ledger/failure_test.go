package ledger

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	core "mothcart/core/ledger"
	fakestore "mothcart/fake/store"
)

// callResult is the reply to one call.
type callResult struct {
	outcome Outcome
	err     error
}

// callers collects the replies to all calls for one key.
type callers struct {
	mu      sync.Mutex
	results []callResult
	wg      sync.WaitGroup
}

func (a *callers) do(n *node, req Request) {
	a.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
		defer cancel()
		o, err := n.l.Do(ctx, req)
		a.mu.Lock()
		defer a.mu.Unlock()
		a.results = append(a.results, callResult{o, err})
	})
}

// doAtAll sends the request to each live node in the background.
func (a *callers) doAtAll(c *cluster, req Request) {
	for _, id := range c.live() {
		a.do(c.node(id), req)
	}
}

// check asserts the guarantees that hold after any failure.
func (a *callers) check(t *testing.T, runs int, idempotent bool) {
	refused := 0
	var recorded *Outcome
	for _, result := range a.results {
		switch {
		case result.err == nil && result.outcome.Recorded:
			if recorded == nil {
				recorded = &result.outcome
			}
			assert.Equal(t, *recorded, result.outcome, "every caller gets the recorded outcome")
		case result.err == nil:
			assert.False(t, idempotent)
			assert.Equal(t, core.Done, result.outcome.State)
		case errors.Is(result.err, ErrDidNotRun):
			refused++
		default:
			require.ErrorIs(t, result.err, ErrMayHaveRun)
		}
	}
	if refused == len(a.results) {
		assert.Zero(t, runs, "all were refused as not run")
	}
	if !idempotent {
		assert.LessOrEqual(t, runs, 1, "a non-idempotent request runs at most once")
	}
}

// scenario is one failure of the home of a key.
type scenario struct {
	at          point
	fault       fault
	idempotent  bool
	loseAnswers bool
	outage      bool
	// again injects the fault into the next home too, at the same point.
	again bool
}

func (s scenario) String() string {
	return fmt.Sprintf("%s %s, idempotent=%t lost=%t outage=%t again=%t", s.fault, s.at, s.idempotent, s.loseAnswers, s.outage, s.again)
}

func scenarios() []scenario {
	var all []scenario
	for _, at := range points {
		for _, kind := range []fault{crashNode, pauseNode} {
			for bits := range 16 {
				all = append(all, scenario{at, kind, bits&1 > 0, bits&2 > 0, bits&4 > 0, bits&8 > 0})
			}
		}
	}
	return all
}

// arm prepares the node so that the fault is injected when it reaches the point.
func (s scenario) arm(c *cluster, n *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.at, n.puts = s.at, 0
	n.inject = func() {
		c.store.SetOutage(s.outage)
		if s.fault == crashNode {
			n.crash()
		} else {
			n.pause()
		}
	}
}

func (s scenario) run(t *testing.T) {
	opts := fakestore.NewOptions().WithLatency(5 * time.Millisecond)
	if s.loseAnswers {
		opts = opts.WithLostAnswerShare(0.5)
	}
	c := newCluster(t, fakestore.New(opts), 4)
	defer c.close()
	time.Sleep(3 * time.Second)
	req := testRequest("swap")
	req.Idempotent = s.idempotent
	a := &callers{}
	first := c.home(req)
	s.arm(c, first)
	a.doAtAll(c, req)
	time.Sleep(2 * time.Second)
	c.store.SetOutage(false)
	c.setLive(first.id, false)
	second := c.home(req)
	if s.again {
		s.arm(c, second)
	}
	a.doAtAll(c, req)
	time.Sleep(3 * time.Second)
	c.store.SetOutage(false)
	if s.again {
		c.setLive(second.id, false)
		a.doAtAll(c, req)
	}
	time.Sleep(5 * time.Minute)
	c.store.SetOutage(false)
	first.resume()
	second.resume()
	a.doAtAll(c, req)
	a.wg.Wait()
	time.Sleep(time.Minute)
	a.do(c.node(c.live()[0]), req)
	a.wg.Wait()
	runs := c.u.count(core.NewID(req.Team, req.Key).String())
	assert.Nil(t, first.inject, "the fault was injected")
	a.check(t, runs, s.idempotent)
	last := a.results[len(a.results)-1]
	require.NoError(t, last.err)
	assert.True(t, last.outcome.Recorded)
	if s.idempotent {
		assert.Equal(t, core.Done, last.outcome.State)
	}
}

// The home of a key crashes or is paused at each step of a request, also with lost answers, an outage, or a
// failure of the next home. No failure may run a non-idempotent request twice, give callers different
// recorded outcomes, or leave the key without an outcome.
func TestHomeFailsAtEachPoint(t *testing.T) {
	for _, s := range scenarios() {
		t.Run(s.String(), func(t *testing.T) {
			synctest.Test(t, s.run)
		})
	}
}
