package home

import (
	"context"
	"fmt"
	"sync"
	"time"

	"mothcart/core/batch"
	"mothcart/core/submission"
	"mothcart/io/link"
)

// Standing is what is known of a job when an attempt to submit it ends without effect.
type Standing int

const (
	// Unsettled means that an attempt may still store the job, or that this node can't know.
	Unsettled Standing = iota
	// Settled means that no attempt may still store the job.
	Settled
	// Stored means that the home has the job.
	Stored
)

// settleGrace is the time after its start within which a home promises nothing: by then the nodes that are connected have
// told it of their attempts.
const settleGrace = time.Second

// withdraw ends an attempt to submit a job and answers whether the job may be refused.
func (h *Home) withdraw(in link.Incoming) error {
	return handleMessage(in, func(m withdrawRequest) {
		now := h.opts.Now()
		h.mu.Lock()
		defer h.mu.Unlock()
		stored := h.existsFor(m.Job, m.Account)
		settled := h.submissions.Withdraw(now, submission.Attempt{Job: m.Job, ID: m.Attempt}) &&
			h.loaded && now.Sub(h.startedAt) >= settleGrace && !h.exists(m.Job)
		if settled {
			delete(h.reserved, m.Job)
		}
		h.opts.Log.Info().Str("job", m.Job).Str("attempt", m.Attempt).Bool("stored", stored).Bool("settled", settled).Msg("submissionWithdrawn")
		in.Answer(withdrawAnswer{Stored: stored, Settled: settled})
	})
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

// noteSubmission records that a job is stored, so that nobody may refuse it any more; the mutex is held.
func (h *Home) noteSubmission(id string) {
	if h.submissions.Stored(h.opts.Now(), id) {
		h.metrics.refusedJobs.Inc(1)
		h.opts.Log.Error().Str("job", id).Msg("refusedJobStored")
	}
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
// a home it is Unsettled: an earlier attempt, at another node, may still store the job.
func (c *Client) Withdraw(ctx context.Context, a submission.Attempt, job batch.Job) Standing {
	settled := c.submissions.withdraw(c.opts.Now(), a)
	var answer withdrawAnswer
	err := c.callFor(ctx, job.Account, callTimeout, methodWithdraw, withdrawRequest{Job: a.Job, Attempt: a.ID, Account: job.Account}, &answer)
	switch {
	case err == nil && answer.Stored:
		return Stored
	case err == nil && answer.Settled && settled:
		return Settled
	default:
		return Unsettled
	}
}
