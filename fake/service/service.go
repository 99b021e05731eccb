// Package service is a stand-in for a plain service whose calls may not all be repeated.
//
// It answers each call with what it saw, and counts how often each request ID arrived, so that a
// test can tell that a call ran at most once.
//
// Usage:
//
//	s, err := service.New(service.NewOptions())
//	defer s.Close()
//	n := s.Ran("request-7")
package service

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// Service is the stand-in. Its methods are safe for concurrent use.
type Service struct {
	opts     Options
	listener net.Listener
	server   *http.Server
	done     sync.WaitGroup

	mu        sync.Mutex
	ran       map[string]int
	ranURL    map[string]int
	total     int
	running   int
	closeNext int
}

// New starts the stand-in.
func New(opts Options) (*Service, error) {
	listener, err := net.Listen("tcp", opts.Address)
	if err != nil {
		return nil, merry.Errorf("listen: %w", err)
	}
	s := &Service{opts: opts, listener: listener, ran: map[string]int{}, ranURL: map[string]int{}}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: 5 * time.Second}
	s.done.Go(func() { _ = s.server.Serve(listener) })
	return s, nil
}

// Address returns host:port.
func (s *Service) Address() string { return s.listener.Addr().String() }

// Close cuts all connections and stops the stand-in.
func (s *Service) Close() {
	_ = s.server.Close()
	s.done.Wait()
}

// Ran returns how often the request with this ID arrived whole.
func (s *Service) Ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

// RanURL returns how often a call with this path and query arrived whole.
func (s *Service) RanURL(url string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ranURL[url]
}

// Total returns the number of calls that arrived whole.
func (s *Service) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// CutNext makes the stand-in close the connection of the next n calls after running them.
func (s *Service) CutNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeNext = n
}

// seen is the answer to a call.
type seen struct {
	Method string `json:"method"`
	URL    string `json:"url"`
	Body   string `json:"body"`
	// Number is the position of the call in the order of arrival.
	Number int `json:"number"`
}

type loadReport struct {
	Running    int `json:"running"`
	MaxRunning int `json:"maxRunning"`
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/load" {
		s.mu.Lock()
		running := s.running
		s.mu.Unlock()
		_ = json.NewEncoder(w).Encode(loadReport{Running: running, MaxRunning: s.opts.MaxRunning})
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	number, cut := s.enter(r.Header.Get("X-Request-Id"), r.URL.RequestURI())
	defer s.leave()
	time.Sleep(s.opts.Latency)
	if cut {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	_ = json.NewEncoder(w).Encode(seen{Method: r.Method, URL: r.URL.RequestURI(), Body: string(body), Number: number})
}

func (s *Service) enter(id, url string) (number int, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran[id]++
	s.ranURL[url]++
	s.total++
	s.running++
	if s.closeNext > 0 {
		s.closeNext--
		cut = true
	}
	return s.total, cut
}

func (s *Service) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}
