package published

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mothcart/core/publication"
)

const (
	// sizeVMs is the number of entry VMs that the design must support.
	sizeVMs = 340
	// sizeBound is the time within which all these VMs must have an accepted generation in force.
	sizeBound = 11 * time.Second
	// hopDelay is the one-way delay between two VMs in the test.
	hopDelay = 20 * time.Millisecond
	// idleSeconds is the time without changes over which the messages are counted.
	idleSeconds = 20
)

// traffic counts what the VMs of a fleet send to one another.
type traffic struct{ announcements, queries, roots, blocks, bytes atomic.Int64 }

// delayed returns peer calls with a network delay, and counts them.
func (c *traffic) delayed(p Peers) Peers {
	announce, query, root, blocks := p.Announce, p.Query, p.FetchRoot, p.FetchBlocks
	p.Announce = func(to string, a Announcement) error {
		c.announcements.Add(1)
		go func() {
			time.Sleep(hopDelay)
			_ = announce(to, a)
		}()
		return nil
	}
	p.Query = func(ctx context.Context, to string) (Announcement, error) {
		c.queries.Add(1)
		time.Sleep(2 * hopDelay)
		return query(ctx, to)
	}
	p.FetchRoot = func(ctx context.Context, from string) ([]byte, error) {
		c.roots.Add(1)
		time.Sleep(2 * hopDelay)
		data, err := root(ctx, from)
		c.bytes.Add(int64(len(data)))
		return data, err
	}
	p.FetchBlocks = func(ctx context.Context, from string, digests []publication.Digest) ([][]byte, error) {
		c.blocks.Add(1)
		time.Sleep(2 * hopDelay)
		got, err := blocks(ctx, from, digests)
		for _, data := range got {
			c.bytes.Add(int64(len(data)))
		}
		return got, err
	}
	return p
}

// A new generation must reach 340 VMs within sizeBound even if the object service fails right after accepting
// it. The test also logs the number of messages while nothing changes.
func TestSpreadTo340VMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, net, c := newStore(), newNetwork(), &traffic{}
		var followers []*Follower
		for i := range sizeVMs {
			id := "e" + string(rune('a'+i/26)) + string(rune('a'+i%26))
			followers = append(followers, start(t, Options{Self: id, Seed: uint64(i + 1), Store: s.Client(), Peers: c.delayed(net.peers(id))}))
		}
		time.Sleep(5 * time.Second)
		for round := range uint64(2) {
			before := c.bytes.Load()
			apply(t, followers[17*round], classSet(t, "night", string(rune('a'+round))), nil)
			accepted := time.Now()
			s.SetOutage(true)
			for _, f := range followers {
				for f.Current().Generation <= round {
					time.Sleep(5 * time.Millisecond)
				}
			}
			took := time.Since(accepted)
			assert.Less(t, took, sizeBound)
			t.Logf("generation %d in force on %d VMs after %v, %d bytes fetched for each VM",
				round+1, sizeVMs, took, (c.bytes.Load()-before)/sizeVMs)
			s.SetOutage(false)
			time.Sleep(10 * time.Second)
		}
		announcements, queries, calls := c.announcements.Load(), c.queries.Load(), s.Calls()
		time.Sleep(idleSeconds * time.Second)
		now := s.Calls()
		t.Logf("idle: %.2f announcements and %.2f queries a second for each VM, %.2f watches and %.2f reads a second in all",
			float64(c.announcements.Load()-announcements)/idleSeconds/sizeVMs, float64(c.queries.Load()-queries)/idleSeconds/sizeVMs,
			float64(now.Watches-calls.Watches)/idleSeconds, float64(now.Reads-calls.Reads)/idleSeconds)
		n, of := followers[3].Spread(context.Background()).InForce(2)
		require.Equal(t, [2]int{sizeVMs, sizeVMs}, [2]int{n, of})
		for _, f := range followers {
			f.Close()
		}
		time.Sleep(2 * hopDelay) // for announcements in flight
	})
}
