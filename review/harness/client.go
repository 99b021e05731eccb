package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const host = "desk.example"

type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int64             `json:"tokens"`
}

type result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

type page struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []result `json:"results"`
}

// call makes one call on a new channel; the status is 0 without an answer.
func (s *site) call(entry int, method, path string, header map[string]string, body []byte, limit time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+s.front(entry)+path, bytes.NewReader(body))
	if err != nil {
		panic(err) // the cases use only valid paths
	}
	r.Host = host
	for name, value := range header {
		r.Header.Set(name, value)
	}
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := c.Do(r)
	if err != nil {
		s.record.printf("client: %s %s at entry %d: %v", method, path, entry, err)
		return 0, nil
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		s.record.printf("client: %s %s at entry %d: status %d, broken off: %v", method, path, entry, resp.StatusCode, err)
		return 0, nil
	}
	return resp.StatusCode, b
}

// submit hands a batch job in until it is accepted, at one entry after the other.
func (s *site) submit(job string, items []item, tries int) bool {
	body, err := json.Marshal(map[string]any{"items": items})
	if err != nil {
		panic(err) // the cases encode only valid values
	}
	for n := range tries {
		entry := n % entries
		status, _ := s.call(entry, http.MethodPost, "/draft/"+job, map[string]string{"Mothcart-Request-Id": job, "Content-Type": "application/json", "Mothcart-Deadline-Ms": "4000"}, body, 5*time.Second)
		s.record.printf("client: batch job %s with %d items at entry %d: %d", job, len(items), entry, status)
		if status == http.StatusAccepted {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// newItems returns the items of a batch job.
func newItems(job string, n int) []item {
	var items []item
	for i := range n {
		id := fmt.Sprintf("%s%04x", job, i)
		items = append(items, item{ID: id, Path: "/draft/3/" + id, Body: []byte("draft " + id), Tokens: 940,
			Headers: map[string]string{"Mothcart-Model": "m", "Mothcart-Token-Usage": "540,400", "Mothcart-Prompt-Prefix": fmt.Sprintf("9c2e41:300,%s:240", id)}})
	}
	return items
}

// results reads a batch job from the start at one entry; it returns false without a 200.
func (s *site) results(job string, entry int) ([]result, bool) {
	var all []result
	for {
		status, b := s.call(entry, http.MethodGet, fmt.Sprintf("/lots/%s?after=%d", job, len(all)), map[string]string{"Mothcart-Long-Poll-Ms": "200"}, nil, 3*time.Second)
		if status != http.StatusOK {
			s.record.printf("client: read of batch job %s at entry %d from %d: %d", job, entry, len(all), status)
			return all, false
		}
		var p page
		if err := json.Unmarshal(b, &p); err != nil {
			s.record.printf("client: read of batch job %s at entry %d from %d: %v", job, entry, len(all), err)
			return all, false
		}
		all = append(all, p.Results...)
		if len(p.Results) == 0 || len(all) >= p.Total {
			return all, true
		}
	}
}

// readUntil reads a batch job about twice a second until all items are listed or the time is over, and returns the items
// that are listed, by ID.
func (s *site) readUntil(job string, items int, end time.Time) map[string]result {
	listed, last := map[string]result{}, -1
	for n := 0; time.Now().Before(end) && len(listed) < items; n++ {
		results, _ := s.results(job, n%entries)
		for _, r := range results {
			listed[r.ID] = r
		}
		if len(listed) != last {
			last = len(listed)
			s.record.printf("client: batch job %s has %d of %d items listed", job, last, items)
		}
		time.Sleep(500 * time.Millisecond)
	}
	return listed
}
