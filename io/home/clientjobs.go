package home

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/core/batch"
)

// Reservation is the home's word on room for a job.
type Reservation struct {
	OK bool
	// Open is the size of all open items of the job's route, in tokens.
	Open int64
}

// Reserve asks for room for a job's tokens. The error is ErrNoHome if nobody can tell.
func (c *Client) Reserve(ctx context.Context, job batch.Job) (Reservation, error) {
	var a reserveAnswer
	err := c.call(ctx, callTimeout, methodReserve, reserveRequest{Job: job.ID, Host: job.Host, Path: job.Path, Tokens: job.Tokens()}, &a)
	if err != nil {
		return Reservation{}, err
	}
	if a.Unsure {
		return Reservation{}, merry.Errorf("reserve room for job %s: %w", job.ID, ErrNoHome)
	}
	return Reservation{OK: a.OK, Open: a.Open}, nil
}

// Page is a part of a job's results.
type Page struct {
	Total   int
	Next    int
	Results []batch.Result
}

// Read returns the results of a job from a position on, waiting for the first one. The error is
// ErrNoHome if the home does not know the job or can't be sure of its state.
func (c *Client) Read(ctx context.Context, job string, after int, wait time.Duration) (Page, error) {
	var a readAnswer
	if err := c.call(ctx, wait+callTimeout, methodRead, readRequest{Job: job, After: after, Wait: wait}, &a); err != nil {
		return Page{}, err
	}
	if !a.Known {
		return Page{}, merry.Errorf("read job %s: %w", job, ErrNoHome)
	}
	return Page{Total: a.Total, Next: a.Next, Results: a.Results}, nil
}

// ItemBody is the body of an item as the home knows it.
type ItemBody struct {
	// Found is false if the job has no such item or was ended.
	Found bool
	Body  []byte
}

// Item returns the body of an item. The error is ErrNoHome if the home does not know the job.
func (c *Client) Item(ctx context.Context, job, item string) (ItemBody, error) {
	var a itemAnswer
	if err := c.call(ctx, callTimeout, methodItem, itemRequest{Job: job, Item: item}, &a); err != nil {
		return ItemBody{}, err
	}
	if !a.Known {
		return ItemBody{}, merry.Errorf("read item %s of job %s: %w", item, job, ErrNoHome)
	}
	return ItemBody{Found: a.Found && !a.Ended, Body: a.Body}, nil
}

// NotifyEnded tells the home that a job was ended, ahead of the object service.
func (c *Client) NotifyEnded(job string) { c.notify(methodEnded, endedNotice{Job: job}) }

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
