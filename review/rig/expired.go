package main

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"mothcart/platform/fake"
)

// expired: all engines are lost one after the other, so that jobs wait until their items are given up. While that happens, the
// home freezes, and answers of the object service are lost. Then there are engines again. As the final fault all processes are killed.
// Each job must be readable then.
func expired(ctx context.Context, r *record, trouble bool) (int, error) {
	const (
		items      = 10
		many       = 36
		gap        = 330 * time.Millisecond
		enginesN   = 9
		freezeTime = 3200 * time.Millisecond
		lostAfter  = 1900 * time.Millisecond
		lostTime   = 1100 * time.Millisecond
		lostShare  = 0.35
		finish     = 18 * time.Second
	)
	s, err := newSite(siteOptions{entries: 3, homes: 3, engines: enginesN, slots: 8, events: 20, pace: 10 * time.Millisecond, entryMB: 284, homeMB: 314, tokenCap: 1_900_000}, r)
	if err != nil {
		return failed, err
	}
	defer s.close()
	if err := s.awaitReady(ctx); err != nil {
		return failed, err
	}
	sleep(ctx, 2*time.Second)
	if trouble {
		for n := 1; n <= enginesN; n++ {
			s.loseEngine(n)
			r.add("engine i-%d is lost for good", n)
			sleep(ctx, 300*time.Millisecond)
		}
		sleep(ctx, 4*time.Second)
	}
	var wg sync.WaitGroup
	var lots []*lot
	began := time.Now()
	for n := range many {
		l := &lot{id: newID(), items: items}
		lots = append(lots, l)
		wg.Go(func() { s.submit(ctx, l, fake.JobBody(l.id, items, make([]byte, 1500)), n) })
		sleep(ctx, gap)
	}
	wg.Wait()
	if trouble {
		sleep(ctx, time.Until(began.Add(maxWait+5*time.Second)))
		p := s.home()
		if p == nil {
			return failed, errors.New("there is no home")
		}
		r.add("%s, which wrote last, freezes", p.id)
		p.signal(syscall.SIGSTOP)
		time.AfterFunc(freezeTime, func() { p.signal(syscall.SIGCONT) })
		sleep(ctx, lostAfter)
		r.add("a share of %.2f of the answers to writes is lost", lostShare)
		s.link.lose(lostShare)
		sleep(ctx, lostTime)
		s.link.lose(0)
		r.add("answers are lost no longer")
		sleep(ctx, 2*time.Second)
		for n := enginesN + 1; n <= 2*enginesN; n++ {
			s.addEngine(n)
			r.add("engine i-%d is new", n)
		}
	}
	sleep(ctx, 5*time.Second)
	writes, kind := s.mostWrites()
	r.add("the object service has got %d writes of kind %s, the most of all results", writes, kind)
	if trouble {
		if err := s.killAll(ctx); err != nil {
			return failed, err
		}
	}
	unread := s.readAll(ctx, lots, time.Now().Add(finish))
	if unread > 0 {
		return broken, nil
	}
	return held, nil
}
