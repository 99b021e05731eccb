// Package submission knows which attempts to submit a job may still store it, and whether a job fits while nodes decide
// without a home.
//
// A refusal promises that no part of a job runs. An attempt whose write was not answered may still take effect, though
// later attempts are refused; a node may refuse the job only if no attempt is open. Attempts end when they are withdrawn,
// since their writes had no effect, when the job is stored, and after Memory. Room is what a node knows of the tokens that
// wait on a route; nodes that each decide alone share what is free.
//
// Usage:
//
//	table.Begin(now, submission.Attempt{Job: "j1", ID: "entry-1/7"})
//	if table.Withdraw(now, submission.Attempt{Job: "j1", ID: "entry-1/7"}) {
//		table.Refuse(now, "j1")
//	}
package submission

import (
	"slices"
	"strings"
	"time"
)

// Memory is how long an attempt stays open that is neither withdrawn nor followed by the job. An object service executes a
// call that it has not answered within seconds.
const Memory = time.Minute

// Attempt is one attempt to submit a job.
type Attempt struct {
	Job string
	// ID is unique among all attempts of all nodes.
	ID string
}

// Table holds the open attempts, and the jobs that were refused. It is not safe for concurrent use.
type Table struct {
	jobs    map[string]*state
	sweptAt time.Time
}

// sweepInterval is the least time between two sweeps of the table.
const sweepInterval = time.Second

type state struct {
	// open holds when each open attempt began.
	open map[string]time.Time
	// refusedAt is when the job was refused; zero if an attempt has begun since.
	refusedAt time.Time
}

// NewTable returns a table without attempts.
func NewTable() *Table { return &Table{jobs: make(map[string]*state)} }

// Begin adds an attempt.
func (t *Table) Begin(now time.Time, a Attempt) {
	if now.Sub(t.sweptAt) >= sweepInterval {
		t.sweep(now)
	}
	s := t.jobs[a.Job]
	if s == nil {
		s = &state{open: make(map[string]time.Time)}
		t.jobs[a.Job] = s
	}
	s.refusedAt = time.Time{}
	if _, known := s.open[a.ID]; !known {
		s.open[a.ID] = now
	}
}

// Withdraw ends an attempt whose writes had no effect. It reports true if no other attempt is open, so that the job may be
// refused.
func (t *Table) Withdraw(now time.Time, a Attempt) bool {
	s := t.jobs[a.Job]
	if s == nil {
		return true
	}
	delete(s.open, a.ID)
	s.sweep(now)
	return len(s.open) == 0
}

// Refuse records that a job without open attempts is refused.
func (t *Table) Refuse(now time.Time, job string) {
	if t.jobs[job] == nil {
		t.jobs[job] = &state{open: make(map[string]time.Time)}
	}
	t.jobs[job].refusedAt = now
}

// Stored ends all attempts at a job, which is stored. It reports true if the job was refused by the last one of them.
func (t *Table) Stored(now time.Time, job string) bool {
	s := t.jobs[job]
	delete(t.jobs, job)
	return s != nil && !s.refusedAt.IsZero() && now.Sub(s.refusedAt) < Memory
}

// Open returns all open attempts, in order.
func (t *Table) Open(now time.Time) []Attempt {
	t.sweep(now)
	var out []Attempt
	for job, s := range t.jobs {
		for id := range s.open {
			out = append(out, Attempt{Job: job, ID: id})
		}
	}
	slices.SortFunc(out, func(a, b Attempt) int {
		if c := strings.Compare(a.Job, b.Job); c != 0 {
			return c
		}
		return strings.Compare(a.ID, b.ID)
	})
	return out
}

// OpenOf returns the number of open attempts at a job.
func (t *Table) OpenOf(job string) int {
	if s := t.jobs[job]; s != nil {
		return len(s.open)
	}
	return 0
}

// sweep forgets attempts and refusals that are older than Memory.
func (t *Table) sweep(now time.Time) {
	t.sweptAt = now
	for job, s := range t.jobs {
		s.sweep(now)
		if len(s.open) == 0 && now.Sub(s.refusedAt) >= Memory {
			delete(t.jobs, job)
		}
	}
}

func (s *state) sweep(now time.Time) {
	for id, began := range s.open {
		if now.Sub(began) >= Memory {
			delete(s.open, id)
		}
	}
}
