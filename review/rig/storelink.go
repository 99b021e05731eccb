package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// answerTime is the time that the object service takes for an answer.
	answerTime = 4 * time.Millisecond
	// linkBytes is what a link of a machine carries in a second: 600 Mbit.
	linkBytes = 600_000_000 / 8
	// linkStep is the shortest time that is worth a pause.
	linkStep = 2 * time.Millisecond
)

// storeLink is the way to the object service: a proxy that adds the time of an answer and of the link.
type storeLink struct {
	address, target string
	listener        net.Listener
	mu              sync.Mutex
	conns           map[net.Conn]bool
	closed          bool
	// lost is the share of writes whose answers are lost.
	lost float64
}

// lose sets the share of writes that are done and not answered.
func (s *storeLink) lose(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = share
}

// loses reports that the answer to a call that begins with b is lost.
func (s *storeLink) loses(b byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return b != 'G' && rand.Float64() < s.lost
}

func newStoreLink(address, target string) (*storeLink, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &storeLink{address: address, target: target, listener: l, conns: make(map[net.Conn]bool)}
	go s.accept()
	return s, nil
}

func (s *storeLink) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *storeLink) hold(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
	return !s.closed
}

func (s *storeLink) drop(c net.Conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	_ = c.Close()
}

func (s *storeLink) serve(near net.Conn) {
	defer s.drop(near)
	far, err := net.Dial("tcp4", s.target)
	if err != nil {
		return
	}
	defer s.drop(far)
	if !s.hold(near) || !s.hold(far) {
		return
	}
	head := make([]byte, 1)
	if _, err := io.ReadFull(near, head); err != nil {
		return
	}
	if _, err := far.Write(head); err != nil {
		return
	}
	lost := s.loses(head[0])
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer far.Close()
		copyPaced(far, near, 0)
	}()
	if lost {
		_, _ = io.Copy(io.Discard, far) // the channel returns nothing
		<-ended
		return
	}
	copyPaced(near, far, answerTime)
}

// copyPaced copies at the speed of the link, after a pause before the first byte.
func copyPaced(dst io.Writer, src io.Reader, first time.Duration) {
	buf := make([]byte, 64<<10)
	var free time.Time // when the link has carried all that came before
	for {
		n, err := src.Read(buf)
		if n > 0 {
			if now := time.Now(); free.Before(now) {
				free = now
			}
			free = free.Add(first + time.Duration(n)*time.Second/linkBytes)
			if wait := time.Until(free); wait > linkStep {
				time.Sleep(wait)
			}
			first = 0
			if _, werr := dst.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// read reads the spec of an object at the service itself.
func (s *storeLink) read(kind, name string, spec any) error {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + s.target + "/objects/" + kind + "/" + name)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	var o struct {
		Spec json.RawMessage `json:"spec"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&o); err != nil {
		return err
	}
	return json.Unmarshal(o.Spec, spec)
}

func (s *storeLink) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close()
	}
}
