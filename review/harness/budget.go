package main

import (
	"errors"
	"net/http"
	"slices"
	"syscall"
	"time"
)

const (
	// maxAttempts is that of the batch route; after three times as many answers of 500 an item may not reach an engine again.
	maxAttempts = 3
	runsAllowed = 3 * maxAttempts
	// contact is how long a machine and the core must have been undisturbed, so that the machine is in touch.
	contact = 3 * time.Second
	// downTime is how long a killed process is away, killEvery the time between two kills: longer than that, and the time
	// to catch up of 4.7 s.
	downTime  = 500 * time.Millisecond
	killEvery = 7 * time.Second
)

// failingItem: an item fails at each run, while the process that acts as the home is killed a few times, one at a time.
func failingItem(rec *record, trouble bool) (bool, error) {
	job := "7c41e09b52d6a3f8"
	items := newItems(job, 10)
	bad := items[3].ID
	opts := draft()
	opts.fails = func(id string) outcome {
		if id == bad {
			return outcome{status: http.StatusInternalServerError, after: 1900 * time.Millisecond}
		}
		return outcome{}
	}
	s, err := newSite(rec, 3, opts, func(*site) {})
	defer s.close()
	if err != nil {
		return false, err
	}
	if !s.submit(job, items, 5) {
		return false, errors.New("the batch job is not accepted")
	}
	calm := time.Now()
	if trouble {
		for range 4 {
			time.Sleep(killEvery - downTime)
			name := s.holder()
			p := s.process(name)
			if p == nil {
				return false, errors.New("no home")
			}
			rec.printf("kill %s", name)
			<-p.signal(syscall.SIGKILL)
			time.Sleep(downTime)
			if err := p.run(); err != nil {
				return false, err
			}
			rec.printf("start %s", name)
			calm = time.Now()
		}
	}
	listed := s.readUntil(job, len(items), time.Now().Add(30*time.Second))
	rec.printf("check: %d of %d items are listed, the item %s is %q", len(listed), len(items), bad, listed[bad].State)
	return s.ranTooOften(bad, calm.Add(contact)), nil
}

// ranTooOften reports whether an item has reached an engine again after runsAllowed answers of 500, later than a time.
func (s *site) ranTooOften(id string, after time.Time) bool {
	var arrivals, answered []time.Time
	for _, e := range s.engines {
		a, b := e.times(id)
		arrivals, answered = append(arrivals, a...), append(answered, b...)
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	slices.SortFunc(answered, time.Time.Compare)
	s.record.printf("check: item %s has reached engines %d times and was answered with 500 %d times", id, len(arrivals), len(answered))
	if len(answered) < runsAllowed {
		return false
	}
	last := answered[runsAllowed-1]
	return slices.ContainsFunc(arrivals, func(t time.Time) bool { return t.After(last) && t.After(after) })
}
