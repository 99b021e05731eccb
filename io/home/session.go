package home

import (
	"context"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/core/slot"
	"mothcart/core/submission"
	"mothcart/io/link"
)

// owner returns a name for one connection of a node's process, so that the late end of a connection does
// not release slots of the next one.
func (h *Home) owner(vm string, incarnation int64) string {
	return fmt.Sprintf("%s/%d/%d", vm, incarnation, h.nextID.Add(1))
}

// session is one node's connection.
type session struct {
	owner string
	// relay is the address at which the node relays connections; empty if it doesn't.
	relay string
}

// handle processes a message of a node; s is nil until the node has sent its hello.
func (h *Home) handle(s *session, in link.Incoming) *session {
	switch in.Method {
	case methodHello:
		return h.hello(in)
	case methodHandover:
		if err := h.handOver(in); err != nil {
			in.Fail(err)
		}
		return s
	}
	if s == nil {
		in.Fail(merry.Errorf("%s before hello", in.Method))
		return nil
	}
	if err := h.dispatch(s, in); err != nil {
		h.opts.Log.Warn().Str("peer", s.owner).Str("method", in.Method).Err(err).Msg("badMessage")
		in.Fail(err)
	}
	return s
}

func (h *Home) dispatch(s *session, in link.Incoming) error {
	switch in.Method {
	case methodAsk:
		return h.ask(s, in)
	case methodRelease:
		return handleMessage(in, func(m releaseNotice) {
			h.pool.Paces(s.owner, m.Paces)
			h.pool.Release(slot.Key{Owner: s.owner, ID: m.ID}, m.Result)
		})
	case methodInventory:
		return handleMessage(in, func(m inventoryNotice) {
			h.reconcile(s, m)
			h.adoptSubmissions(m.Submissions)
		})
	case methodReport:
		return handleMessage(in, func(m reportNotice) { h.pool.Report(m.Upstream, m.Running, m.Waiting) })
	case methodBegan:
		return handleMessage(in, func(m beganNotice) { h.opts.Origins.Record(m.Stream, m.Version) })
	case methodOrigins:
		return handleMessage(in, h.opts.Origins.merge)
	case methodLimit:
		return handleMessage(in, func(m limitNotice) { h.pool.Limit(m.key(s.owner), m.Rate, m.Named) })
	case methodWrote:
		return handleMessage(in, func(m wroteNotice) { h.pool.Wrote(m.key(s.owner)) })
	case methodSilence:
		return handleMessage(in, func(m silenceNotice) { h.pool.Silence(slot.Key{Owner: s.owner, ID: m.ID}, m.Silent) })
	case methodLeaving:
		return handleMessage(in, func(m leavingNotice) { h.opts.MarkLeaving(s.owner, siteKeys(m.Upstreams)) })
	case methodOpenRuns:
		return handleMessage(in, func(m openRunsNotice) { h.openRuns(in.Conn(), m) })
	case methodEndedRun:
		return handleMessage(in, h.endRemote)
	case methodReserve:
		return h.reserve(in)
	case methodWithdraw:
		return h.withdraw(in)
	case methodRefused:
		return handleMessage(in, h.noteRefused)
	case methodRead:
		return h.read(in)
	case methodItem:
		return h.item(in)
	case methodEnded:
		return handleMessage(in, func(m endedNotice) { h.endJob(m.Job, m.End, byNotice) })
	case methodStored:
		return handleMessage(in, func(m storedNotice) { h.noteStored(m.Job) })
	case methodSubmit:
		return handleMessage(in, func(m submitRequest) { h.submit(in, s, m) })
	case methodEnd:
		return handleMessage(in, func(m endRequest) { h.writeEnd(in, s, m) })
	default:
		return merry.Errorf("unknown method %s", in.Method)
	}
}

// submit writes a job on behalf of a node.
func (h *Home) submit(in link.Incoming, s *session, m submitRequest) {
	m.Job.ID = m.ID
	attempt := submission.Attempt{Job: m.ID, ID: m.Attempt}
	h.adoptSubmissions([]submission.Attempt{attempt}) // the request for room may not have reached this home
	go h.write(in, s, attempt, func(ctx context.Context) (End, error) {
		writer := Writer{By: "home", Attempt: attempt, Log: h.opts.Log, Registry: h.opts.Registry}
		err := CreateJob(writer.WithAttempts(ctx), h.opts.Objects, m.Job)
		h.mu.Lock()
		defer h.mu.Unlock()
		if err != nil && h.existsFor(m.ID, m.Job.Account) {
			return End{}, nil // the watch has delivered it
		}
		return End{}, err
	})
}

// writeEnd writes the end of a job on behalf of a node.
func (h *Home) writeEnd(in link.Incoming, s *session, m endRequest) {
	go h.write(in, s, submission.Attempt{Job: m.Job}, func(ctx context.Context) (End, error) {
		end, err := EndJob(ctx, h.opts.Objects, m.Job, m.Account, m.End)
		if err == nil {
			h.endJob(m.Job, end, byWrite)
		}
		return end, err
	})
}

// handleMessage decodes a message and passes it to handle.
func handleMessage[T any](in link.Incoming, handle func(m T)) error {
	var m T
	if err := in.Decode(&m); err != nil {
		return err
	}
	handle(m)
	return nil
}

