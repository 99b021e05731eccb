package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"mothcart/fake/fleet"
	"mothcart/load"
)

const (
	// callRate is the mean rate of confirmations per second.
	callRate = 8
	// callAttempts is the maximum number of attempts for one confirmation.
	callAttempts = 120
	// callPause is the time between two attempts.
	callPause = 250 * time.Millisecond
)

// calls sends confirmations, requests that may run at most once, and sends each again with the same idempotency
// key until its outcome is final.
type calls struct {
	fleet *fleet.Fleet
	rng   *rand.Rand
	http  *http.Client
	all   sync.WaitGroup

	mu       sync.Mutex
	sent     int
	done     int
	unknown  int
	open     int
	mismatch int
}

func newCalls(f *fleet.Fleet, seed uint64) *calls {
	return &calls{fleet: f, rng: rand.New(rand.NewPCG(seed, seed)), http: &http.Client{Timeout: 25 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

func (c *calls) play(ctx context.Context, d time.Duration) {
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		if !load.Wait(ctx, time.Duration(c.rng.ExpFloat64()/callRate*float64(time.Second))) {
			return
		}
		c.mu.Lock()
		n := c.sent
		c.sent++
		c.mu.Unlock()
		c.all.Go(func() { c.confirm(ctx, n) })
	}
}

// wait waits until every confirmation has an outcome or has used up its attempts.
func (c *calls) wait(context.Context) {
	c.all.Wait()
	c.http.CloseIdleConnections()
}

func confirmPath(n int) string { return fmt.Sprintf("/confirm/%d", n) }

// confirm sends one confirmation until its outcome is final or all attempts are used up, to the next VM at
// each attempt.
func (c *calls) confirm(ctx context.Context, n int) {
	for attempt := range callAttempts {
		servers := c.fleet.Servers()
		final, unknown := c.send(ctx, servers[(n+attempt)%len(servers)].CallerAddress(), n)
		if final {
			c.mu.Lock()
			c.done++
			if unknown {
				c.unknown++
			}
			c.mu.Unlock()
			c.check(ctx, n, unknown)
			return
		}
		if !load.Wait(ctx, callPause) {
			break
		}
	}
	c.mu.Lock()
	c.open++
	c.mu.Unlock()
}

// check sends the confirmation again with the same key to every VM, and counts each answer that gives another
// outcome as a mismatch.
func (c *calls) check(ctx context.Context, n int, unknown bool) {
	for _, s := range c.fleet.Servers() {
		final, again := c.send(ctx, s.CallerAddress(), n)
		if final && again != unknown {
			c.mu.Lock()
			c.mismatch++
			c.mu.Unlock()
		}
	}
}

// send sends the confirmation once. final is false if the answer gives no outcome; unknown reports the final
// outcome that it is unknown whether the confirmation ran.
func (c *calls) send(ctx context.Context, address string, n int) (final, unknown bool) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/services/"+fleet.PlainService+confirmPath(n), bytes.NewReader([]byte("widow 7, Sunday")))
	if err != nil {
		return false, false
	}
	r.Header.Set("Authorization", "Bearer "+fleet.OnlineKey)
	r.Header.Set("Idempotency-Key", fmt.Sprintf("confirmation-%d", n))
	r.Header.Set("Mothcart-Idempotent", "false")
	resp, err := c.http.Do(r)
	if err != nil {
		return false, false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return false, false
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		return true, false
	case bytes.Contains(body, []byte(`"outcome_unknown"`)):
		return true, true
	default:
		return false, false
	}
}

// duplicated returns the number of confirmations that the service ran more than once.
func (c *calls) duplicated() (duplicated int) {
	for n := range c.sent {
		ran := 0
		for _, s := range c.fleet.Plain {
			ran += s.RanURL(confirmPath(n))
		}
		if ran > 1 {
			duplicated++
		}
	}
	return duplicated
}
