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
	// sizeVMs is the number of entry VMs that decides the design.
	sizeVMs = 340
	// sizeBound is the time within which all of them have an accepted generation in force.
	sizeBound = 11 * time.Second
	// hopDelay is the one-way delay between two VMs in the test.
	hopDelay = 20 * time.Millisecond
	// quietSeconds is the time over which the messages are counted.
	quietSeconds = 20
)

// traffic counts what the VMs of a fleet send to one another.
type traffic struct{ announcements, queries, roots, blocks, bytes atomic.Int64 }

// delayed returns the calls with a delay, counted.
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

// TestSpreadAtSize has 340 VMs learn of a generation, with the store failing right after its
// acceptance, and counts the messages of a quiet time.
func TestSpreadAtSize(t *testing.T) {
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
			apply(t, followers[17*round], site(t, "night", string(rune('a'+round))), nil)
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
		time.Sleep(quietSeconds * time.Second)
		now := s.Calls()
		t.Logf("quiet: %.2f announcements and %.2f queries a second for each VM, %.2f watches and %.2f reads a second in all",
			float64(c.announcements.Load()-announcements)/quietSeconds/sizeVMs, float64(c.queries.Load()-queries)/quietSeconds/sizeVMs,
			float64(now.Watches-calls.Watches)/quietSeconds, float64(now.Reads-calls.Reads)/quietSeconds)
		n, of := followers[3].Spread(context.Background()).InForce(2)
		require.Equal(t, [2]int{sizeVMs, sizeVMs}, [2]int{n, of})
		for _, f := range followers {
			f.Close()
		}
		time.Sleep(2 * hopDelay) // announcements on their way
	})
}
