package home

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mothcart/core/site"
	"mothcart/core/slot"
	"mothcart/io/admit"
	"mothcart/io/object"
	"mothcart/platform/fake"
)

// The pattern: hundreds of nodes reconnect to the next home while their short requests end.

const (
	reconnectNodes = 300
	// reconnectDelay is the delay of each write between nodes; requests end in the middle of a hello.
	reconnectDelay = 2 * time.Millisecond
	// holdTime is how long a request uses its slot.
	holdTime = 15 * time.Millisecond
)

// slowConn delays each write.
type slowConn struct{ net.Conn }

func (c slowConn) Write(b []byte) (int, error) {
	time.Sleep(reconnectDelay)
	return c.Conn.Write(b)
}

// reconnectSite is a site of homes that grant slots only, and of nodes whose requests hold slots briefly.
type reconnectSite struct {
	t       *testing.T
	network *fake.Network
	list    []site.Upstream
	clients []*Client

	mu sync.Mutex
	// open counts the requests that hold a slot, refused those that got none.
	open, refused int
}

func newReconnectSite(t *testing.T) *reconnectSite {
	s := &reconnectSite{t: t, network: fake.NewNetwork()}
	for n := range 5 {
		s.list = append(s.list, site.Upstream{ID: fmt.Sprintf("i-%d", n), Service: "desk", Slots: 20, Zone: "z1"})
	}
	for n := range reconnectNodes {
		ip := fmt.Sprintf("10.1.%d.%d", n/200, n%200)
		c := NewClient(ClientOptions{
			VMID: fmt.Sprintf("e%d", n), Incarnation: 1, HomeNodes: func() []string { return nil }, Now: time.Now,
			Origins: NewOrigins(time.Now, true, metrics.NewRegistry()), SoleVersion: noSoleVersion,
			Connect: func(ctx context.Context, _, address string) (net.Conn, error) {
				conn, err := s.network.Dial(ctx, ip, address)
				if err != nil {
					return nil, err
				}
				return slowConn{conn}, nil
			},
			Unreached: func() {}, Announced: func() {}, OnReceivesChanges: func() {}, View: func(string, object.Change) {}, Down: func(bool) {}, Log: zerolog.Nop(),
			LeavingUpstreams: func() []site.Key { return nil },
		})
		c.SetUpstreams(s.list)
		s.clients = append(s.clients, c)
	}
	return s
}

// startHome starts a home of a term and announces it to all nodes.
func (s *reconnectSite) startHome(term int64) (*Home, *Server) {
	ip := fmt.Sprintf("10.2.0.%d", term)
	l, err := s.network.Listen(context.Background(), ip+":7660")
	require.NoError(s.t, err)
	views := NewViews(func() map[string]object.Change { return nil }, zerolog.Nop())
	server := NewServer(l, admit.Options{Log: zerolog.Nop()}, func() SiteState { return SiteState{} }, views)
	h := New(Options{
		VMID: fmt.Sprintf("s%d", term), Address: ip + ":7660", Term: term, SlotsOnly: true,
		Valid: func(time.Time) bool { return true }, Views: views,
		Origins: NewOrigins(time.Now, false, metrics.NewRegistry()), SoleVersion: noSoleVersion,
		Config:      func() site.Config { return site.Config{} },
		MarkLeaving: func(string, []site.Key) {}, Leaving: func() []site.Key { return nil },
		ObjectsDown: func() bool { return false }, Now: time.Now, Log: zerolog.Nop(), Registry: metrics.NewRegistry(),
	})
	h.SetUpstreams(s.list)
	server.SetHome(h)
	s.announce(term)
	return h, server
}

func (s *reconnectSite) announce(term int64) {
	for _, c := range s.clients {
		c.Announce(Announcement{Term: term, VM: fmt.Sprintf("s%d", term), Address: fmt.Sprintf("10.2.0.%d:7660", term)})
	}
}

// load makes requests at each node until the context ends.
func (s *reconnectSite) load(ctx context.Context, interval time.Duration) *sync.WaitGroup {
	var group sync.WaitGroup
	for n, c := range s.clients {
		random := rand.New(rand.NewPCG(1, uint64(n)))
		group.Go(func() {
			for id := uint64(1); ctx.Err() == nil; id++ {
				time.Sleep(time.Duration(float64(interval) * random.ExpFloat64()))
				group.Go(func() { s.request(c, id) })
			}
		})
	}
	return &group
}

func (s *reconnectSite) request(c *Client, id uint64) {
	now := time.Now()
	lease, refusal, err := c.Acquire(context.Background(), slot.Request{
		Key: slot.Key{ID: id}, Service: "desk", Order: now.Add(time.Second), Deadline: now.Add(200 * time.Millisecond), AvailabilityZone: "z1",
	})
	if err != nil || refusal != nil {
		s.count(0, 1)
		return
	}
	s.count(1, 0)
	time.Sleep(holdTime)
	s.count(-1, 0)
	lease.Release(time.Now(), slot.Served)
}

func (s *reconnectSite) count(open, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open += open
	s.refused += refused
}

func (s *reconnectSite) counts() (open, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open, s.refused
}

func (s *reconnectSite) close(servers ...*Server) {
	for _, c := range s.clients {
		c.Close()
	}
	for _, server := range servers {
		server.Close()
	}
	time.Sleep(time.Minute) // lets timers of closed components fire
}

// slotsInUse returns the number of slots that the home considers to be in use.
func slotsInUse(h *Home) int { return h.pool.Load("desk").Online }

// What a home adopts from the nodes' hellos includes requests that end before the connection is in use. It
// must learn of their end, or their slots would stay in use until the node reconnects.
func TestNextHomeCountsOnlyOpenRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newReconnectSite(t)
		h1, server1 := s.startHome(1)
		time.Sleep(time.Second)
		ctx, cancel := context.WithCancel(context.Background())
		// 300 nodes with 10 requests a second each use 45 of 100 slots.
		group := s.load(ctx, 100*time.Millisecond)
		time.Sleep(time.Second)
		_, refusedBefore := s.counts()
		server1.Close()
		h1.Close()
		h2, server2 := s.startHome(2)
		time.Sleep(inventoryInterval)
		open, _ := s.counts()
		require.InDelta(t, open, slotsInUse(h2), 15, "only requests on their way between node and home count differently")
		time.Sleep(time.Second)
		_, refusedAfter := s.counts()
		require.Zero(t, refusedAfter-refusedBefore, "no request is refused while half of the slots are free")
		cancel()
		group.Wait()
		time.Sleep(inventoryInterval)
		require.Zero(t, slotsInUse(h2), "no request is open")
		s.close(server2)
		h2.Close()
	})
}

// A node that tries to reach a home whose VM is down connects to the next one as soon as that is announced.
func TestAnnouncementEndsTheAttemptAtTheLastHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newReconnectSite(t)
		s.network.Partition("10.1.0.0", "10.2.0.1")
		s.announce(1)
		time.Sleep(100 * time.Millisecond)
		h2, server2 := s.startHome(2)
		time.Sleep(20 * time.Millisecond)
		require.True(t, s.clients[0].Connected())
		s.close(server2)
		h2.Close()
	})
}

func noSoleVersion(time.Time, string) (string, bool) { return "", false }
