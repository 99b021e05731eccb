package ledger

import (
	"context"
	"time"

	core "mothcart/core/ledger"
	"mothcart/core/outcome"
)

// dispatch executes a request whose intent is durable; the caller holds mu.
func (s *shard) dispatch(r core.Record) {
	started := time.Now()
	s.l.counts.executions.Inc(1)
	s.l.wg.Go(func() {
		result := s.execute(started, r)
		result.Attempt = r.Attempt
		s.mu.Lock()
		defer s.mu.Unlock()
		s.apply(s.state.Result(time.Now(), r.ID, result))
		s.signal()
	})
}

func (s *shard) execute(started time.Time, r core.Record) core.Result {
	ctx, cancel := context.WithDeadline(s.l.ctx, started.Add(r.Timeout()))
	defer cancel()
	if ctx.Err() != nil {
		return core.Result{Kind: core.DidNotRun}
	}
	payload, err := s.readParts(ctx, r.Payload, r.PayloadParts)
	if err != nil {
		return core.Result{Kind: core.DidNotRun}
	}
	deadline, _ := ctx.Deadline()
	answer, err := s.l.opts.Execute(ctx, Request{
		Team: r.Team, BodyHash: r.BodyHash, Idempotent: r.Idempotent, Deadline: deadline, Payload: payload, ID: r.ID.String(),
	})
	switch OutcomeOf(err) {
	case outcome.Done:
		answer, err = s.moveAnswer(s.l.ctx, r, answer)
		if err != nil {
			return core.Result{Kind: core.MayHaveRun}
		}
		return core.Result{Kind: core.Completed, State: core.Done, Answer: answer}
	case outcome.NotDone:
		return core.Result{Kind: core.DidNotRun}
	default:
		s.l.opts.Log.Info().Str("request", r.ID.String()).Err(err).Msg("executionInDoubt")
		return core.Result{Kind: core.MayHaveRun}
	}
}
