package main

import (
	"context"
	"errors"
	"sync"
	"time"

	"mothcart/platform/fake"
)

// manyBytes: jobs of a size that the limits of the configuration allow are accepted for a while. Then the home node that
// wrote last is killed, and comes back after a second. Jobs that are accepted afterwards must be listed.
func manyBytes(ctx context.Context, r *record, trouble bool) (int, error) {
	const (
		items    = 10
		itemSize = 46_500
		many     = 250
		gap      = 256 * time.Millisecond
		late     = 3
		finish   = 18 * time.Second
	)
	s, err := newSite(siteOptions{entries: 3, homes: 3, engines: 9, slots: 8, events: 10, pace: 10 * time.Millisecond, entryMB: 284, homeMB: 304, tokenCap: 1_900_000}, r)
	if err != nil {
		return failed, err
	}
	defer s.close()
	if err := s.awaitReady(ctx); err != nil {
		return failed, err
	}
	body := make([]byte, itemSize)
	var wg sync.WaitGroup
	send := func(n int) *lot {
		l := &lot{id: newID(), items: items}
		wg.Go(func() { s.submit(ctx, l, fake.JobBody(l.id, items, body), n) })
		return l
	}
	var first []*lot
	for n := range many {
		first = append(first, send(n))
		if !sleep(ctx, gap) {
			return failed, errors.New("no time is left")
		}
	}
	wg.Wait()
	sleep(ctx, 3*time.Second)
	for n, l := range first {
		if !l.accepted.IsZero() && n%20 == 0 && !s.read(ctx, l, n) {
			return failed, errors.New("a job before the disruption is not complete")
		}
	}
	if trouble {
		if err := s.killHome(ctx); err != nil {
			return failed, err
		}
	}
	sleep(ctx, 4*time.Second)
	var after []*lot
	for n := range late {
		after = append(after, send(n))
		sleep(ctx, time.Second)
	}
	wg.Wait()
	missing := s.awaitListed(ctx, after, time.Now().Add(finish))
	for _, p := range s.processes() {
		r.add("%s has used %d MB at most", p.id, p.peakMB())
	}
	begun, open := s.runs()
	r.add("engines have begun %d runs, %d go on; %d jobs are incomplete", begun, open, missing)
	if missing > 0 {
		return broken, nil
	}
	return held, nil
}

// killHome kills the process that wrote to the object service last under a condition, and starts it again after a second.
func (s *site) killHome(ctx context.Context) error {
	p := s.home()
	if p == nil {
		return errors.New("there is no home")
	}
	s.record.add("SIGKILL to %s, which wrote last", p.id)
	p.kill()
	sleep(ctx, time.Second)
	s.record.add("%s is started again", p.id)
	return p.start()
}

// awaitListed reads jobs until all their items are listed or it is too late, and returns how many jobs are incomplete.
func (s *site) awaitListed(ctx context.Context, lots []*lot, end time.Time) int {
	missing := 0
	for n, l := range lots {
		if l.accepted.IsZero() {
			continue
		}
		for !s.read(ctx, l, n) && time.Now().Before(end) && ctx.Err() == nil {
			sleep(ctx, 500*time.Millisecond)
		}
		if len(l.results) < l.items {
			missing++
			s.record.add("lot %s was accepted and has %d of %d results %.1f s later", l.id, len(l.results), l.items, time.Since(l.accepted).Seconds())
		}
	}
	return missing
}
