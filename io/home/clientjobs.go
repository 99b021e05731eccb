package home

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/core/batch"
	"mothcart/core/submission"
	"mothcart/io/store"
)

// Reservation is the home's answer to a request for room for a job.
type Reservation struct {
	OK bool
	// Open is the size of all open items of the job's route, in tokens.
	Open int64
	// Standing is that of the job if there is no room and the home has ended the attempt; else NoWord.
	Standing Standing
}

// Reserve asks the home for room for a job's tokens on its route. The error is ErrNoHome if no home can
// decide.
func (c *Client) Reserve(ctx context.Context, job batch.Job, attempt submission.Attempt) (Reservation, error) {
	var a reserveAnswer
	err := c.call(ctx, callTimeout, methodReserve, reserveRequest{Job: job.ID, Host: job.Host, Path: job.Path, Tokens: job.Tokens(), Account: job.Account, Attempt: attempt.ID}, &a)
	if err != nil {
		return Reservation{}, err
	}
	if a.Undecided {
		return Reservation{}, merry.Errorf("reserve room for job %s: %w", job.ID, ErrNoHome)
	}
	r := Reservation{OK: a.OK, Open: a.Open}
	if !a.OK && a.Standing != NoWord {
		r.Standing = c.endAttempt(attempt, a.Standing)
	}
	return r, nil
}

// Page is a part of a job's results. Next is the position at which the next page starts.
type Page struct {
	Total   int
	Next    int
	Results []batch.Result
}

// ErrUnknownJob means that the home has no such job that is open; a complete one may be in the object service.
var ErrUnknownJob = merry.Sentinel("home has no such open job")

// Read returns the results of a job of an account from a position on, waiting for the first one. The error is
// ErrUnknownJob if the home does not have the job, and ErrNoHome if no home can confirm its state.
func (c *Client) Read(ctx context.Context, job, account string, after int, wait time.Duration) (Page, error) {
	var a readAnswer
	if err := c.callFor(ctx, account, wait+callTimeout, methodRead, readRequest{Job: job, After: after, Wait: wait, Account: account}, &a); err != nil {
		return Page{}, err
	}
	if a.Unknown {
		return Page{}, merry.Errorf("read job %s: %w", job, ErrUnknownJob)
	}
	if !a.Valid {
		return Page{}, merry.Errorf("read job %s: %w", job, ErrNoHome)
	}
	return Page{Total: a.Total, Next: a.Next, Results: a.Results}, nil
}

// ItemBody is the body of an item in the home's copy of the job.
type ItemBody struct {
	// Found is false if the job has no such item or was ended.
	Found bool
	Body  []byte
}

// Item returns the body of an item of an account's job. The error is ErrNoHome if the home does not have the job or
// can't confirm its lease.
func (c *Client) Item(ctx context.Context, job, account, item string) (ItemBody, error) {
	var a itemAnswer
	if err := c.callFor(ctx, account, callTimeout, methodItem, itemRequest{Job: job, Item: item, Account: account}, &a); err != nil {
		return ItemBody{}, err
	}
	if !a.Valid {
		return ItemBody{}, merry.Errorf("read item %s of job %s: %w", item, job, ErrNoHome)
	}
	return ItemBody{Found: a.Found && !a.Ended, Body: a.Body}, nil
}

// NotifyEnded notifies the home that a job was ended, before the watch of the object service does. A home that this node
// connects to later is notified as well.
func (c *Client) NotifyEnded(job string, end End) {
	m := endedNotice{Job: job, End: end}
	c.ends.add(c.opts.Now(), m)
	c.notify(methodEnded, m)
}

// NotifyStored notifies the home that the object service has stored a job, in case its watch missed the job.
func (c *Client) NotifyStored(job string) {
	c.submissions.end(c.opts.Now(), job)
	c.notify(methodStored, storedNotice{Job: job})
}

// writeCallTimeout bounds a write that the home makes for a node.
const writeCallTimeout = 2 * time.Second

// Submit asks the home to write a job, for a node that can't reach the object service. Errors are
// those of CreateJob; without a home it is store.ErrUnavailable.
func (c *Client) Submit(ctx context.Context, job batch.Job, attempt submission.Attempt) error {
	_, err := c.write(ctx, job.Account, methodSubmit, submitRequest{ID: job.ID, Job: job, Attempt: attempt.ID})
	return err
}

// EndJob asks the home to mark a job of an account as ended, and returns the end with its revision if the home tells it.
// Errors are those of the function EndJob.
func (c *Client) EndJob(ctx context.Context, job, account string, end End) (End, error) {
	a, err := c.write(ctx, account, methodEnd, endRequest{Job: job, Account: account, End: end})
	if a.End.Revision != 0 {
		end = a.End
	}
	return end, err
}

func (c *Client) write(ctx context.Context, account, method string, req any) (writeAnswer, error) {
	if !c.Connected() || !c.serves(account) {
		return writeAnswer{}, merry.Errorf("%s: %w: %w", method, ErrNoHome, store.ErrUnavailable)
	}
	var a writeAnswer
	if err := c.call(ctx, writeCallTimeout, method, req, &a); err != nil {
		return a, merry.Errorf("%s: %w", method, store.LostError(err))
	}
	if err := a.Outcome.err(); err != nil {
		return a, merry.Errorf("%s at the home: %w", method, err)
	}
	return a, nil
}

// serves reports whether the home can tell what is an account's. One of a release without accounts takes each job for
// everybody's.
func (c *Client) serves(account string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return account == "" || c.homeKnowsAccounts
}

// callFor is call on behalf of an account.
func (c *Client) callFor(ctx context.Context, account string, timeout time.Duration, method string, req, resp any) error {
	if !c.serves(account) {
		return merry.Errorf("home knows no accounts: %w", ErrNoHome)
	}
	return c.call(ctx, timeout, method, req, resp)
}

func (c *Client) call(ctx context.Context, timeout time.Duration, method string, req, resp any) error {
	conn := c.connection()
	if conn == nil {
		return ErrNoHome
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := conn.Call(ctx, method, req, resp); err != nil {
		return merry.Errorf("%w: %w", ErrNoHome, err)
	}
	return nil
}
