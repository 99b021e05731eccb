package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/io/dial"
)

// Paths and parameters of the object service's HTTP interface.
const (
	// ObjectsPath is followed by the object's key, or used alone for a listing.
	ObjectsPath = "/v1/objects/"
	// ParamPrefix selects the keys of a listing.
	ParamPrefix = "prefix"
	// ParamAfter is the key that a listing starts after.
	ParamAfter = "after"
	// ParamLimit is the largest number of objects in a page of a listing.
	ParamLimit = "limit"
	// ParamWatchAfter makes a read wait for a version greater than this one.
	ParamWatchAfter = "watchAfter"
	// ParamWaitMillis bounds the wait, in milliseconds.
	ParamWaitMillis = "waitMillis"
)

// callTimeout bounds one call that is not a watch.
const callTimeout = 5 * time.Second

// watchGrace is added to a watch's wait before the client abandons the watch as unresponsive.
const watchGrace = 2 * time.Second

// ListedObject is one element of a listing on the wire.
type ListedObject struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
}

// ETag formats a version as an entity tag.
func ETag(v Version) string { return fmt.Sprintf("%q", strconv.FormatUint(uint64(v), 10)) }

// ParseETag parses a version from an entity tag.
func ParseETag(tag string) (Version, error) {
	s, err := strconv.Unquote(tag)
	if err != nil {
		return 0, merry.Errorf("entity tag %q: %w", tag, err)
	}
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return 0, merry.Errorf("entity tag %q: %w", tag, err)
	}
	return Version(n), nil
}

type httpClient struct {
	base string
	http *http.Client
}

// NoRedirect keeps an HTTP client from following redirects: the read to which one of a write may lead looks like the write's
// success.
func NoRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// NewHTTP returns a Client for the service at base, such as http://10.0.0.9:7000. It follows no redirects.
func NewHTTP(base string, hc *http.Client) Client {
	direct := *hc
	direct.CheckRedirect = NoRedirect
	h := &httpClient{base: base, http: &direct}
	return Client{Get: h.get, Put: h.put, Delete: h.remove, List: h.list, Watch: h.watch}
}

// do makes a call on a connection of its own: the answers don't name their calls, so that on a connection that is used
// again a second copy of an answer would be taken for that of the next call.
func (h *httpClient) do(r *http.Request) (*http.Response, error) {
	r.Close = true
	return h.http.Do(r)
}

func (h *httpClient) get(ctx context.Context, key string) (Object, error) {
	return h.read(ctx, key, "", callTimeout)
}

func (h *httpClient) watch(ctx context.Context, key string, after Version, wait time.Duration) (Object, error) {
	q := url.Values{}
	q.Set(ParamWatchAfter, strconv.FormatUint(uint64(after), 10))
	q.Set(ParamWaitMillis, strconv.FormatInt(wait.Milliseconds(), 10))
	return h.read(ctx, key, "?"+q.Encode(), wait+watchGrace)
}

func (h *httpClient) read(ctx context.Context, key, query string, timeout time.Duration) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, h.base+ObjectsPath+url.PathEscape(key)+query, nil)
	if err != nil {
		return Object{}, merry.Errorf("build read of %s: %w", key, err)
	}
	resp, err := h.do(r)
	if err != nil {
		return Object{}, merry.Errorf("read %s: %w: %w", key, ErrUnavailable, err)
	}
	defer resp.Body.Close()
	if err := statusError(resp.StatusCode); err != nil {
		return Object{}, merry.Errorf("read %s: %w", key, err)
	}
	version, err := ParseETag(resp.Header.Get("ETag"))
	if err != nil {
		return Object{}, merry.Errorf("read %s: %w", key, err)
	}
	value, err := io.ReadAll(io.LimitReader(resp.Body, MaxValueBytes+1))
	if err != nil {
		return Object{}, merry.Errorf("read %s: %w: %w", key, ErrUnavailable, err)
	}
	return Object{Key: key, Version: version, Value: value}, nil
}