// write runs a write of a job on behalf of a node and answers with its outcome. The end is empty for other writes. The
// attempt's ID is empty unless the write is one of a submission.
func (h *Home) write(in link.Incoming, s *session, attempt submission.Attempt, write func(ctx context.Context) (End, error)) {
	startedAt := h.opts.Now()
	ctx, cancel := context.WithTimeout(h.ctx, writeCallTimeout)
	defer cancel()
	end, err := write(ctx)
	outcome := writeOutcomeOf(err)
	h.opts.Log.Info().Str("job", attempt.Job).Str("attempt", attempt.ID).Str("peer", s.owner).Str("method", in.Method).Stringer("outcome", outcome).
		Dur("tookMillis", h.opts.Now().Sub(startedAt)).AnErr("error", err).Msg("writtenForNode")
	in.Answer(writeAnswer{Outcome: outcome, End: end})
}

func (h *Home) hello(in link.Incoming) *session {
	h.mu.Lock()
	replaced := h.replaced
	h.mu.Unlock()
	if replaced {
		in.Fail(ErrNoHome)
		return nil
	}
	var m helloRequest
	if err := in.Decode(&m); err != nil {
		in.Fail(err)
		return nil
	}
	s := &session{owner: h.owner(m.VM, m.Incarnation), relay: m.Relay}
	if m.VM != h.opts.VMID {
		h.mu.Lock()
		h.nodes[s.owner] = in.Conn()
		h.noNodesSince = time.Time{}
		if m.Runs && !h.draining[m.VM] {
			h.runners[s.owner] = &runnerNode{conn: in.Conn(), name: m.VM, stopped: make(chan struct{})}
		}
		h.mu.Unlock()
	}
	h.opts.MarkLeaving(s.owner, siteKeys(m.Leaving))
	h.pool.ImportSuspects(m.Suspects)
	h.pool.ImportLimits(decodeLimits(m.Limits), false)
	h.pool.Joined(s.owner, m.Asks)
	for _, o := range m.Open {
		h.adopt(s, o)
	}
	h.adoptSubmissions(m.Submissions)
	for _, e := range m.Ended {
		h.endJob(e.Job, e.End, byNotice)
	}
	h.opts.Log.Info().Str("peer", s.owner).Int("open", len(m.Open)).Int64("term", h.opts.Term).Msg("nodeConnected")
	answer := helloAnswer{Home: Announcement{Term: h.opts.Term, VM: h.opts.VMID, Address: h.opts.Address}, Accounts: true}
	answer.Open, answer.Counted = h.countOpen()
	in.Answer(answer)
	in.Conn().Notify(methodObjectsDown, objectsDownNotice{Down: h.opts.ObjectsDown()})
	if keys := h.opts.Leaving(); len(keys) > 0 {
		in.Conn().Notify(methodLeaving, leavingNotice{Upstreams: upstreamKeys(keys)})
	}
	if records := h.pool.ExportSuspects(); len(records) > 0 {
		in.Conn().Notify(methodParts, suspectsNotice{Records: records})
	}
	h.opts.Views.sendTo(in.Conn())
	return s
}

func (h *Home) ask(s *session, in link.Incoming) error {
	var m askRequest
	if err := in.Decode(&m); err != nil {
		return err
	}
	h.metrics.asks.Inc(1)
	h.pool.Paces(s.owner, m.Paces)
	r := m.request(h.opts.Now(), s.owner)
	if !h.opts.Origins.mustConfirm(r, h.opts.SoleVersion) {
		h.askPool(s, in, r)
		return nil
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), m.Wait)
		defer cancel()
		r.Unconfirmed = !h.opts.Confirm(ctx)
		h.askPool(s, in, r)
		select {
		case <-in.Conn().Done(): // dropNode may have come first
			h.pool.Release(r.Key, slot.Abandoned)
		default:
		}
	}()
	return nil
}

// askPool asks for a slot.
func (h *Home) askPool(s *session, in link.Incoming, r slot.Request) {
	h.pool.Ask(r, asker{
		granted: func(g slot.Grant) {
			answer := grantAnswer(g)
			answer.Standing = h.pool.standing(g.Request)
			in.Answer(answer)
		},
		refused: func(r slot.Refusal) {
			h.metrics.refused.Inc(1)
			h.refusedForRoom(r)
			l := h.pool.Load(r.Request.Service)
			h.opts.Log.Info().Str("peer", s.owner).Uint64("ask", r.Request.Key.ID).Str("service", r.Request.Service).
				Str("version", r.Request.Version).Str("resumes", r.Request.Resumes).Str("reason", string(r.Reason)).Dur("retryAfterMillis", r.RetryAfter).Int("slots", l.Slots).Int("online", l.Online).
				Int("batch", l.Batch).Int("waiting", l.WaitingOnline).Int("paused", l.PausedUpstreams).Int("limited", l.Limited).Func(h.logShare(r)).Msg("slotRefused")
			in.Answer(askAnswer{Reason: r.Reason, RetryAfter: r.RetryAfter, Standing: h.pool.standing(r.Request)})
		},
	})
}

// dropNode removes a node whose connection has ended and releases its slots.
func (h *Home) dropNode(s *session, err error) {
	if s == nil {
		return
	}
	h.opts.Log.Info().Str("peer", s.owner).Err(err).Msg("nodeDisconnected")
	h.mu.Lock()
	delete(h.runners, s.owner)
	if _, ok := h.nodes[s.owner]; ok && len(h.nodes) == 1 {
		h.noNodesSince = h.opts.Now()
	}
	delete(h.nodes, s.owner)
	h.mu.Unlock()
	h.pool.DropOwner(s.owner)
}
