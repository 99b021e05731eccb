package main

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"mothcart/platform/fake"
)

const (
	// budgetEngines is the number of servers, of which one is slow by slowFactor.
	budgetEngines, slowFactor = 7, 4
	// budgetEvents are the pieces of a stream, one each budgetPace.
	budgetEvents, budgetPace = 60, 24 * time.Millisecond
	// timeBudget is that of the clients.
	timeBudget = 5 * time.Second
	// budgetClients is the number of clients that send one request after the other, and budgetTime how long they do.
	budgetClients, budgetTime = 40, 40 * time.Second
)

// streamed is what a client has received of a stream.
type streamed struct {
	status, pieces int
	// whole reports that the answer ended as complete.
	whole bool
	took  time.Duration
}

// stream sends one request for a stream and reads it to its end.
func (d *deployment) stream(entry int, id string) (streamed, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+at(d.entries[entry%len(d.entries)].ip, d.ports.caller)+"/once/stream/1", nil)
	if err != nil {
		return streamed{}, err
	}
	req.Host = fake.Host
	req.Header.Set("Mothcart-Request-Id", id)
	req.Header.Set("Mothcart-Deadline-Ms", fmt.Sprint(timeBudget.Milliseconds()))
	client := &http.Client{Timeout: timeBudget + 3*time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	began := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return streamed{}, err
	}
	defer resp.Body.Close()
	s := streamed{status: resp.StatusCode}
	s.whole = fake.EachEvent(bufio.NewReader(resp.Body), func(int, string) { s.pieces++ }) == nil
	s.took = time.Since(began)
	return s, nil
}

// playBudget sends streams, of which some reach a slow server that can't end them in the time budget.
func playBudget(program string, rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(program, rec, shape{entries: 3, homes: 3, entryMemory: 134, homeMemory: 154})
	if err != nil {
		return false, err
	}
	defer d.close()
	d.objects.Configure(1, []fake.Route{{
		Name: "once", Kind: fake.Streaming, Service: "scribe", Attempts: 1, Timeout: timeBudget, Objective: 300 * time.Millisecond,
	}})
	for i := 1; i <= budgetEngines; i++ {
		pace := budgetPace
		if trouble && i == 1 {
			pace *= slowFactor
		}
		e := fake.NewEngine(d.network, fake.EngineOptions{
			ID: fmt.Sprintf("i-%d", i), Service: "scribe", Address: at(d.ip(2, i), d.ports.engine), Zone: "z1", Slots: 8, Born: 1,
			Events: budgetEvents, Pace: pace, Objects: d.objects,
		})
		defer e.Crash()
		defer func() { rec.note("server i-%d began %d runs", i, e.Total()) }()
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	complete, cut, short := 0, 0, 0
	end := time.Now().Add(budgetTime)
	for c := range budgetClients {
		all.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				id := fmt.Sprintf("q%d.%d", c, k)
				s, err := d.stream(c, id)
				rec.note("%s: status %d, %d of %d pieces, ended as complete: %t, %.3f s, %v", id, s.status, s.pieces, budgetEvents, s.whole, s.took.Seconds(), err)
				mu.Lock()
				switch {
				case err != nil || s.status != http.StatusOK:
				case s.whole && s.pieces == budgetEvents:
					complete++
				case s.whole:
					short++
				default:
					cut++
				}
				mu.Unlock()
				if err != nil || s.status != http.StatusOK {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	all.Wait()
	rec.note("%d streams were complete, %d were broken off, %d ended as complete before their last piece", complete, cut, short)
	if complete == 0 {
		return false, errors.New("no stream was complete")
	}
	return short == 0, nil
}
