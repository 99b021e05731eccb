package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mothcart/platform/fake"
)

const (
	teamKey   = "team-key"
	floodKey  = "flood-key"
	floodRate = 20
	// accountWindow is the time within which the requests of an account that run are counted.
	accountWindow = 5 * time.Second
	// inForce is the time within which a configuration is in force at all nodes in contact.
	inForce = 3 * time.Second
)

// accountSeeds are run by default.
var accountSeeds = []uint64{1200}

// TestSoakAccounts guards against requests that name no account or the wrong one, keys that reach an upstream, withdrawn
// keys that come back, and an account above its limit, beside random faults.
func TestSoakAccounts(t *testing.T) {
	program := build(t)
	for _, seed := range seedsOr(accountSeeds...) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runAccounts(t, program, seed) })
	}
}

func runAccounts(t *testing.T, program string, seed uint64) {
	s := newSite(t, program, seed,
		fake.Account{Name: "team", Keys: []string{teamKey}}, fake.Account{Name: "flood", Keys: []string{floodKey}, Priority: 1, Rate: floodRate, Burst: floodRate},
		fake.Account{Name: "guest", Keys: []string{guestKey(0)}})
	defer s.close()
	defer s.saveLogs(seed)
	s.awaitReady()
	team := &checker{s: s, key: teamKey}
	g := &guest{s: s}
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	for n := range 3 {
		traffic.Go(func() {
			team.online(rand.New(rand.NewPCG(seed, uint64(n))), stop, fmt.Sprintf("team.%d.%d", seed, n))
		})
	}
	traffic.Go(func() { team.jobs(rand.New(rand.NewPCG(seed, 99)), stop, seed) })
	for n := range entries {
		traffic.Go(func() { s.flood(stop, n+1) })
	}
	traffic.Go(func() { g.run(rand.New(rand.NewPCG(seed, 5)), stop) })
	s.injectFaults(rand.New(rand.NewPCG(seed, 7)), time.Duration(*seconds)*time.Second)
	close(stop)
	traffic.Wait()
	team.finish()
	g.finish()
	s.checkAccounts()
}

// flood sends as many short requests of the account flood to an entry as that answers.
func (s *site) flood(stop <-chan struct{}, entry int) {
	c := &checker{s: s, key: floodKey}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		resp, _, err := c.call(http.MethodPost, entry, "/fetch/1", fmt.Sprintf("flood.%d.%d", entry, i), nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			time.Sleep(5 * time.Millisecond)
		}
	}
}

func guestKey(n int) string { return fmt.Sprintf("guest-key-%d", n) }

// guest is an account whose key is replaced again and again.
type guest struct {
	s *site
	// n is the number of the present key.
	n int
}

func (g *guest) run(rng *rand.Rand, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(100+rng.IntN(200)) * time.Millisecond):
		}
		c := &checker{s: g.s, key: guestKey(g.n)}
		_, _, _ = c.call(http.MethodPost, 1+rng.IntN(entries), "/fetch/1", fmt.Sprintf("guest.%d", i), nil) // the account is checked at the upstream
		if rng.IntN(4) == 0 {
			g.n++
			accounts := slices.Clone(g.s.accounts)
			accounts[2].Keys = []string{guestKey(g.n)}
			g.s.accounts = accounts
			g.s.configure()
		}
	}
}

// finish checks that all entries accept the last key and none before it.
func (g *guest) finish() {
	time.Sleep(inForce)
	for n := 1; n <= entries; n++ {
		status := func(key int) int {
			c := &checker{s: g.s, key: guestKey(key)}
			resp, _, err := c.call(http.MethodPost, n, "/fetch/1", fmt.Sprintf("guest.end.%d", rand.Uint64()), nil)
			if err != nil {
				return 0
			}
			return resp.StatusCode
		}
		require.Eventually(g.s.t, func() bool { return status(g.n) == http.StatusOK }, 5*time.Second, 100*time.Millisecond, "entry %d accepts the last key", n)
		for key := range g.n {
			assert.Equal(g.s.t, http.StatusUnauthorized, status(key), "entry %d refuses key %d of %d", n, key, g.n)
		}
	}
	g.s.t.Logf("%d keys withdrawn", g.n)
}

// accountOf returns the account whose request has an ID. Items belong to jobs of the account team.
func accountOf(id string) string {
	if name, _, _ := strings.Cut(id, "."); name == "flood" || name == "guest" {
		return name
	}
	return "team"
}

// checkAccounts checks what the upstreams have seen.
func (s *site) checkAccounts() {
	var flood []time.Time
	for _, e := range slices.Concat(s.engines, []*fake.Engine{s.desk}) {
		for _, a := range e.Arrived() {
			assert.Equal(s.t, accountOf(a.ID), a.Account, a.ID)
			assert.False(s.t, a.Keyed, "the key of %s reached an upstream", a.ID)
			if a.Account == "flood" {
				flood = append(flood, a.At)
			}
		}
	}
	slices.SortFunc(flood, time.Time.Compare)
	most, first := 0, 0
	for i, at := range flood {
		for at.Sub(flood[first]) > accountWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	allowed := int(1.1*(floodRate*accountWindow.Seconds()+floodRate)) + 20
	assert.LessOrEqual(s.t, most, allowed, "requests of an account within %s", accountWindow)
	s.t.Logf("%d requests of the account with a limit, at most %d of %d within %s", len(flood), most, allowed, accountWindow)
}
