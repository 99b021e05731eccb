package job

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"mothcart/core/job"
	fakestore "mothcart/fake/store"
)

var testEpoch = time.Unix(1_800_000_000, 0)

// callKind is the kind of a call in the recorded history of a job.
type callKind uint8

const (
	callSubmit callKind = iota
	callCancel
	callGet
)

// callResult is the answer to a call.
type callResult struct {
	state job.State
	// refused reports that the call had no effect, unknown that it may have had one.
	refused, unknown bool
}

// stateModel describes the state transitions of one job: it is accepted once, cancelled only by Cancel,
// ended by the system at any time, and never changes after its end.
var stateModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{job.Uploading} },
	Step: func(state, input, output any) []any {
		s, result := state.(job.State), output.(callResult)
		var next []any
		for _, before := range reachable(s) {
			next = append(next, stepState(before, input.(callKind), result)...)
		}
		return next
	},
	Equal: func(a, b any) bool { return a == b },
}

// reachable returns s and the states that may follow it without a call.
func reachable(s job.State) []job.State {
	switch s {
	case job.Running:
		return []job.State{job.Running, job.Completed}
	case job.Cancelling:
		return []job.State{job.Cancelling, job.Cancelled}
	default:
		return []job.State{s}
	}
}

func stepState(s job.State, kind callKind, r callResult) []any {
	after := s
	switch {
	case kind == callSubmit && s == job.Uploading:
		after = job.Running
	case kind == callCancel && s == job.Running:
		after = job.Cancelling
	}
	switch {
	case r.unknown:
		return []any{s, after}
	case r.refused && kind == callCancel && s != job.Completed && s != job.Uploading:
		return nil
	case r.refused:
		return []any{s}
	case r.state != after:
		return nil
	default:
		return []any{after}
	}
}

// TestHistoryOfAJobIsLinearizable records calls on one job from three VMs, over a store that loses
// answers of writes. After a VM has crashed and the job has ended, it checks the calls against stateModel.
func TestHistoryOfAJobIsLinearizable(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { recordHistory(t, seed) })
		})
	}
}

func recordHistory(t *testing.T, seed uint64) {
	opts := fakestore.NewOptions().WithLatency(2 * time.Millisecond).WithSeed(seed).WithLostAnswerShare(0.3)
	f := newFleet(t, fakestore.New(opts), "e1", "e2", "e3")
	defer f.close()
	for _, id := range []string{"e1", "e2", "e3"} {
		f.dispatch(id, 64, answerItem)
	}
	var mu sync.Mutex
	var history []porcupine.Operation
	var id string
	record := func(client int, kind callKind, call func() (Status, error)) {
		start := time.Now()
		s, err := call()
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{
			ClientId: client, Input: kind, Call: start.UnixNano(), Return: time.Now().UnixNano(),
			Output: callResult{state: s.Head.State, refused: err != nil, unknown: errors.Is(err, ErrOutcomeUnknown)},
		})
	}
	ctx := context.Background()
	status, err := f.vms["e1"].Submit(ctx, spec(400))
	require.NoError(t, err)
	id = status.Head.ID
	history = append(history, porcupine.Operation{Input: callSubmit, Call: 0, Return: 1, Output: callResult{state: job.Running}})
	var wg sync.WaitGroup
	for client, vm := range []string{"e1", "e2", "e3"} {
		j := f.vms[vm]
		wg.Go(func() {
			for n := range 8 {
				record(client, callGet, func() (Status, error) { return j.Get(ctx, "team", id) })
				time.Sleep(time.Duration(100+300*int(seed)) * time.Millisecond)
				if n == 4+client%2 {
					record(client, callCancel, func() (Status, error) { return j.Cancel(ctx, "team", id) })
				}
			}
		})
	}
	wg.Wait()
	f.kill("e1")
	end, _ := finished(t, f.vms["e2"], id, 10*time.Minute)
	record(4, callGet, func() (Status, error) { return f.vms["e3"].Get(ctx, "team", id) })
	require.True(t, end.Head.State.Terminal())
	model := stateModel.ToModel()
	require.True(t, porcupine.CheckOperations(model, history), "%+v", history)
}
