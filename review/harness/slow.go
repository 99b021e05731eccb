package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// readers is the number of clients that read slowly, allowedCuts how many answers may be cut by the rule.
	readers     = 8
	allowedCuts = 3
	// windowBytes is the receive buffer of a client: links have small windows.
	windowBytes = 32 << 10
	// readPause is how long a client reads nothing, fetchTime its time budget.
	readPause = 3500 * time.Millisecond
	fetchTime = 8 * time.Second
)

// slowReader: clients take a page on a kept channel, and read nothing for a while in the middle of it.
func slowReader(rec *record, trouble bool) (bool, error) {
	s, err := newSite(rec, 1, draft(), func(*site) {})
	defer s.close()
	if err != nil {
		return false, err
	}
	time.Sleep(contact)
	var cuts, unable atomic.Int64
	var done sync.WaitGroup
	for n := range readers {
		done.Go(func() {
			time.Sleep(time.Duration(n) * 50 * time.Millisecond)
			complete, err := s.fetchTwice(n, trouble)
			switch {
			case err != nil:
				rec.printf("client %d: %v", n, err)
				unable.Add(1)
			case !complete:
				cuts.Add(1)
			}
		})
	}
	done.Wait()
	rec.printf("check: %d of %d kept channels were closed without a complete answer", cuts.Load(), readers)
	if unable.Load() > 0 {
		return false, errors.New("the first request on a channel was not answered")
	}
	return cuts.Load() > allowedCuts, nil
}

// fetchTwice makes two requests on one channel and pauses in the answer to the second one. It reports whether that is complete.
func (s *site) fetchTwice(n int, paused bool) (bool, error) {
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var setErr error
		err := c.Control(func(fd uintptr) {
			setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
		})
		return errors.Join(err, setErr)
	}}
	entry := n % entries
	conn, err := d.DialContext(context.Background(), "tcp", s.front(entry))
	if err != nil {
		return false, err
	}
	defer conn.Close()
	r := bufio.NewReaderSize(conn, 4<<10)
	for try := range 2 {
		id := fmt.Sprintf("9c41d07be2a3%02x%02x", n, try)
		if err := conn.SetDeadline(time.Now().Add(fetchTime)); err != nil {
			return false, err
		}
		fmt.Fprintf(conn, "POST /fetch/2f HTTP/1.1\r\nHost: %s\r\nMothcart-Request-Id: %s\r\nMothcart-Deadline-Ms: %d\r\nContent-Length: 2\r\n\r\nhi", host, id, fetchTime.Milliseconds())
		began := time.Now()
		resp, err := http.ReadResponse(r, &http.Request{Method: http.MethodPost})
		if err != nil {
			return false, err
		}
		if resp.StatusCode != http.StatusOK {
			return false, fmt.Errorf("request %s: status %d", id, resp.StatusCode)
		}
		if paused && try == 1 {
			time.Sleep(readPause)
		}
		size, err := io.Copy(io.Discard, resp.Body)
		s.record.printf("client %d: request %s at entry %d: status 200, %d of %d bytes after %.2f s, error %v", n, id, entry, size, resp.ContentLength, time.Since(began).Seconds(), err)
		if try == 1 {
			return err == nil && size == deskBytes, nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}