func (h *httpClient) put(ctx context.Context, key string, value []byte, expect Version) (Version, error) {
	if len(value) > MaxValueBytes {
		return 0, merry.Errorf("write %s: value of %d bytes exceeds the limit of %d: %w", key, len(value), MaxValueBytes, ErrUnavailable)
	}
	resp, err := h.write(ctx, http.MethodPut, key, value, expect)
	if err != nil {
		return 0, err
	}
	version, err := ParseETag(resp.Header.Get("ETag"))
	if err != nil {
		return 0, merry.Errorf("write %s: %w", key, LostError(err))
	}
	return version, nil
}

func (h *httpClient) remove(ctx context.Context, key string, expect Version) error {
	_, err := h.write(ctx, http.MethodDelete, key, nil, expect)
	return err
}

func (h *httpClient) write(ctx context.Context, method, key string, value []byte, expect Version) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, h.base+ObjectsPath+url.PathEscape(key), bytes.NewReader(value))
	if err != nil {
		return nil, merry.Errorf("build write of %s: %w: %w", key, ErrUnavailable, err)
	}
	if expect == Absent {
		r.Header.Set("If-None-Match", "*")
	} else {
		r.Header.Set("If-Match", ETag(expect))
	}
	resp, err := h.do(r)
	if err != nil {
		return nil, merry.Errorf("write %s: %w", key, writeFailure(err))
	}
	defer resp.Body.Close()
	if err := writeStatusError(resp.StatusCode); err != nil {
		return nil, merry.Errorf("write %s: %w", key, err)
	}
	return resp, nil
}

// writeFailure returns ErrUnavailable for a write that was never sent and ErrUnknown for one whose answer was
// lost.
func writeFailure(err error) error {
	if dial.Failed(err) {
		return merry.Errorf("%w: %w", ErrUnavailable, err)
	}
	return LostError(err)
}

func (h *httpClient) list(ctx context.Context, prefix, after string, limit int) ([]Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	q := url.Values{}
	q.Set(ParamPrefix, prefix)
	q.Set(ParamAfter, after)
	q.Set(ParamLimit, strconv.Itoa(limit))
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, h.base+ObjectsPath+"?"+q.Encode(), nil)
	if err != nil {
		return nil, merry.Errorf("build listing of %s: %w", prefix, err)
	}
	resp, err := h.do(r)
	if err != nil {
		return nil, merry.Errorf("list %s: %w: %w", prefix, ErrUnavailable, err)
	}
	defer resp.Body.Close()
	if err := statusError(resp.StatusCode); err != nil {
		return nil, merry.Errorf("list %s: %w", prefix, err)
	}
	var listed []ListedObject
	if err := json.NewDecoder(resp.Body).Decode(&listed); err != nil {
		return nil, merry.Errorf("list %s: %w: %w", prefix, ErrUnavailable, err)
	}
	objects := make([]Object, 0, len(listed))
	for _, l := range listed {
		objects = append(objects, Object{Key: l.Key, Version: l.Version})
	}
	return objects, nil
}

// statusError returns the error of a read.
func statusError(status int) error {
	switch {
	case status >= http.StatusOK && status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	default:
		return merry.Errorf("status %d: %w", status, ErrUnavailable)
	}
}

// writeStatusError returns the error of a write. A refusal shows that the write had no effect; what a server, or a proxy before
// it, answers of a failure of its own doesn't.
func writeStatusError(status int) error {
	switch {
	case status >= http.StatusOK && status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusPreconditionFailed:
		return ErrConflict
	case status == http.StatusServiceUnavailable || (status/100 == 4 && status != http.StatusRequestTimeout):
		return merry.Errorf("status %d: %w", status, ErrUnavailable)
	default:
		return merry.Errorf("status %d: %w", status, ErrUnknown)
	}
}
