package caller

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"mothcart/core/config"
	"mothcart/core/retry"
	"mothcart/io/engine"
)

// DurableRequest is a request that goes through the ledger.
type DurableRequest struct {
	// ID is the request's ID; Key is the caller's idempotency key, or the ID if the caller sent none.
	ID, Key string
	Team    string
	// BodyHash is a hash of method, URL and body that distinguishes a resend from a different request with
	// the same key.
	BodyHash   uint64
	Idempotent bool
	Deadline   time.Time
	// Payload is the encoded request, from which Replay runs it on any VM.
	Payload []byte
}

// DurableAnswer is the answer that the ledger recorded for a request.
type DurableAnswer struct {
	Status int
	Header http.Header
	Body   []byte
	// Unknown means that the request may have run but no answer was recorded.
	Unknown bool
}

// DurableState is the state of an accepted request.
type DurableState struct {
	// State is running, done or unknown.
	State  string
	Answer DurableAnswer
}

// Errors of the functions that give access to the ledger: Options.Durable, Accept and Lookup.
var (
	// ErrNotDurable means that the request could not be made durable; it did not run.
	ErrNotDurable = merry.Sentinel("the request could not be made durable and did not run")
	// ErrKeyReused means that the key was used for a request with another method, URL or body.
	ErrKeyReused = merry.Sentinel("the idempotency key was used for another request")
	// ErrInProgress means that the request is running, or may have run, and that its outcome isn't known
	// yet; the caller can ask again with the same key.
	ErrInProgress = merry.Sentinel("the outcome of the request isn't known yet; ask again with the same key")
	// ErrLookup means that the state of a request can't be read at present.
	ErrLookup = merry.Sentinel("the state of the request can't be read now")
	// ErrNoRequest means that no request has this ID.
	ErrNoRequest = merry.Sentinel("no such request")
)

// payload is a request as stored in the ledger.
type payload struct {
	Method  string      `msgpack:"m"`
	URL     string      `msgpack:"u"`
	Header  http.Header `msgpack:"h"`
	Body    []byte      `msgpack:"b"`
	Account string      `msgpack:"a"`
	ID      string      `msgpack:"i"`
}

// storedHeaders are the headers that affect how a request runs, besides those of routing rules; they are
// stored in the ledger.
var storedHeaders = []string{"Content-Type", "Accept", idempotentHeader}

func (run completionRun) durableRequest(r *http.Request, c call, data []byte) DurableRequest {
	return newDurableRequest(r, c, data, run.key, run.request.Idempotent, run.deadline)
}

func newDurableRequest(r *http.Request, c call, data []byte, key string, mayRepeat bool, due time.Time) DurableRequest {
	header := http.Header{}
	for _, name := range storedHeaders {
		if v := r.Header.Get(name); v != "" {
			header.Set(name, v)
		}
	}
	for _, rule := range c.snapshot.Set.Rules {
		if v := r.Header.Get(rule.Header); rule.Header != "" && v != "" {
			header.Set(rule.Header, v)
		}
	}
	encoded, err := msgpack.Marshal(payload{Method: r.Method, URL: r.URL.RequestURI(), Header: header, Body: data, Account: c.account.Name, ID: c.id})
	if err != nil {
		encoded = nil
	}
	if key == "" {
		key = c.id
	}
	hash := xxhash.New()
	_, _ = hash.WriteString(r.Method + " " + r.URL.RequestURI() + "\x00")
	_, _ = hash.Write(data)
	return DurableRequest{ID: c.id, Key: key, Team: c.account.Team, BodyHash: hash.Sum64(), Idempotent: mayRepeat, Deadline: due, Payload: encoded}
}

// Replay runs a request stored in the ledger and returns its complete answer. An answer with a status of 400
// or more is not in itself an error; an error means that the request failed, and Ran says whether it ran.
func (h *Handler) Replay(ctx context.Context, d DurableRequest) (DurableAnswer, retry.Ran, error) {
	var p payload
	if err := msgpack.Unmarshal(d.Payload, &p); err != nil {
		return DurableAnswer{}, retry.RanNo, merry.Errorf("decode payload: %w", err)
	}
	u, err := url.ParseRequestURI(p.URL)
	if err != nil {
		return DurableAnswer{}, retry.RanNo, merry.Errorf("decode payload: %w", err)
	}
	snapshot := h.opts.Snapshot()
	account, ok := snapshot.Account(p.Account)
	if !ok {
		account = config.Account{Name: p.Account, Team: d.Team}
	}
	c := call{id: p.ID, received: time.Now(), snapshot: snapshot, account: account}
	r := (&http.Request{Method: p.Method, URL: u, Header: p.Header, RequestURI: p.URL}).WithContext(ctx)
	if service, path, ok := plainTarget(u); ok {
		return h.replayPlain(ctx, r, c, service, path, p.Body, d)
	}
	run, problem := h.plan(r, c, p.Body)
	if problem != nil {
		return problem.answer(), problem.ran, nil
	}
	run.request.Idempotent = d.Idempotent
	run.request.Deadline = d.Deadline
	body, summary, err := h.complete(ctx, c, run)
	h.logEnd(c, run, summary, err)
	if err != nil {
		p := problemOf(err)
		return p.answer(), p.ran, err
	}
	if run.body.stream {
		return DurableAnswer{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}, Body: asStream(body)}, retry.RanYes, nil
	}
	return DurableAnswer{Status: http.StatusOK, Header: http.Header{"Content-Type": {"application/json"}}, Body: body}, retry.RanYes, nil
}

// asStream encodes a complete answer as a stream of one event and [DONE], for a caller that asked for a
// stream.
func asStream(body []byte) []byte {
	streamed := bytes.Replace(body, []byte(`"object":"chat.completion"`), []byte(`"object":"chat.completion.chunk"`), 1)
	streamed = bytes.Replace(streamed, []byte(`"message":`), []byte(`"delta":`), 1)
	return append(eventBytes(string(streamed)), eventBytes(engine.DoneEvent)...)
}

// answer converts a problem to an answer that the ledger can record.
func (p problem) answer() DurableAnswer {
	header := http.Header{"Content-Type": {"application/json"}, ranHeader: {string(p.ran)}}
	return DurableAnswer{Status: p.status, Header: header, Body: p.body()}
}
