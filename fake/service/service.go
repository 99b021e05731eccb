// Package service is a fake of a plain service whose calls are not all idempotent.
//
// It answers each call with the method, URL and body that it received, and counts how often each request
// ID arrived, so that a test can check that a call ran at most once.
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

// Service is the fake service. Its methods are safe for concurrent use.
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
	abortNext int
}

// New starts a service.
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

// Address returns host:port of the service.
func (s *Service) Address() string { return s.listener.Addr().String() }

// Close closes all connections and stops the service.
func (s *Service) Close() {
	_ = s.server.Close()
	s.done.Wait()
}

// Ran returns how often the request with this ID arrived completely.
func (s *Service) Ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

// RanURL returns how often a call with this path and query arrived completely.
func (s *Service) RanURL(url string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ranURL[url]
}

// Total returns the number of calls that arrived completely.
func (s *Service) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// AbortNext makes the service run the next n calls but close their connections without an answer.
func (s *Service) AbortNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abortNext = n
}

// echo is the answer to a call.
type echo struct {
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
	number, abort := s.begin(r.Header.Get("X-Request-Id"), r.URL.RequestURI())
	defer s.end()
	time.Sleep(s.opts.Latency)
	if abort {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	_ = json.NewEncoder(w).Encode(echo{Method: r.Method, URL: r.URL.RequestURI(), Body: string(body), Number: number})
}

func (s *Service) begin(id, url string) (number int, abort bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran[id]++
	s.ranURL[url]++
	s.total++
	s.running++
	if s.abortNext > 0 {
		s.abortNext--
		abort = true
	}
	return s.total, abort
}

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}
