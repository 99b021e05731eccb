package home

import (
	"context"
	"fmt"
	"sync"
	"time"

	"mothcart/core/batch"
	"mothcart/core/slot"
	"mothcart/core/submission"
	"mothcart/io/link"
)

// Standing is what is known of a job when an attempt to submit it ends without effect.
type Standing int

const (
	// NoWord means that no home has answered, so that this node can't know.
	NoWord Standing = iota
	// Unsettled means that an attempt may still store the job, or that the home can't know.
	Unsettled
	// Settled means that no attempt may still store the job.
	Settled
	// Stored means that the home has the job.
	Stored
)

// String returns the name for logs.
func (s Standing) String() string {
	switch s {
	case Unsettled:
		return "unsettled"
	case Settled:
		return "settled"
	case Stored:
		return "stored"
	default:
		return "noWord"
	}
}

type withdrawRequest struct {
	Job     string `msgpack:"job"`
	Attempt string `msgpack:"try"`
	Account string `msgpack:"acct,omitempty"`
}

type withdrawAnswer struct {
	Standing Standing `msgpack:"standing"`
}

type refusedNotice struct {
	Job string `msgpack:"job"`
}

// settleGrace is the time after its start within which a home promises nothing: by then the nodes that are connected have
// told it of their attempts.
const settleGrace = time.Second

// withdraw ends an attempt to submit a job and answers whether the job may be refused.
func (h *Home) withdraw(in link.Incoming) error {
	return handleMessage(in, func(m withdrawRequest) {
		h.mu.Lock()
		defer h.mu.Unlock()
		in.Answer(withdrawAnswer{Standing: h.endAttempt(submission.Attempt{Job: m.Job, ID: m.Attempt}, m.Account)})
	})
}

// endAttempt ends an attempt of an account that had no effect, and returns the job's standing; the mutex is held.
func (h *Home) endAttempt(a submission.Attempt, account string) Standing {
	now := h.opts.Now()
	alone := h.submissions.Withdraw(now, a)
	valid := h.opts.Valid(now) // else the next home may have the job
	standing := Unsettled
	switch {
	case h.existsFor(a.Job, account):
		standing = Stored
	case alone && h.listedOnce && valid && now.Sub(h.startedAt) >= settleGrace && !h.exists(a.Job):
		standing = Settled
		delete(h.reserved, a.Job)
	}
	h.opts.Log.Info().Str("job", a.Job).Str("attempt", a.ID).Stringer("standing", standing).Int("open", h.submissions.OpenOf(a.Job)).
		Bool("listed", h.listedOnce).Bool("valid", valid).Msg("submissionWithdrawn")
	return standing
}

// noteRefused records that a node has refused a job, unless it exists or somebody submits it again.
func (h *Home) noteRefused(m refusedNotice) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.submissions.OpenOf(m.Job) == 0 && !h.exists(m.Job) {
		h.submissions.Refuse(h.opts.Now(), m.Job)
	}
}

// adoptSubmissions records a node's attempts to submit jobs that this home doesn't have.
func (h *Home) adoptSubmissions(attempts []submission.Attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range attempts {
		if !h.exists(a.Job) {
			h.submissions.Begin(h.opts.Now(), a)
		}
	}
}

// noteSubmission records that a job is stored, so that nobody may refuse it any more, and reports whether it was refused; the
// mutex is held.
func (h *Home) noteSubmission(id string) bool {
	refused := h.submissions.Stored(h.opts.Now(), id)
	if refused {
		h.metrics.refusedJobs.Inc(1)
		h.opts.Log.Error().Str("job", id).Msg("refusedJobStored")
	}
	return refused
}

// noteItem logs the first item of a job that begins to run at this home; the mutex is held.
func (h *Home) noteItem(j *job, item string, g slot.Grant) {
	if j.itemStarted {
		return
	}
	j.itemStarted = true
	if j.refused {
		h.metrics.refusedJobsRan.Inc(1)
	}
	h.opts.Log.Info().Str("job", j.log.Job().ID).Str("item", item).Str("upstream", g.Upstream.ID).Int64("incarnation", g.Upstream.Incarnation).
		Int("listed", j.log.Len()).Bool("refused", j.refused).Dur("ageMillis", h.opts.Now().Sub(j.acceptedAt)).Msg("firstItemStarted")
}

func (h *Home) updateOpenSubmissions(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.metrics.openSubmissions.Update(int64(len(h.submissions.Open(now))))
}

// submissions are a node's attempts to submit jobs. It is safe for concurrent use.
type submissions struct {
	mu    sync.Mutex
	table *submission.Table
	begun uint64
}

// open returns the attempts that may still store a job.
func (s *submissions) open(now time.Time) []submission.Attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Open(now)
}

// end ends the attempts at a job, which is stored.
func (s *submissions) end(now time.Time, job string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Stored(now, job)
}

// withdraw is submission.Table.Withdraw.
func (s *submissions) withdraw(now time.Time, a submission.Attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Withdraw(now, a)
}

// BeginSubmission begins an attempt to submit a job. It ends with Withdraw if it had no effect, or with NotifyStored;
// otherwise it stays open.
func (c *Client) BeginSubmission(job string) submission.Attempt {
	s := &c.submissions
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begun++
	a := submission.Attempt{Job: job, ID: fmt.Sprintf("%s/%d/%d", c.opts.VMID, c.opts.Incarnation, s.begun)}
	s.table.Begin(c.opts.Now(), a)
	return a
}

// Withdraw ends an attempt to submit a job whose writes had no effect, and returns whether the job may be refused. Without
// a home it is NoWord: an earlier attempt, at another node, may still store the job.
func (c *Client) Withdraw(ctx context.Context, a submission.Attempt, job batch.Job) Standing {
	var answer withdrawAnswer
	err := c.callFor(ctx, job.Account, callTimeout, methodWithdraw, withdrawRequest{Job: a.Job, Attempt: a.ID, Account: job.Account}, &answer)
	if err != nil {
		answer.Standing = NoWord
	}
	return c.endAttempt(a, answer.Standing)
}

// endAttempt ends an attempt at this node and returns the job's standing by the home's word and by this node's other attempts.
func (c *Client) endAttempt(a submission.Attempt, word Standing) Standing {
	if alone := c.submissions.withdraw(c.opts.Now(), a); word == Settled && !alone {
		return Unsettled
	}
	return word
}

// NotifyRefused notifies the home that a caller is promised that a job does not run.
func (c *Client) NotifyRefused(job string) { c.notify(methodRefused, refusedNotice{Job: job}) }
