package serve

import (
	"context"
	"encoding/binary"
	"errors"
	"net/http"

	"github.com/ansel1/merry/v2"

	core "mothcart/core/ledger"
	"mothcart/core/outcome"
	"mothcart/core/retry"
	"mothcart/io/caller"
	"mothcart/io/ledger"
	"mothcart/io/peer"
	"mothcart/io/store"
)

// ledgerMethod is the peer method that carries the ledger's calls between VMs.
const ledgerMethod = "ledger.call"

// newLedger starts the ledger and registers the peer method that other VMs call it with.
func (s *Server) newLedger(c store.Client) *ledger.Ledger {
	opts := ledger.NewOptions()
	opts.Self = s.opts.Settings.VMID
	opts.View = s.peers.View
	opts.Store = c
	opts.Execute = s.execute
	opts.Metrics = s.opts.Registry
	opts.Log = s.opts.Log
	opts.Call = func(ctx context.Context, to string, call ledger.Call) (ledger.Reply, error) {
		reply, err := peer.Call[ledger.Reply](ctx, s.peers, to, ledgerMethod, peer.Bulk, call)
		if errors.Is(err, peer.ErrUnreachable) {
			return reply, merry.Errorf("call ledger of %s: %w", to, ledger.ErrUnreachable)
		}
		return reply, err
	}
	l := ledger.New(opts)
	peer.Handle(s.peers, ledgerMethod, func(ctx context.Context, _ string, call ledger.Call) (ledger.Reply, error) {
		return l.Serve(ctx, call), nil
	})
	return l
}

// execute sends a request from the ledger to an upstream.
func (s *Server) execute(ctx context.Context, req ledger.Request) (ledger.Answer, error) {
	answer, ran, err := s.handler.Replay(ctx, caller.DurableRequest{
		ID: req.ID, Team: req.Team, Idempotent: req.Idempotent, Deadline: req.Deadline, Payload: req.Payload,
	})
	if err != nil && ran == retry.RanNo {
		return ledger.Answer{}, merry.Errorf("execute: %w: %w", ledger.ErrDidNotRun, err)
	}
	if err != nil {
		return ledger.Answer{}, merry.Errorf("execute: %w", err)
	}
	return toLedgerAnswer(answer), nil
}

// runDurable runs a caller's request through the ledger and returns its recorded outcome.
func (s *Server) runDurable(ctx context.Context, d caller.DurableRequest) (caller.DurableAnswer, error) {
	recorded, err := s.ledger.Do(ctx, toLedgerRequest(d))
	if err != nil {
		return caller.DurableAnswer{}, toCallerError(err)
	}
	return recordedAnswer(recorded)
}

// recordedAnswer returns the answer to a request by its recorded outcome.
func recordedAnswer(o ledger.Outcome) (caller.DurableAnswer, error) {
	if o.State == core.Expired {
		return caller.DurableAnswer{}, merry.Errorf("request %s expired: %w", o.ID, caller.ErrNotDurable)
	}
	return toCallerAnswer(o), nil
}

// acceptDurable records a caller's request, which runs later, and returns the ID to look it up with.
func (s *Server) acceptDurable(ctx context.Context, d caller.DurableRequest) (string, error) {
	id, err := s.ledger.Accept(ctx, toLedgerRequest(d))
	if err != nil {
		return "", toCallerError(err)
	}
	return id, nil
}

func (s *Server) lookupDurable(ctx context.Context, team, id string) (caller.DurableState, error) {
	record, err := s.ledger.Lookup(ctx, team, id)
	if err != nil {
		return caller.DurableState{}, toCallerError(err)
	}
	return caller.DurableState{State: string(record.State.String()), Answer: toCallerAnswer(record.Outcome)}, nil
}

func toLedgerRequest(d caller.DurableRequest) ledger.Request {
	var hash [8]byte
	binary.BigEndian.PutUint64(hash[:], d.BodyHash)
	return ledger.Request{
		Team: d.Team, Key: d.Key, BodyHash: ledger.HashBody(hash[:]), Idempotent: d.Idempotent, Deadline: d.Deadline, Payload: d.Payload,
	}
}

func toLedgerAnswer(a caller.DurableAnswer) ledger.Answer {
	answer := ledger.Answer{Status: a.Status, Body: a.Body}
	for name, values := range a.Header {
		for _, v := range values {
			answer.Header = append(answer.Header, ledger.Field{Name: name, Value: v})
		}
	}
	return answer
}

func toCallerAnswer(o ledger.Outcome) caller.DurableAnswer {
	a := caller.DurableAnswer{Status: o.Answer.Status, Body: o.Answer.Body, Header: http.Header{}, Unknown: o.State == core.Unknown}
	for _, f := range o.Answer.Header {
		a.Header.Add(f.Name, f.Value)
	}
	return a
}

// toCallerError adds the error of package caller that corresponds to an error of the ledger.
func toCallerError(err error) error {
	so := ledger.OutcomeOf(err)
	switch {
	case so == outcome.NotDone && errors.Is(err, ledger.ErrBodyMismatch):
		return merry.Errorf("%w: %w", caller.ErrKeyReused, err)
	case so == outcome.NotDone:
		return merry.Errorf("%w: %w", caller.ErrNotDurable, err)
	case errors.Is(err, ledger.ErrMayHaveRun):
		return merry.Errorf("%w: %w", caller.ErrInProgress, err)
	case errors.Is(err, ledger.ErrUnavailable):
		return merry.Errorf("%w: %w", caller.ErrLookup, err)
	case errors.Is(err, ledger.ErrNotFound):
		return merry.Errorf("%w: %w", caller.ErrNoRequest, err)
	default:
		return err
	}
}
