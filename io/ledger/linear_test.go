package ledger

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"

	core "mothcart/core/ledger"
	fakestore "mothcart/fake/store"
	"mothcart/io/clock"
)

// event is the result of one operation on a key.
type event struct {
	op  string
	key string
	// value identifies the outcome; it is empty if there is none yet.
	value    string
	recorded bool
	err      error
}

// keyState is the state of a key in the sequential model.
type keyState struct {
	accepted bool
	outcome  string
}

const unknownOutcome = "unknown"

// step reports whether the event is possible in the state of its key, and returns the state after it. An answer
// that was not recorded may later be read as unknown.
func step(s keyState, e event) (bool, keyState) {
	switch {
	case e.op == opAccept && e.err == nil:
		s.accepted = true
		return true, s
	case errors.Is(e.err, ErrNotFound):
		return !s.accepted && s.outcome == "", s
	case e.err != nil || e.value == "":
		return true, s
	case !e.recorded:
		return s.outcome == "" || s.outcome == e.value || s.outcome == unknownOutcome, s
	case s.outcome == "":
		s.outcome = e.value
		return true, s
	}
	return s.outcome == e.value, s
}

var keyModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, o := range history {
			key := o.Input.(string)
			byKey[key] = append(byKey[key], o)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return keyState{} },
	Step: func(state, _, output any) (bool, any) {
		ok, next := step(state.(keyState), output.(event))
		return ok, next
	},
}

// history collects the operations of several clients.
type history struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (h *history) add(client int, e event, call int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: e.key, Call: call, Output: e, Return: time.Now().UnixNano()})
}

func outcomeValue(o Outcome) string {
	switch {
	case o.State == core.Done:
		return o.Answer.Header[0].Value
	case o.State.Final():
		return unknownOutcome
	}
	return ""
}

// randomOperation executes one random operation on a random key at a random node.
func randomOperation(c *cluster, rng *rand.Rand) event {
	req := testRequest(fmt.Sprintf("key %d", rng.IntN(6)))
	req.Idempotent = req.Key < "key 2"
	n := c.node(fmt.Sprintf("e%d", 1+rng.IntN(3)))
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+rng.IntN(90))*time.Second)
	defer cancel()
	switch e := (event{key: req.Key}); rng.IntN(4) {
	case 0:
		_, e.err = n.l.Accept(ctx, req)
		e.op = opAccept
		return e
	case 1:
		r, err := n.l.Lookup(ctx, req.Team, core.NewID(req.Team, req.Key).String())
		e.op, e.err, e.value, e.recorded = opLookup, err, outcomeValue(r.Outcome), true
		return e
	default:
		o, err := n.l.Do(ctx, req)
		e.op, e.err, e.value, e.recorded = opRun, err, outcomeValue(o), o.Recorded
		return e
	}
}

// injectFaults injects random faults into the cluster until the context ends, and then clears them.
func injectFaults(ctx context.Context, c *cluster, rng *rand.Rand) {
	for clock.Sleep(ctx, time.Duration(rng.IntN(3000))*time.Millisecond) == nil {
		n := c.node(fmt.Sprintf("e%d", 1+rng.IntN(3)))
		switch rng.IntN(7) {
		case 0:
			n.crash()
			c.start(n.id)
		case 1:
			n.pause()
		case 2:
			n.pause()
			c.setLive(n.id, false)
		case 3:
			c.store.SetOutage(true)
		case 4:
			c.store.SetLostAnswerShare(0.3)
		case 5:
			n.setView([]string{n.id})
		default:
			c.clearFaults()
		}
	}
	c.clearFaults()
}

// clearFaults ends all faults; a crashed node was already replaced.
func (c *cluster) clearFaults() {
	c.store.SetOutage(false)
	c.store.SetLostAnswerShare(0)
	for _, id := range []string{"e1", "e2", "e3"} {
		c.node(id).resume()
		c.node(id).setView(nil)
		c.setLive(id, true)
	}
}

// Concurrent operations on a few keys under random faults must be linearizable with respect to keyModel: all
// recorded outcomes of a key are the same, and an accepted request is never reported as not found.
func TestHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkHistory(t, seed) })
		})
	}
}

func checkHistory(t *testing.T, seed uint64) {
	c := newCluster(t, fakestore.New(fakestore.NewOptions().WithSeed(seed).WithLatency(5*time.Millisecond)), 3)
	defer c.close()
	h := &history{}
	ctx, cancel := context.WithCancel(context.Background())
	var faults, clients sync.WaitGroup
	faults.Go(func() { injectFaults(ctx, c, rand.New(rand.NewPCG(seed, 0))) })
	for client := range 6 {
		clients.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(client+1)))
			for range 12 {
				time.Sleep(time.Duration(rng.IntN(4000)) * time.Millisecond)
				call := time.Now().UnixNano()
				h.add(client, randomOperation(c, rng), call)
			}
		})
	}
	clients.Wait()
	cancel()
	faults.Wait()
	time.Sleep(5 * time.Minute)
	for key := range 6 {
		req := testRequest(fmt.Sprintf("key %d", key))
		req.Idempotent = req.Key < "key 2"
		call := time.Now().UnixNano()
		o, err := c.node("e1").l.Do(context.Background(), req)
		assert.NoError(t, err)
		h.add(0, event{op: opRun, key: req.Key, value: outcomeValue(o), recorded: o.Recorded}, call)
		if !req.Idempotent {
			assert.LessOrEqual(t, c.u.count(core.NewID(req.Team, req.Key).String()), 1, req.Key)
		}
	}
	assert.True(t, porcupine.CheckOperations(keyModel, h.ops))
}
