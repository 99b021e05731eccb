package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

const (
	// plannedSeed is a seed at which entries ended connections from which they had read parts of requests.
	plannedSeed = 5141
	// plannedCallers is the number of callers; each uses one connection at a time.
	plannedCallers = 48
	// nearDrain is the time from a SIGTERM until shortly before an entry ends connections without a request.
	nearDrain = 2450 * time.Millisecond
	// slowPace makes a stream last 0.9 s.
	slowPace = 60 * time.Millisecond
)

// plannedSite is a site whose processes are stopped in a planned way while callers keep connections.
type plannedSite struct {
	*checker
	// near has a channel for each entry, which gets a value for each of its receivers at nearDrain.
	near []chan struct{}
	// ended are the connections that entries have ended.
	ended []*keptConn
}

// stopInSeries stops an entry, with SIGHUPs before and in its drain, and starts it again until stop is closed.
func (p *plannedSite) stopInSeries(rng *rand.Rand, n int, stop <-chan struct{}) {
	pr := p.s.processes[n]
	for sleep(between(rng, 0, 1500*time.Millisecond), stop) {
		require.Eventually(p.s.t, func() bool { return p.s.ready(n + 1) }, 20*time.Second, 20*time.Millisecond, "entry %d is ready again", n+1)
		pr.signal(syscall.SIGHUP)
		hangUp := time.AfterFunc(between(rng, 0, nearDrain), func() { pr.signal(syscall.SIGHUP) })
		near := time.AfterFunc(nearDrain, func() {
			for {
				select {
				case p.near[n] <- struct{}{}:
				default:
					return
				}
			}
		})
		p.s.restart(pr, syscall.SIGTERM, between(rng, 0, 300*time.Millisecond))
		hangUp.Stop()
		near.Stop()
	}
}

// call sends requests on one connection after the other until stop is closed. Before some, it rests until a drain.
func (p *plannedSite) call(rng *rand.Rand, stop <-chan struct{}, name string) {
	for sent := 0; sleep(between(rng, 0, 20*time.Millisecond), stop); {
		entry := rng.IntN(entries)
		conn, err := (&net.Dialer{KeepAlive: -1}).Dial("tcp4", p.s.caller(entry+1))
		if err != nil {
			continue
		}
		k := &keptConn{TCPConn: conn.(*net.TCPConn), entry: entry, reader: bufio.NewReader(conn)}
		for open := true; open; sent++ {
			if rng.IntN(8) == 0 {
				select {
				case <-p.near[entry]:
				case <-stop:
				}
			}
			if !sleep(between(rng, time.Millisecond, 60*time.Millisecond), stop) {
				_ = k.Close()
				return
			}
			p.send(rng, k, fmt.Sprintf("%s.%d", name, sent))
			for open && len(k.asked) > 0 {
				open = p.receive(k)
			}
		}
		p.mu.Lock()
		p.ended = append(p.ended, k)
		p.mu.Unlock()
	}
}

// finish stops the entries, and checks the connections that ended without an answer.
func (p *plannedSite) finish() {
	t := p.s.t
	p.s.awaitReady()
	for _, pr := range p.s.processes[:entries] {
		pr.signal(syscall.SIGTERM)
	}
	for _, pr := range p.s.processes[:entries] {
		pr.await()
		log, err := os.ReadFile(pr.logs)
		require.NoError(t, err)
		assert.Zero(t, bytes.Count(log, []byte("requestUnanswered")), pr.id)
		assert.Equal(t, bytes.Count(log, []byte("entryStarted")), bytes.Count(log, []byte("entryStopped")), "%s ends only when it is stopped", pr.id)
	}
	unread := 0
	for _, k := range p.ended {
		for _, q := range k.asked {
			assert.Zero(t, p.s.runCount(q.id), "%s of %s ran and has no answer", q.id, q.path)
		}
		if k.due > 0 { // bytes that the entry hasn't read reset the connection
			unread++
			assert.EqualValues(t, unix.BPF_TCP_CLOSE, k.tcpState(), "entry %d has read %d bytes of %v and ended the connection without an answer", k.entry+1, k.due, k.asked)
		}
		_ = k.Close()
	}
	p.checkRuns()
	t.Logf("%d served, %d connections ended, %d of them with bytes on their way", p.answered, len(p.ended), unread)
	assert.Positive(t, p.answered)
	assert.NotEmpty(t, p.ended)
}

// Guards against requests that an entry has read and doesn't answer around stops, SIGHUPs and changes of the configuration.
func TestSoakOfPlannedStops(t *testing.T) {
	eachSeed(t, func(c *checker, seed uint64) {
		p := &plannedSite{checker: c, near: make([]chan struct{}, entries)}
		c.s.engines[0].SetPace(slowPace)
		stop, stopCalls := make(chan struct{}), make(chan struct{})
		var planned, calls sync.WaitGroup
		for n := range entries {
			p.near[n] = make(chan struct{})
			planned.Go(func() { p.stopInSeries(rand.New(rand.NewPCG(seed, uint64(700+n))), n, stop) })
		}
		planned.Go(func() {
			for rng := rand.New(rand.NewPCG(seed, 23)); sleep(between(rng, time.Second, 2*time.Second), stop); {
				home := c.s.processes[entries+rng.IntN(homes)]
				home.signal(syscall.SIGHUP)
				c.s.restart(home, syscall.SIGTERM, between(rng, 0, 300*time.Millisecond))
			}
		})
		planned.Go(func() {
			for rng := rand.New(rand.NewPCG(seed, 24)); sleep(between(rng, 50*time.Millisecond, 800*time.Millisecond), stop); {
				c.s.timeout = between(rng, 3*time.Second, 6*time.Second)
				c.s.configure()
			}
		})
		for n := range plannedCallers {
			calls.Go(func() { p.call(rand.New(rand.NewPCG(seed, uint64(800+n))), stopCalls, fmt.Sprintf("%d.%d", seed, n)) })
		}
		time.Sleep(time.Duration(*seconds) * time.Second)
		close(stop)
		planned.Wait()
		close(stopCalls)
		calls.Wait()
		p.finish()
	}, plannedSeed)
}
