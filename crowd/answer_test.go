package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/platform"
	"mothcart/platform/fake"
)

const (
	// maxAttempts bounds how often an ordinary request is sent, attemptPause is the time between two attempts.
	maxAttempts  = 40
	attemptPause = 250 * time.Millisecond
	// attemptTimeout ends an attempt, so that a process that hangs is noticed.
	attemptTimeout = 6 * time.Second
	// heartbeatTimeout ends an attempt to read a heartbeat of the home, which sends some a second.
	heartbeatTimeout = 500 * time.Millisecond
)

// requireAnswers checks that each process answers: an online request, which an engine runs, a job, which the home accepts, and
// requests for metrics. Each may take some attempts, as callers make them.
func (s *site) requireAnswers(when string) {
	online := func(id string) (*http.Response, error) {
		return s.call(http.MethodPost, s.callers(), "/fetch/1", id, []byte("hello"))
	}
	s.eventually("an online request", when, func(id string) bool {
		resp, err := online(id)
		return err == nil && resp.StatusCode == http.StatusOK && fake.SignatureOf(resp.Header) == fake.Signature(id)
	})
	job := "job" + when
	s.eventually("a job", when, func(string) bool {
		resp, err := s.call(http.MethodPost, s.callers(), "/lot/1", job, fake.JobBody(job, 1, []byte("draft")))
		return err == nil && resp.StatusCode == http.StatusAccepted
	})
	for _, address := range []string{s.entryMetrics(), s.homeMetrics()} {
		s.eventually("a request for metrics", when, func(id string) bool {
			resp, err := s.call(http.MethodGet, address, "/metrics", id, nil)
			return err == nil && resp.StatusCode == http.StatusOK
		})
	}
}

// requireNodePorts checks that the ports for connections between nodes take new connections: the home sends heartbeats on each, also
// where an entry relays it.
func (s *site) requireNodePorts() {
	for _, address := range []string{s.entryNodes(), s.homeNodes()} {
		s.eventually("a connection between nodes to "+address, "after", func(string) bool {
			conn, err := s.dialer().Dial("tcp", address)
			if err != nil {
				return false
			}
			defer conn.Close()
			_ = conn.SetReadDeadline(time.Now().Add(heartbeatTimeout)) // fails only if the connection has ended
			_, err = conn.Read(make([]byte, 1))
			return err == nil
		})
	}
}

func (s *site) eventually(what, when string, answered func(id string) bool) {
	for range maxAttempts {
		s.requests++
		if answered(fmt.Sprintf("r%d", s.requests)) {
			return
		}
		for _, p := range s.processes {
			require.True(s.t, p.alive(), "process %s lives: %s", p.id, p.lastLogs())
		}
		time.Sleep(attemptPause)
	}
	for _, p := range s.processes {
		s.t.Logf("log of %s: %s", p.id, p.lastLogs())
	}
	require.Fail(s.t, what+" is answered", "%s the crowd, %d attempts", when, maxAttempts)
}

// dialer opens connections from an address that no crowd uses.
func (s *site) dialer() *net.Dialer {
	return &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(s.ip(8, 1))}, Timeout: attemptTimeout}
}

// call sends a request on a new connection, and reads the answer to its end.
func (s *site) call(method, address, path, id string, body []byte) (*http.Response, error) {
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		panic(err) // tests send only valid requests
	}
	r.Host = fake.Host
	r.Header.Set(platform.RequestIDHeader, id)
	client := http.Client{Timeout: attemptTimeout, Transport: &http.Transport{DialContext: s.dialer().DialContext, DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}
