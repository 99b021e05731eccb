package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// calmReads is the number of bodies of items that clients request at the same time, burstFactor by how much that traffic
	// jumps. An entry has 4,100 descriptors.
	calmReads   = 500
	burstFactor = 6
	// readEvery is the time between two such moments, and readRounds their number.
	readEvery  = 7 * time.Second
	readRounds = 5
	// graceTime is the time from SIGTERM to SIGKILL.
	graceTime = 8 * time.Second
)

// burstOfReads: the traffic of clients that request the bodies of items jumps.
func burstOfReads(rec *record, trouble bool) (bool, error) {
	opts := draft()
	opts.pace = 10 * time.Millisecond
	s, err := newSite(rec, 3, opts, func(*site) {})
	defer s.close()
	if err != nil {
		return false, err
	}
	jobs := []string{"7c41e09b52d6a3f8", "7c41e09b52d6a3f9", "7c41e09b52d6a3fa"}
	items := make(map[string][]item)
	for _, job := range jobs {
		items[job] = newItems(job, 130)
		for i := range items[job] {
			items[job][i].Body = []byte(strings.Repeat("draft ", 3000))
		}
		if !s.submit(job, items[job], 5) {
			return false, errors.New("a batch job is not accepted")
		}
	}
	last := items[jobs[len(jobs)-1]]
	reads := calmReads
	if trouble {
		reads *= burstFactor
	}
	for range readRounds {
		time.Sleep(2 * time.Second)
		began := time.Now()
		rec.printf("clients request %d bodies of items; home: %s", reads, s.holder())
		s.readBodies(reads, jobs[len(jobs)-1], last[len(last)/2:])
		time.Sleep(time.Until(began.Add(readEvery - 2*time.Second)))
	}
	rec.printf("home: %s", s.holder())
	broken, err := s.awaitItems(jobs, items, time.Now().Add(finish))
	s.stopHomes()
	return broken, err
}

// awaitItems reads the batch jobs until all items are listed, or until the engines have been idle although the time is over.
// It reports the latter.
func (s *site) awaitItems(jobs []string, items map[string][]item, over time.Time) (bool, error) {
	for {
		open := 0
		for _, job := range jobs {
			listed := s.readUntil(job, len(items[job]), time.Now().Add(time.Second))
			open += len(items[job]) - len(listed)
		}
		running, idle := s.idleTime()
		switch {
		case open == 0:
			return false, nil
		case time.Now().After(over) && running == 0 && idle > calmTime:
			s.record.printf("check: %d items are not listed, the engines run nothing, the last run ended %.1f s ago", open, idle.Seconds())
			return true, nil
		case time.Now().After(over.Add(2 * finish)):
			return false, errors.New("the items need too long")
		}
	}
}

// stopHomes asks the home nodes to stop, and records which of them don't within their grace period.
func (s *site) stopHomes() {
	for _, p := range s.processes[entries:] {
		ended := p.signal(syscall.SIGTERM)
		select {
		case <-ended:
			s.record.printf("%s has ended after SIGTERM", p.name)
		case <-time.After(graceTime):
			s.record.printf("%s has not ended %s after SIGTERM", p.name, graceTime)
		}
	}
}

// readBodies requests a number of bodies of items at one entry, all at the same time.
func (s *site) readBodies(reads int, job string, items []item) {
	c := http.Client{Timeout: 5 * time.Second}
	var answers sync.Map
	var done sync.WaitGroup
	for n := range reads {
		done.Go(func() {
			status := 0
			r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/items/%s?id=%s", s.front(0), job, items[n%len(items)].ID), nil)
			if err != nil {
				panic(err) // the path is valid
			}
			r.Host, r.Close = host, true
			if resp, err := c.Do(r); err == nil {
				status = resp.StatusCode
				resp.Body.Close()
			}
			count, _ := answers.LoadOrStore(status, new(atomic.Int64))
			count.(*atomic.Int64).Add(1)
		})
	}
	done.Wait()
	answers.Range(func(status, count any) bool {
		s.record.printf("clients: %d bodies of items requested at entry 0: status %v", count.(*atomic.Int64).Load(), status)
		return true
	})
}
