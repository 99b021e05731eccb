package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/ansel1/merry/v2"
)

// controlTimeout bounds a call for load, cancellation or orders.
const controlTimeout = 2 * time.Second

// Load is an engine's report of its own load, which lags behind the actual load.
type Load struct {
	Running          int      `json:"running"`
	Waiting          int      `json:"waiting"`
	KVUsedTokens     int      `json:"kvUsedTokens"`
	KVCapacityTokens int      `json:"kvCapacityTokens"`
	MaxRunning       int      `json:"maxRunning"`
	ReportedAtMillis int64    `json:"reportedAtMillis"`
	Models           []string `json:"models"`
}

// Load asks the engine at address for its load report.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var l Load
	if err := c.control(ctx, c.reports, http.MethodGet, address, "/v1/load", nil, &l); err != nil {
		return Load{}, merry.Errorf("load of %s: %w", address, err)
	}
	return l, nil
}

// Cancel cancels a request at the engine. An engine that doesn't know the request may answer with an error
// status, for which Cancel returns an error.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	path := "/v1/requests/" + url.PathEscape(requestID) + "/cancel"
	if err := c.control(ctx, c.transport, http.MethodPost, address, path, nil, nil); err != nil {
		return merry.Errorf("cancel %s at %s: %w", requestID, address, err)
	}
	return nil
}

// control makes a call with JSON bodies within controlTimeout; request and answer may be nil.
func (c *Client) control(ctx context.Context, transport *http.Transport, method, address, path string, request, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var body []byte
	if request != nil {
		var err error
		if body, err = json.Marshal(request); err != nil {
			return merry.Errorf("encode: %w", err)
		}
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return merry.Errorf("build request: %w", err)
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return merry.Errorf("call: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return statusFailure(resp)
	}
	if answer == nil {
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(answer); err != nil {
		return merry.Errorf("decode: %w", err)
	}
	return nil
}
