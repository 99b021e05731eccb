package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// finish is the time that batch jobs have after the traffic has ended.
const finish = 18 * time.Second

// calmTime is how long the engines must have had nothing to do.
const calmTime = 5 * time.Second

// row returns an event's data: a row of a table in HTML, as a model writes it that was asked for a roster page.
func row(id string, n int) string {
	return fmt.Sprintf("<tr><td>%s</td><td>altar lilies</td><td>%02d:30</td><td>B.T.</td></tr>", id[len(id)-4:], n%24)
}

// draft describes engines that write rosters of 180 to 239 events in 1.4 to 1.9 s.
func draft() engineOptions {
	return engineOptions{
		slots: 8, pace: 8 * time.Millisecond, text: row,
		events: func(id string) int { return 180 + int(id[len(id)-1])*13%60 },
		fails:  func(string) outcome { return outcome{} },
	}
}

// lostItems reports whether items of a batch job are lost by the rule: the time is over, they are not listed, and the
// engines have been idle.
func lostItems(s *site, job string, items []item) (bool, error) {
	listed := s.readUntil(job, len(items), time.Now().Add(finish))
	if len(listed) < len(items) {
		listed = s.readUntil(job, len(items), time.Now().Add(calmTime))
	}
	for _, r := range listed {
		if want := s.opts.output(r.ID); r.State != "completed" || r.Text != want {
			return false, fmt.Errorf("item %s is %s with %d bytes, want %d", r.ID, r.State, len(r.Text), len(want))
		}
	}
	if len(listed) == len(items) {
		return false, nil
	}
	running, idle := s.idleTime()
	s.record.printf("check: %d of %d items are listed, engines run %d requests, the last one ended %.1f s ago", len(listed), len(items), running, idle.Seconds())
	if running > 0 || idle < calmTime {
		return false, errors.New("the engines are not idle")
	}
	return true, nil
}

// idleTime returns how many requests the engines run, and how long ago the last complete run ended.
func (s *site) idleTime() (running int, idle time.Duration) {
	last := time.Time{}
	for _, e := range s.engines {
		n, ended := e.state()
		running += n
		if ended.After(last) {
			last = ended
		}
	}
	return running, time.Since(last)
}

// oversizeChunk: the store is down for 4.5 s while the items of a batch job finish.
func oversizeChunk(rec *record, trouble bool) (bool, error) {
	s, err := newSite(rec, 3, draft(), func(*site) {})
	defer s.close()
	if err != nil {
		return false, err
	}
	job := "7c41e09b52d6a3f8"
	items := newItems(job, 100)
	if !s.submit(job, items, 5) {
		return false, errors.New("the batch job is not accepted")
	}
	time.Sleep(time.Second)
	if trouble {
		rec.printf("store: down")
		s.store.setFault(storeFault{down: true})
		time.Sleep(4500 * time.Millisecond)
		s.store.setFault(storeFault{})
		rec.printf("store: back")
	}
	time.Sleep(10 * time.Second) // the rest of the traffic's time
	return lostItems(s, job, items)
}

// plainConflict: for 4.5 s the store executes 35 in 100 writes without an answer. It answers 409 to the creation of an object that
// exists, without the object.
func plainConflict(rec *record, trouble bool) (bool, error) {
	opts := draft()
	opts.events = func(id string) int { return 110 + int(id[len(id)-1])*37%190 } // the items end one after the other
	s, err := newSite(rec, 3, opts, func(s *site) { s.store.plainConflict = true })
	defer s.close()
	if err != nil {
		return false, err
	}
	job := "7c41e09b52d6a3f8"
	items := newItems(job, 100)
	if !s.submit(job, items, 5) {
		return false, errors.New("the batch job is not accepted")
	}
	time.Sleep(2 * time.Second)
	if trouble {
		rec.printf("store: loses answers")
		s.store.setFault(storeFault{lose: func(string, string, string) bool { return rand.Float64() < 0.35 }})
		time.Sleep(4500 * time.Millisecond)
		s.store.setFault(storeFault{})
		rec.printf("store: answers again")
	}
	time.Sleep(10 * time.Second) // the rest of the traffic's time
	return lostItems(s, job, items)
}
