package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"mothcart/platform/fake"
)

const (
	// lots is the number of batch jobs that come at once, and fewLots the number that usually comes in that time.
	lots, fewLots = 104, 17
	// itemsOfLot is the number of items of a batch job, lotBody the size of the body of each in bytes, and itemTokens its size
	// in tokens.
	itemsOfLot, lotBody, itemTokens = 7, 415_000, 940
	// lotCap is the route's cap.
	lotCap = 8_500_000
	// lotTime is the time in which they are sent, and lotWatch how long the processes are watched.
	lotTime, lotWatch = 3 * time.Second, 45 * time.Second
	// readTime bounds the time in which results are read at the end.
	readTime = 3 * time.Second
	// lotEngines and lotSlots are the number of servers and their slots, lotEvents the events of an item, one each lotPace.
	lotEngines, lotSlots, lotEvents, lotPace = 30, 7, 129, 24 * time.Millisecond
)

// memoryGuard ends processes that use more memory than their machine has, as the platform does.
type memoryGuard struct {
	d    *deployment
	mu   sync.Mutex
	ends map[string]int
	peak map[string]int
}

// anonymousMB returns the memory of a process without mapped files, in MB.
func anonymousMB(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(b), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// watch looks at all processes until stop is closed.
func (g *memoryGuard) watch(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		for _, p := range g.d.all() {
			mb := anonymousMB(p.pid())
			g.mu.Lock()
			g.peak[p.id] = max(g.peak[p.id], mb)
			g.mu.Unlock()
			if mb <= p.memoryMB {
				continue
			}
			g.mu.Lock()
			g.ends[p.id]++
			n := g.ends[p.id]
			g.mu.Unlock()
			g.d.rec.note("%s uses %d MB of %d and is ended, time %d", p.id, mb, p.memoryMB, n)
			p.kill()
			time.AfterFunc(restartDelay, func() {
				select {
				case <-stop:
				default:
					_ = g.d.start(p)
				}
			})
		}
	}
}

// lotOf returns the body that submits a batch job.
func lotOf(id string, items, size int) ([]byte, error) {
	type item struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    []byte            `json:"body"`
		Tokens  int64             `json:"tokens"`
	}
	var list []item
	for i := range items {
		list = append(list, item{
			ID: fmt.Sprintf("%s.%d", id, i), Path: "/lot/stream/1", Headers: map[string]string{"Mothcart-Model": "m", "Mothcart-Token-Usage": "540,400"},
			Body: bytes.Repeat([]byte{byte(i), byte(7 * i)}, size/2), Tokens: itemTokens,
		})
	}
	return json.Marshal(map[string]any{"items": list})
}

// call makes one call of a client.
func (d *deployment) call(method, path, id string, entry int, body []byte) (int, []byte, error) {
	req, err := http.NewRequest(method, "http://"+at(d.entries[entry%len(d.entries)].ip, d.ports.caller)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Host = fake.Host
	req.Header.Set("Mothcart-Request-Id", id)
	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, b, err
}

// submit sends a batch job until it is accepted, as clients do.
func (d *deployment) submit(n, items, size int) bool {
	id := fmt.Sprintf("lot%d", n)
	body, err := lotOf(id, items, size)
	if err != nil {
		return false
	}
	for try := range 2 {
		status, _, err := d.call(http.MethodPost, "/lot/1", id, n+try, body)
		d.rec.note("%s with %d items in %d bytes, attempt %d: %d %v", id, items, len(body), try+1, status, err)
		if status == http.StatusAccepted {
			return true
		}
		time.Sleep(600 * time.Millisecond)
	}
	return false
}

// playMemory sends many batch jobs at once, which fit the cap of their route.
func playMemory(program string, rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(program, rec, shape{entries: 6, homes: 3, entryMemory: 134, homeMemory: 154})
	if err != nil {
		return false, err
	}
	defer d.close()
	engines := d.addLotServers(lotEngines)
	defer func() {
		for _, e := range engines {
			e.Crash()
		}
	}()
	if err := d.startAll(); err != nil {
		return false, err
	}
	n := fewLots
	if trouble {
		n = lots
	}
	guard := &memoryGuard{d: d, ends: make(map[string]int), peak: make(map[string]int)}
	stop, watched := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(watched)
		guard.watch(stop)
	}()
	began := time.Now()
	var all sync.WaitGroup
	var mu sync.Mutex
	var accepted []string
	for i := range n {
		all.Go(func() {
			time.Sleep(time.Duration(i) * lotTime / time.Duration(n))
			if d.submit(i, itemsOfLot, lotBody) {
				mu.Lock()
				defer mu.Unlock()
				accepted = append(accepted, fmt.Sprintf("lot%d", i))
			}
		})
	}
	all.Wait()
	time.Sleep(time.Until(began.Add(lotWatch)))
	close(stop)
	<-watched
	return guard.verdict(engines, accepted, itemsOfLot)
}

// verdict reads the accepted batch jobs, each with a number of items, and reports whether the rule was kept: fewer than two
// machines have processes that ended three times by themselves.
func (g *memoryGuard) verdict(engines []*fake.Engine, accepted []string, items int) (bool, error) {
	d, rec := g.d, g.d.rec
	listed, runs := 0, 0
	var mu sync.Mutex
	var all sync.WaitGroup
	places, until := make(chan struct{}, 4), time.Now().Add(readTime)
	for n, id := range accepted {
		all.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			if time.Now().After(until) {
				return
			}
			status, b, err := d.call(http.MethodGet, "/lots/"+id+"?after=0", "read-"+id, n, nil)
			page, _ := fake.DecodeResults(string(b))
			rec.note("%s: %d %v, %d of %d items listed in the first page", id, status, err, page.Next, page.Total)
			mu.Lock()
			defer mu.Unlock()
			listed += page.Next
		})
	}
	all.Wait()
	for n, e := range engines {
		rec.note("server i-%d began %d runs of items", n+1, e.Total())
		runs += e.Total()
	}
	machines := 0
	for _, p := range d.all() {
		rec.note("%s: at most %d MB of %d, ended %d times", p.id, g.peak[p.id], p.memoryMB, g.ends[p.id])
		if g.ends[p.id] >= 3 {
			machines++
		}
	}
	rec.note("%d batch jobs with %d items were accepted, servers began %d runs, %d items were read as listed", len(accepted), len(accepted)*items, runs, listed)
	if len(accepted) == 0 {
		return false, errors.New("no batch job was accepted")
	}
	return machines < 2, nil
}
