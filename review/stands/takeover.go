package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"mothcart/platform/fake"
)

const (
	// usualRate is the number of batch jobs a second, usualItems that of their items, and usualBody the size of the body of each
	// in bytes.
	usualRate, usualItems, usualBody = 5.9, 10, 15_000
	// usualEngines is the number of servers.
	usualEngines = 75
	// burstRate is the number a second in a burst; burstTime is how long each lasts.
	burstRate, burstTime = 6 * usualRate, 3 * time.Second
	// usualTime is how long batch jobs come, and afterKill how long the processes are watched after the home was killed.
	usualTime, afterKill = 66 * time.Second, 42 * time.Second
)

// burstsAt is when bursts of batch jobs begin.
var burstsAt = []time.Duration{4 * time.Second, 15 * time.Second, 26 * time.Second, 37 * time.Second, 48 * time.Second}

// rateAt returns the number of batch jobs a second at a time.
func rateAt(t time.Duration) float64 {
	for _, at := range burstsAt {
		if t >= at && t < at+burstTime {
			return burstRate
		}
	}
	return usualRate
}

// home returns the process whose machine has the lease.
func (d *deployment) home() (*process, error) {
	resp, err := http.Get("http://" + at(d.ip(1, 1), d.ports.store) + "/objects/mothcart-lease/main")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var o struct {
		Spec struct {
			VM string `json:"vm"`
		} `json:"spec"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&o); err != nil {
		return nil, err
	}
	for _, p := range d.homes {
		if p.id == o.Spec.VM {
			return p, nil
		}
	}
	return nil, errors.New("no home")
}

// playTakeover sends the usual batch jobs, and kills the home once.
func playTakeover(program string, rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(program, rec, shape{entries: 4, homes: 3, entryMemory: 134, homeMemory: 154})
	if err != nil {
		return false, err
	}
	defer d.close()
	engines := d.addLotServers(usualEngines)
	defer func() {
		for _, e := range engines {
			e.Crash()
		}
	}()
	if err := d.startAll(); err != nil {
		return false, err
	}
	guard := &memoryGuard{d: d, ends: make(map[string]int), peak: make(map[string]int)}
	stop, watched := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(watched)
		guard.watch(stop)
	}()
	var all sync.WaitGroup
	var mu sync.Mutex
	var accepted []string
	began, next := time.Now(), time.Now()
	for i := 0; time.Since(began) < usualTime; i++ {
		all.Go(func() {
			if d.submit(i, usualItems, usualBody) {
				mu.Lock()
				defer mu.Unlock()
				accepted = append(accepted, fmt.Sprintf("lot%d", i))
			}
		})
		next = next.Add(time.Duration(float64(time.Second) / rateAt(next.Sub(began))))
		time.Sleep(time.Until(next))
	}
	all.Wait()
	if trouble {
		home, err := d.home()
		if err != nil {
			return false, err
		}
		rec.note("%s is the home and is killed once", home.id)
		home.kill()
		time.Sleep(restartDelay)
		if err := d.start(home); err != nil {
			return false, err
		}
	}
	time.Sleep(afterKill)
	close(stop)
	<-watched
	return guard.verdict(engines, accepted, usualItems)
}

// addLotServers configures the route of batch jobs and starts its servers.
func (d *deployment) addLotServers(n int) []*fake.Engine {
	d.objects.Configure(1, []fake.Route{{
		Name: "lot", Kind: fake.Batch, Service: "scribe", Attempts: 3, Timeout: 15 * time.Second, Objective: 600 * time.Millisecond, TokenCap: lotCap,
	}})
	var engines []*fake.Engine
	for i := 1; i <= n; i++ {
		engines = append(engines, fake.NewEngine(d.network, fake.EngineOptions{
			ID: fmt.Sprintf("i-%d", i), Service: "scribe", Address: at(d.ip(2, i), d.ports.engine), Zone: "z1", Slots: lotSlots, Born: 1,
			Events: lotEvents, Pace: lotPace, Objects: d.objects,
		}))
	}
	return engines
}
