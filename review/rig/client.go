package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"mothcart/platform/fake"
)

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{f: f, began: time.Now()}, err
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.f, format+"\n", args...)
}

// answer is what a client got; status 0 means none.
type answer struct {
	status     int
	body       []byte
	retryAfter string
	err        error
}

// call makes one call at an entry on a new channel.
func call(ctx context.Context, entry, method, path, id string, body []byte, wait time.Duration, header map[string]string) answer {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	var in io.Reader
	if body != nil {
		in = bytes.NewReader(body)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+net.JoinHostPort(entry, callerPort)+path, in)
	if err != nil {
		return answer{err: err}
	}
	r.Host = fake.Host
	if id != "" {
		r.Header.Set("Mothcart-Request-Id", id)
	}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: b, err: err, retryAfter: resp.Header.Get("Retry-After")}
}

// lot is a batch job that a client sends.
type lot struct {
	id       string
	items    int
	accepted time.Time
	// results are those that were read, by position.
	results []fake.Result
}

// submit sends a job to one entry after the other until it is accepted.
func (s *site) submit(ctx context.Context, l *lot, body []byte, first int) bool {
	for try := range 2 {
		e := s.entries[(first+try)%len(s.entries)]
		a := call(ctx, e.ip, http.MethodPost, "/lot/", l.id, body, 4*time.Second, map[string]string{"Mothcart-Deadline-Ms": "4000", "Content-Type": "application/json"})
		s.record.add("lot %s of %d items, %d bytes, sent to %s: %d %v", l.id, l.items, len(body), e.id, a.status, a.err)
		if a.status == http.StatusAccepted {
			l.accepted = time.Now()
			return true
		}
		if !sleep(ctx, 300*time.Millisecond) {
			return false
		}
	}
	return false
}

// read reads the next results of a job at an entry; it reports whether the job is complete.
func (s *site) read(ctx context.Context, l *lot, entry int) bool {
	e := s.entries[entry%len(s.entries)]
	a := call(ctx, e.ip, http.MethodGet, fake.ResultsPath(l.id, len(l.results)), "", nil, 2500*time.Millisecond, map[string]string{"Mothcart-Long-Poll-Ms": "1000"})
	if a.status != http.StatusOK {
		s.record.add("results of lot %s after %d at %s: %d %v", l.id, len(l.results), e.id, a.status, a.err)
		return false
	}
	page, err := fake.DecodeResults(string(a.body))
	if err != nil {
		s.record.add("results of lot %s after %d at %s: %v", l.id, len(l.results), e.id, err)
		return false
	}
	l.results = append(l.results, page.Results...)
	if len(page.Results) > 0 {
		s.record.add("results of lot %s at %s: %d of %d", l.id, e.id, len(l.results), page.Total)
	}
	return len(l.results) == l.items
}

// runs returns how many runs the engines have begun, and how many go on.
func (s *site) runs() (begun, open int) {
	for _, e := range s.engines {
		begun += e.Total()
		open += e.Running()
	}
	return begun, open
}

// readAll reads all accepted jobs from the start until they are complete or it is too late, and returns how many are not.
func (s *site) readAll(ctx context.Context, lots []*lot, end time.Time) int {
	unread := 0
	for n, l := range lots {
		if l.accepted.IsZero() {
			continue
		}
		l.results = nil
		for !s.read(ctx, l, n) && time.Now().Before(end) && ctx.Err() == nil {
			sleep(ctx, 300*time.Millisecond)
		}
	}
	for n, l := range lots {
		if l.accepted.IsZero() || len(l.results) == l.items {
			continue
		}
		a := call(ctx, s.entries[n%len(s.entries)].ip, http.MethodGet, fake.ResultsPath(l.id, 0), "", nil, 2500*time.Millisecond, nil)
		s.record.add("lot %s: %d of %d results could be read; once more from the start: %d %q", l.id, len(l.results), l.items, a.status, a.body)
		unread++
	}
	return unread
}
