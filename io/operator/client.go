package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/core/config"
	"mothcart/core/publication"
	"mothcart/io/published"
)

// Client calls the operators' port of one VM.
type Client struct {
	base string
	http *http.Client
	// operator is the name sent in OperatorHeader; a port with TLS ignores it.
	operator string
}

// NewClient returns a client for the port at base, such as https://10.0.0.1:8444.
func NewClient(base string, hc *http.Client) Client {
	return Client{base: base, http: hc}
}

// WithOperator returns a copy that names the operator to a port without TLS.
func (c Client) WithOperator(name string) Client {
	c.operator = name
	return c
}

// Status is the state of the configuration as one VM reports it.
type Status struct {
	// Generation is the generation in force on the VM that answered; Confirmed is the time since the
	// platform or a peer last confirmed it.
	Generation uint64
	Confirmed  time.Duration
	published.Spread
}

// Apply publishes the set. Refusals and conflicts are returned as results. An error means that nothing was
// decided or that the outcome is unknown; the text of an error that the port answered with says which.
func (c Client) Apply(ctx context.Context, set config.Set, expect *uint64) (published.Result, error) {
	var resp applyResponse
	err := c.call(ctx, http.MethodPost, PathConfiguration, applyRequest{Set: set, Expect: expect}, &resp)
	return published.Result(resp), err
}

// Get returns the set in force on the VM and its generation.
func (c Client) Get(ctx context.Context) (uint64, config.Set, error) {
	var resp getResponse
	err := c.call(ctx, http.MethodGet, PathConfiguration, nil, &resp)
	return resp.Generation, resp.Set, err
}

// Diff compares the set with the one in force on the VM.
func (c Client) Diff(ctx context.Context, set config.Set) (generation uint64, changes []config.Change, problems []config.Problem, err error) {
	var resp diffResponse
	err = c.call(ctx, http.MethodPost, PathDiff, diffRequest{Set: set}, &resp)
	return resp.Generation, resp.Changes, resp.Problems, err
}

// Audit returns up to limit entries of the audit trail, newest first. If older entries or changes could not
// be read, partial says why.
func (c Client) Audit(ctx context.Context, limit int, allChanges bool) (entries []publication.Entry, partial string, err error) {
	path := fmt.Sprintf("%s?limit=%d", PathAudit, limit)
	if allChanges {
		path += "&changes=all"
	}
	var resp auditResponse
	err = c.call(ctx, http.MethodGet, path, nil, &resp)
	return resp.Entries, resp.Partial, err
}

// Status returns the accepted generation and the VMs on which it is in force.
func (c Client) Status(ctx context.Context) (Status, error) {
	var resp statusResponse
	err := c.call(ctx, http.MethodGet, PathStatus, nil, &resp)
	return Status{
		Generation: resp.Generation,
		Confirmed:  time.Duration(resp.ConfirmedMillis) * time.Millisecond,
		Spread: published.Spread{
			Accepted: resp.Accepted, AcceptedKnown: resp.AcceptedKnown, VMs: resp.VMs, Silent: resp.Silent,
		},
	}, err
}

// GetJSON reads and decodes the answer of another path of the port.
func GetJSON[T any](ctx context.Context, c Client, path string) (T, error) {
	var v T
	err := c.call(ctx, http.MethodGet, path, nil, &v)
	return v, err
}

// Post sends a POST without a body to another path of the port, such as the one that starts a drain.
func Post(ctx context.Context, c Client, path string) error {
	return c.call(ctx, http.MethodPost, path, nil, nil)
}

// call sends req as JSON and decodes the answer into resp. Conflicts and refused sets are answers, not errors.
func (c Client) call(ctx context.Context, method, path string, req, resp any) error {
	var body io.Reader
	if req != nil {
		data, err := json.Marshal(req)
		if err != nil {
			return merry.Errorf("encode request: %w", err)
		}
		body = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return merry.Errorf("build request: %w", err)
	}
	r.Header.Set(OperatorHeader, c.operator)
	answer, err := c.http.Do(r)
	if err != nil {
		return merry.Errorf("reach %s: %w", c.base, err)
	}
	defer answer.Body.Close()
	dec := json.NewDecoder(answer.Body)
	switch answer.StatusCode {
	case http.StatusAccepted:
		return nil
	case http.StatusOK, http.StatusConflict, http.StatusUnprocessableEntity:
		if err := dec.Decode(resp); err != nil {
			return merry.Errorf("read answer: %w", err)
		}
		return nil
	default:
		var e errorResponse
		if dec.Decode(&e) != nil || e.Error == "" {
			e.Error = "no reason given"
		}
		return merry.Errorf("answer %d: %s", answer.StatusCode, e.Error)
	}
}
