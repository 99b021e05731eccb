package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	core "mothcart/core/ledger"
	"mothcart/core/outcome"
	"mothcart/io/clock"
)

const (
	// unreachableTries is the number of failed calls to a shard's home after which this VM answers the
	// request as home.
	unreachableTries = 3
	// unreachablePause is the time between two of these calls.
	unreachablePause = 100 * time.Millisecond
	// reroutePause is the time before a shard's home is computed again after errReroute.
	reroutePause = 5 * time.Millisecond
	// rerouteTries bounds the attempts to route one call.
	rerouteTries = 50
)

// route sends the call to the home of its shard. A call may be sent again, since the ledger joins
// resends of one ID.
func (l *Ledger) route(ctx context.Context, c Call) (Reply, error) {
	number := c.ID.Shard(l.opts.Shards)
	unreachable := 0
	sent := false
	for range rerouteTries {
		owner := l.owner(number)
		var r Reply
		var err error
		if owner == l.opts.Self || unreachable >= unreachableTries {
			r, err = l.answer(ctx, c)
		} else {
			r, err = l.forward(ctx, owner, c)
		}
		switch {
		case errors.Is(err, errReroute):
			sent = true
			err = clock.Sleep(ctx, reroutePause)
		case errors.Is(err, ErrUnreachable):
			unreachable++
			err = clock.Sleep(ctx, unreachablePause)
		case errors.Is(err, errNoAnswer):
			sent = true
			unreachable++
			err = clock.Sleep(ctx, unreachablePause)
		case sent && c.Op != opLookup && OutcomeOf(err) == outcome.NotDone:
			return r, requests.Lost(err) // this home doesn't know what the others do
		default:
			return r, err
		}
		if err != nil {
			return Reply{}, noHomeError(c, sent, err)
		}
	}
	return Reply{}, noHomeError(c, sent, errReroute)
}

// errNoAnswer means that a call to a home was sent and not answered.
var errNoAnswer = merry.Sentinel("call was not answered")

// noHomeError is the error of a call that no home answered. A request that was sent to a VM that did
// not answer may be open there.
func noHomeError(c Call, sent bool, cause error) error {
	switch {
	case c.Op == opLookup:
		return merry.Errorf("find home: %w: %w", ErrUnavailable, cause)
	case sent:
		return merry.Errorf("find home: %w", requests.Lost(cause))
	default:
		return merry.Errorf("find home: %w: %w", ErrDidNotRun, cause)
	}
}

func (l *Ledger) forward(ctx context.Context, to string, c Call) (Reply, error) {
	r, err := l.opts.Call(ctx, to, c)
	switch {
	case errors.Is(err, ErrUnreachable):
		return Reply{}, merry.Errorf("forward to %s: %w", to, err)
	case err != nil:
		return Reply{}, merry.Errorf("forward to %s: %w: %w", to, errNoAnswer, err)
	case int(r.Code) >= len(codeErrors):
		return Reply{}, merry.Errorf("forward to %s: code %d: %w", to, r.Code, errNoAnswer)
	case r.Code != codeOK:
		return Reply{}, merry.Errorf("%s at %s: %w", r.Reason, to, codeErrors[r.Code])
	}
	return r, nil
}

// Serve answers a call of another VM, whether or not this VM considers itself the shard's home.
func (l *Ledger) Serve(ctx context.Context, c Call) Reply {
	r, err := l.answer(ctx, c)
	if err == nil {
		return r
	}
	return Reply{Code: codeOf(err), Reason: err.Error()}
}

// codeOf returns what another VM is told of an error.
func codeOf(err error) uint8 {
	switch {
	case OutcomeOf(err) == outcome.NotDone && errors.Is(err, ErrBodyMismatch):
		return codeBodyMismatch
	case OutcomeOf(err) == outcome.NotDone:
		return codeDidNotRun
	case errors.Is(err, ErrMayHaveRun):
		return codeMayHaveRun
	case errors.Is(err, errReroute):
		return codeReroute
	case errors.Is(err, ErrNotFound):
		return codeNotFound
	case errors.Is(err, ErrUnavailable):
		return codeUnavailable
	default:
		return codeMayHaveRun
	}
}

// answer executes the call at this VM.
func (l *Ledger) answer(ctx context.Context, c Call) (Reply, error) {
	s := l.shards[c.ID.Shard(l.opts.Shards)]
	switch c.Op {
	case opRun, opAccept:
		return s.submitAndWait(ctx, request(c), c.Op == opAccept)
	case opLookup:
		return s.lookup(ctx, c.ID, c.Team)
	case opHandoff:
		return s.recordResult(ctx, c.ID, c.Result)
	default:
		return Reply{}, merry.Errorf("operation %q: %w", c.Op, ErrDidNotRun)
	}
}

func request(c Call) core.Request {
	return core.Request{
		ID: c.ID, Team: c.Team, BodyHash: c.BodyHash, Idempotent: c.Idempotent, Async: c.Op == opAccept,
		Timeout: time.Duration(c.TimeoutMillis) * time.Millisecond, Payload: c.Payload,
		AtSeconds: time.Now().Unix(),
	}
}
