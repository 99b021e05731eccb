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

// asked is what one asker was told.
type asked struct {
	outcome Outcome
	err     error
}

// askers collects what the askers of one key were told.
type askers struct {
	mu   sync.Mutex
	told []asked
	wg   sync.WaitGroup
}

func (a *askers) ask(n *node, req Request) {
	a.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
		defer cancel()
		o, err := n.l.Do(ctx, req)
		a.mu.Lock()
		defer a.mu.Unlock()
		a.told = append(a.told, asked{o, err})
	})
}

// askAll sends the request to each live node.
func (a *askers) askAll(c *cluster, req Request) {
	for _, id := range c.live() {
		a.ask(c.node(id), req)
	}
}

// check asserts what must hold whatever happened.
func (a *askers) check(t *testing.T, runs int, idempotent bool) {
	refused := 0
	var recorded *Outcome
	for _, told := range a.told {
		switch {
		case told.err == nil && told.outcome.Recorded:
			if recorded == nil {
				recorded = &told.outcome
			}
			assert.Equal(t, *recorded, told.outcome, "every asker gets the recorded outcome")
		case told.err == nil:
			assert.False(t, idempotent)
			assert.Equal(t, core.Done, told.outcome.State)
		case errors.Is(told.err, ErrDidNotRun):
			refused++
		default:
			require.ErrorIs(t, told.err, ErrMayHaveRun)
		}
	}
	if refused == len(a.told) {
		assert.Zero(t, runs, "all were refused as not run")
	}
	if !idempotent {
		assert.LessOrEqual(t, runs, 1, "a non-idempotent request runs at most once")
	}
}

// scenario is one failure of the home of a key.
type scenario struct {
	at          point
	what        fault
	idempotent  bool
	loseAnswers bool
	outage      bool
	// again strikes the next home at the same point.
	again bool
}

func (s scenario) String() string {
	return fmt.Sprintf("%s %s, idempotent=%t lost=%t outage=%t again=%t", s.what, s.at, s.idempotent, s.loseAnswers, s.outage, s.again)
}

func scenarios() []scenario {
	var all []scenario
	for _, at := range points {
		for _, what := range []fault{crash, pausd} {
			for bits := range 16 {
				all = append(all, scenario{at, what, bits&1 > 0, bits&2 > 0, bits&4 > 0, bits&8 > 0})
			}
		}
	}
	return all
}

// arm makes the fault strike the node at the point.
func (s scenario) arm(c *cluster, n *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.at, n.puts = s.at, 0
	n.strike = func() {
		c.store.SetOutage(s.outage)
		if s.what == crash {
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
	a := &askers{}
	first := c.home(req)
	s.arm(c, first)
	a.askAll(c, req)
	time.Sleep(2 * time.Second)
	c.store.SetOutage(false)
	c.setLive(first.id, false)
	second := c.home(req)
	if s.again {
		s.arm(c, second)
	}
	a.askAll(c, req)
	time.Sleep(3 * time.Second)
	c.store.SetOutage(false)
	if s.again {
		c.setLive(second.id, false)
		a.askAll(c, req)
	}
	time.Sleep(5 * time.Minute)
	c.store.SetOutage(false)
	first.resume()
	second.resume()
	a.askAll(c, req)
	a.wg.Wait()
	time.Sleep(time.Minute)
	a.ask(c.node(c.live()[0]), req)
	a.wg.Wait()
	runs := c.u.count(core.NewID(req.Team, req.Key).String())
	assert.Nil(t, first.strike, "the fault has struck")
	a.check(t, runs, s.idempotent)
	last := a.told[len(a.told)-1]
	require.NoError(t, last.err)
	assert.True(t, last.outcome.Recorded)
	if s.idempotent {
		assert.Equal(t, core.Done, last.outcome.State)
	}
}

func TestHomeFailsAtEachAwaitPoint(t *testing.T) {
	for _, s := range scenarios() {
		t.Run(s.String(), func(t *testing.T) {
			synctest.Test(t, s.run)
		})
	}
}
