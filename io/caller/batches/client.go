package batches

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime/multipart"
	"net/http"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	corejob "mothcart/core/job"
)

// Client calls the endpoints of this package. Its methods are safe for concurrent use.
type Client struct {
	base string
	key  string
	http *http.Client
}

// NewClient returns a client of the caller port at base, such as http://127.0.0.1:8080, with an API
// key.
func NewClient(base, key string, hc *http.Client) Client {
	return Client{base: strings.TrimSuffix(base, "/"), key: key, http: hc}
}

// Submission is a batch to submit.
type Submission struct {
	// Name is the input file's name, and Input its lines.
	Name  string
	Input io.Reader
	// Endpoint is the URL that every line names, and Window the completion window, such as 24h.
	Endpoint, Window string
	// Key identifies the batch, so that a resend returns the same batch; if it is empty, the content of the
	// input file does.
	Key string
	// Class names a batch class; empty uses the defaults.
	Class string
	// NonIdempotent items are dispatched at most once.
	NonIdempotent bool
}

// Progress is the state of a batch.
type Progress struct {
	ID     string
	Status string
	Total  int
	// Completed counts items with an answer and Failed those with any other outcome; Unknown counts those of
	// Failed that may have run.
	Completed, Failed, Unknown int
	// AtRisk reports that the batch will miss its completion window at its present speed, Late that it has
	// missed it.
	AtRisk, Late bool
	Due          time.Time
}

// Ended reports whether the batch has reached a final state.
func (p Progress) Ended() bool {
	return p.Status == corejob.Completed.String() || p.Status == corejob.Cancelled.String()
}

// LineError describes the error in one line of the input file.
type LineError struct {
	Line    int
	Message string
}

// RefusedError is an answer with a status of 400 or more.
type RefusedError struct {
	Status  int
	Message string
	// Ran is no or maybe: whether the call had an effect.
	Ran string
	// Lines lists the errors in the input file.
	Lines []LineError
}

// Error returns the server's message.
func (e *RefusedError) Error() string { return e.Message }

// Submit uploads the input file and creates a batch from it.
func (c Client) Submit(ctx context.Context, s Submission) (Progress, error) {
	id, err := c.upload(ctx, s)
	if err != nil {
		return Progress{}, merry.Errorf("upload: %w", err)
	}
	meta := map[string]string{}
	set := func(name, value string) {
		if value != "" {
			meta[name] = value
		}
	}
	set(metaKey, s.Key)
	set(metaClass, s.Class)
	if s.NonIdempotent {
		meta[metaIdempotent] = "false"
	}
	req := createRequest{InputFileID: id, Endpoint: s.Endpoint, CompletionWindow: s.Window, Metadata: meta}
	body, err := json.Marshal(req)
	if err != nil {
		return Progress{}, merry.Errorf("encode request: %w", err)
	}
	return c.batch(ctx, http.MethodPost, "/v1/batches", bytes.NewReader(body))
}

func (c Client) upload(ctx context.Context, s Submission) (string, error) {
	r, w := io.Pipe()
	form := multipart.NewWriter(w)
	go func() { _ = w.CloseWithError(writeForm(form, s)) }()
	defer r.Close()
	resp, err := c.do(ctx, http.MethodPost, "/v1/files", form.FormDataContentType(), r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	var f file
	if err := json.NewDecoder(resp.Body).Decode(&f); err != nil {
		return "", merry.Errorf("read answer: %w", err)
	}
	return f.ID, nil
}

func writeForm(form *multipart.Writer, s Submission) error {
	if err := form.WriteField("purpose", purposeBatch); err != nil {
		return merry.Errorf("write form: %w", err)
	}
	part, err := form.CreateFormFile("file", s.Name)
	if err != nil {
		return merry.Errorf("write form: %w", err)
	}
	if _, err := io.Copy(part, s.Input); err != nil {
		return merry.Errorf("write form: %w", err)
	}
	return form.Close()
}

// Get returns the state of a batch.
func (c Client) Get(ctx context.Context, id string) (Progress, error) {
	return c.batch(ctx, http.MethodGet, "/v1/batches/"+id, nil)
}

// Cancel cancels a batch.
func (c Client) Cancel(ctx context.Context, id string) (Progress, error) {
	return c.batch(ctx, http.MethodPost, "/v1/batches/"+id+"/cancel", nil)
}

// Results copies the answers of a batch to w, or all its other outcomes if failed is set.
func (c Client) Results(ctx context.Context, id string, failed bool, w io.Writer) error {
	name := outputPrefix + id
	if failed {
		name = errorPrefix + id
	}
	resp, err := c.do(ctx, http.MethodGet, "/v1/files/"+name+"/content", "", nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(w, resp.Body); err != nil {
		return merry.Errorf("read results: %w", err)
	}
	return nil
}

func (c Client) batch(ctx context.Context, method, path string, body io.Reader) (Progress, error) {
	resp, err := c.do(ctx, method, path, "application/json", body)
	if err != nil {
		return Progress{}, err
	}
	defer resp.Body.Close()
	var b batch
	if err := json.NewDecoder(resp.Body).Decode(&b); err != nil {
		return Progress{}, merry.Errorf("read answer: %w", err)
	}
	return Progress{
		ID:        b.ID,
		Status:    b.Status,
		Total:     b.RequestCounts.Total,
		Completed: b.RequestCounts.Completed,
		Failed:    b.RequestCounts.Failed,
		Unknown:   b.Mothcart.Unknown,
		AtRisk:    b.Mothcart.AtRisk,
		Late:      b.Mothcart.Late,
		Due:       time.Unix(b.ExpiresAt, 0),
	}, nil
}

func (c Client) do(ctx context.Context, method, path, contentType string, body io.Reader) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, merry.Errorf("build request: %w", err)
	}
	r.Header.Set("Authorization", "Bearer "+c.key)
	if contentType != "" {
		r.Header.Set("Content-Type", contentType)
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, merry.Errorf("call %s: %w", c.base, err)
	}
	if resp.StatusCode < http.StatusBadRequest {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, newRefusedError(resp)
}

func newRefusedError(resp *http.Response) error {
	e := &RefusedError{Status: resp.StatusCode, Ran: resp.Header.Get(headerRan), Message: resp.Status}
	var body errorResponse
	if json.NewDecoder(resp.Body).Decode(&body) == nil && body.Error.Message != "" {
		e.Message = body.Error.Message
	}
	if body.Errors != nil {
		for _, l := range body.Errors.Data {
			e.Lines = append(e.Lines, LineError{Line: l.Line, Message: l.Message})
		}
	}
	return e
}
