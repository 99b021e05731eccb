// Package ledger stores the durable online requests: accepted requests, whose answer is read later,
// and requests with an idempotency key. A non-idempotent request with a key runs at most once.
//
// Each key belongs to one shard, and each shard to the VM that rendezvous hashing selects, its home.
// A request is sent to that VM, which writes the intents and results of many requests with one
// conditional update. An intent is durable before its request is sent. Any VM may become home of a
// shard at any time: the update's version fences the previous home.
//
// Do waits up to Options.ResultWait for the result to become durable. After that, a non-idempotent
// request is answered with Outcome.Recorded false: after a crash its outcome may be read as
// unknown, never as another answer. An idempotent request fails with ErrMayHaveRun, since it can be
// sent again. A request without a key is sent once by the VM that received it and is not recorded; a
// resend of it is a new request.
//
// ErrDidNotRun means that this submission of the request did not run and will not, at any of the homes
// that it was sent to. An earlier submission with the same key has its own answer, so send again with
// the same key, not with a new one. While the object service is unreachable, new requests are refused with ErrDidNotRun; results
// that are not yet written stay in memory and are written once the service has recovered.
//
// Usage:
//
//	opts := ledger.NewOptions()
//	opts.Self, opts.View, opts.Store, opts.Execute = self, node.View, client, execute
//	l := ledger.New(opts)
//	defer l.Close()
//	outcome, err := l.Do(ctx, ledger.Request{Team: "rota", Key: key, BodyHash: ledger.HashBody(body), Payload: body})
//	id, err := l.Accept(ctx, request)
//	record, err := l.Lookup(ctx, "rota", id)
package ledger

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"

	core "mothcart/core/ledger"
	"mothcart/core/outcome"
	"mothcart/core/rendezvous"
)

// ownerCheckInterval is the interval at which this VM checks which shards it is home of.
const ownerCheckInterval = time.Second

// Ledger is the part of the ledger at one VM. Its methods are safe for concurrent use.
type Ledger struct {
	opts   Options
	writer core.Writer
	shards []*shard
	counts counts
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// objects numbers the objects other than heads that this incarnation writes.
	objects atomic.Uint64
	// heldBytes is the size of the large answers that are being written.
	heldBytes atomic.Int64
}

// New starts the ledger: a writer goroutine for each shard, and one that checks at
// intervals which shards this VM is home of.
func New(opts Options) *Ledger {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Ledger{
		opts:   opts,
		writer: core.Writer{VM: opts.Self, Incarnation: rand.Uint64()},
		counts: newCounts(opts.Metrics),
		ctx:    ctx,
		cancel: cancel,
	}
	for i := range opts.Shards {
		l.shards = append(l.shards, newShard(l, i))
	}
	for _, s := range l.shards {
		l.wg.Go(func() { s.run(ctx) })
	}
	l.wg.Go(func() {
		t := time.NewTicker(ownerCheckInterval)
		defer t.Stop()
		for {
			l.updateOwnership()
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
		}
	})
	return l
}

// Close ends the goroutines and cancels executions. Call Drain first for a graceful shutdown.
func (l *Ledger) Close() {
	l.cancel()
	l.wg.Wait()
}

// Drain waits until every request that this VM runs has a recorded outcome.
func (l *Ledger) Drain(ctx context.Context) error {
	t := time.NewTicker(10 * time.Millisecond)
	defer t.Stop()
	for !l.idle() {
		select {
		case <-ctx.Done():
			return merry.Errorf("drain ledger: %w", ctx.Err())
		case <-t.C:
		}
	}
	return nil
}

func (l *Ledger) idle() bool {
	for _, s := range l.shards {
		if !s.idle() {
			return false
		}
	}
	return true
}

// Do runs the request, or joins an earlier submission of it, and returns their common outcome.
func (l *Ledger) Do(ctx context.Context, req Request) (Outcome, error) {
	if req.Key == "" {
		return l.runOnce(ctx, req)
	}
	reply, err := l.route(ctx, l.call(opRun, req))
	if err != nil {
		return Outcome{}, merry.Errorf("run durable request: %w", err)
	}
	return reply.Outcome, nil
}

// Accept makes the request durable and returns the ID to look it up with; the request runs
// afterwards. A request without a key gets a random one, so that a resend of it is a new request.
func (l *Ledger) Accept(ctx context.Context, req Request) (string, error) {
	if req.Key == "" {
		req.Key = uuid.NewString()
	}
	reply, err := l.route(ctx, l.call(opAccept, req))
	if err != nil {
		return "", merry.Errorf("accept request: %w", err)
	}
	return reply.Outcome.ID, nil
}

// Lookup returns the team's request with the ID, or ErrNotFound.
func (l *Ledger) Lookup(ctx context.Context, team, id string) (Record, error) {
	parsed, err := core.ParseID(id)
	if err != nil {
		return Record{}, merry.Errorf("look up: %w: %w", ErrNotFound, err)
	}
	reply, err := l.route(ctx, Call{Op: opLookup, ID: parsed, Team: team})
	if err != nil {
		return Record{}, merry.Errorf("look up %s: %w", id, err)
	}
	return Record{Outcome: reply.Outcome, AcceptedAt: time.Unix(reply.AtSeconds, 0)}, nil
}

// runOnce sends a request that has no key once, without recording it.
func (l *Ledger) runOnce(ctx context.Context, req Request) (Outcome, error) {
	timeout := l.timeout(req)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := l.opts.Execute(ctx, req)
	switch OutcomeOf(err) {
	case outcome.Done:
		return Outcome{State: core.Done, Answer: answer}, nil
	case outcome.NotDone:
		return Outcome{}, merry.Errorf("run request without key: %w", err)
	default:
		return Outcome{}, merry.Errorf("run request without key: %w", requests.Lost(err))
	}
}

func (l *Ledger) timeout(req Request) time.Duration {
	if req.Deadline.IsZero() {
		return l.opts.DefaultTimeout
	}
	return max(time.Until(req.Deadline), time.Millisecond)
}

func (l *Ledger) call(op string, req Request) Call {
	return Call{
		Op: op, ID: core.NewID(req.Team, req.Key), Team: req.Team, BodyHash: req.BodyHash, Idempotent: req.Idempotent,
		TimeoutMillis: l.timeout(req).Milliseconds(), Payload: req.Payload,
	}
}

// owner returns the home of the shard according to this VM's members.
func (l *Ledger) owner(number int) string {
	if l.opts.Call == nil {
		return l.opts.Self
	}
	role := fmt.Sprintf("ledger/%d", number)
	if l.opts.View != nil {
		return cmp.Or(l.opts.View().Owner(role), l.opts.Self)
	}
	id, _ := rendezvous.Owner(role, l.opts.Members())
	return cmp.Or(id, l.opts.Self)
}

func (l *Ledger) isLive(id string) bool {
	if l.opts.View != nil {
		return slices.Contains(l.opts.View().IDs(), id)
	}
	return slices.Contains(l.opts.Members(), id)
}

// updateOwnership loads the shards that are now assigned to this VM and releases idle shards of other
// VMs.
func (l *Ledger) updateOwnership() {
	for _, s := range l.shards {
		s.setOwned(l.owner(s.number) == l.opts.Self)
	}
}
