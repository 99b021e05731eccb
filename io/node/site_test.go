package node

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mothcart/platform"
	"mothcart/platform/fake"
)

const (
	storeIP = "10.9.0.1"
	pace    = 20 * time.Millisecond
	// eventsOfStream is the number of events in each stream of a fake engine.
	eventsOfStream = 20
)

// testSite is a complete site in virtual time: entry nodes e1 and e2, home nodes s1 and s2, three model
// engines and one plain service.
type testSite struct {
	t       *testing.T
	network *fake.Network
	objects *fake.Objects
	engines []*fake.Engine
	desk    *fake.Engine
	entries map[string]*Entry
	homes   map[string]*HomeNode
	// ownRuns is the number of items that a home runs itself; it applies to nodes started afterwards.
	ownRuns int
	// disks holds the data directory of each home node, which remains after its process ends.
	disks map[int]string
	// recorded receives the log lines of all nodes; nil records none.
	recorded *lockedBuffer
	// valueBytes is the size of the largest object of the object service; 0 means the default.
	valueBytes int
}

// lockedBuffer is a buffer for several writers.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// entryIP, homeIP and engineIP are the addresses of the nodes and engines.
func entryIP(n int) string { return fmt.Sprintf("10.1.0.%d", n) }
func homeIP(n int) string  { return fmt.Sprintf("10.2.0.%d", n) }
func engineIP(n int) string {
	return fmt.Sprintf("10.3.0.%d", n)
}

// runSite runs a test with a site that has a home.
func runSite(t *testing.T, test func(t *testing.T, s *testSite)) { runSiteOf(t, 64, test) }

// runSiteOf runs a test with a site whose home runs a number of items itself.
func runSiteOf(t *testing.T, ownRuns int, test func(t *testing.T, s *testSite)) {
	(&testSite{ownRuns: ownRuns}).run(t, test)
}

// runRecordedSite is runSite with a record of all log lines, in virtual time.
func runRecordedSite(t *testing.T, test func(t *testing.T, s *testSite)) {
	(&testSite{ownRuns: 64, recorded: new(lockedBuffer)}).run(t, test)
}

func (s *testSite) run(t *testing.T, test func(t *testing.T, s *testSite)) {
	synctest.Test(t, func(t *testing.T) {
		s.t, s.network, s.entries, s.homes, s.disks = t, fake.NewNetwork(), map[string]*Entry{}, map[string]*HomeNode{}, map[int]string{}
		s.objects = fake.NewObjects(s.network, storeIP+":80")
		if s.valueBytes = cmp.Or(s.valueBytes, fake.ValueBytes); s.valueBytes != fake.ValueBytes {
			s.objects.SetValueBytes(s.valueBytes)
		}
		s.writeConfig(1)
		for n := 1; n <= 3; n++ {
			s.engines = append(s.engines, fake.NewEngine(s.network, fake.EngineOptions{
				ID: fmt.Sprintf("i-%d", n), Service: "scribe", Address: engineIP(n) + ":80", Zone: "z1", Slots: 2, Born: 1,
				Events: eventsOfStream, Pace: pace, Objects: s.objects,
			}))
		}
		s.desk = fake.NewEngine(s.network, fake.EngineOptions{
			ID: "i-9", Service: "desk", Address: engineIP(9) + ":80", Zone: "z1", Slots: 4, Born: 1, Pace: pace, Objects: s.objects,
		})
		s.startHome(1)
		time.Sleep(time.Second)
		s.startHome(2)
		s.startEntry(1)
		s.startEntry(2)
		time.Sleep(time.Second)
		defer s.close()
		test(t, s)
	})
}

func (s *testSite) close() {
	for _, e := range s.entries {
		e.Close()
	}
	for _, h := range s.homes {
		h.Close()
	}
	for _, e := range append(s.engines, s.desk) {
		e.Crash()
	}
	s.objects.Close()
	time.Sleep(time.Minute) // lets timers of closed components fire
}

// routes returns the routes of every test configuration; tests append more.
func routes() []fake.Route {
	return []fake.Route{
		{Name: "ask", Kind: fake.Streaming, Service: "scribe", Attempts: 2, Resumable: true, Timeout: 5 * time.Second, Objective: 300 * time.Millisecond},
		{Name: "once", Kind: fake.Streaming, Service: "scribe", Attempts: 1, Timeout: 5 * time.Second, Objective: 300 * time.Millisecond},
		{Name: "fetch", Kind: fake.Idempotent, Service: "desk", Attempts: 2, Timeout: 2 * time.Second, Objective: 150 * time.Millisecond},
		{Name: "swap", Kind: fake.NonIdempotent, Service: "desk", Attempts: 1, Timeout: 2 * time.Second, Objective: 150 * time.Millisecond},
		{Name: "lot", Kind: fake.Batch, Service: "scribe", Attempts: 3, Timeout: 15 * time.Second, Objective: 400 * time.Millisecond, TokenCap: 10000},
	}
}

// newRoute is a route that tests add to the configuration later.
var newRoute = fake.Route{Name: "new", Kind: fake.Idempotent, Service: "desk", Attempts: 2, Timeout: 2 * time.Second, Objective: 150 * time.Millisecond}

func (s *testSite) writeConfig(version int, more ...fake.Route) {
	s.objects.Configure(version, append(routes(), more...))
}

func (s *testSite) options(id, ip string) Options {
	log := zerolog.Nop()
	if testing.Verbose() {
		log = zerolog.New(s.t.Output()).With().Str("node", id).Logger()
	}
	if s.recorded != nil {
		log = zerolog.New(s.recorded).With().Str("node", id).Timestamp().Logger()
	}
	o := NewOptions(platform.Settings{
		VMID: id, AvailabilityZone: "z1", IP: ip, PeerPort: 7000, CarrierPort: 7001, StoreAddress: storeIP + ":80", ValueBytes: s.valueBytes,
		HomeNodes: []string{homeIP(1) + ":7000", homeIP(2) + ":7000"},
		Heartbeat: 1200 * time.Millisecond, Grace: 8 * time.Second, Drain: 2 * time.Second, ResultRetention: 2 * time.Minute,
	}, "", log, metrics.NewRegistry())
	o.Listen = s.network.Listen
	o.OwnRuns = s.ownRuns
	o.Now = time.Now
	o.Connect = func(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
		return func(ctx context.Context, _, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			return s.network.Dial(ctx, ip, address)
		}
	}
	return o
}

func (s *testSite) startEntry(n int) {
	o := s.options(fmt.Sprintf("e%d", n), entryIP(n))
	o.Settings.CallerAddress, o.Settings.ReadyAddress = entryIP(n)+":80", entryIP(n)+":81"
	e, err := NewEntry(s.t.Context(), o)
	require.NoError(s.t, err)
	s.entries[o.Settings.VMID] = e
}

func (s *testSite) startHome(n int) {
	o := s.options(fmt.Sprintf("s%d", n), homeIP(n))
	if s.disks[n] == "" {
		s.disks[n] = s.t.TempDir()
	}
	o.Settings.DataDir = s.disks[n]
	h, err := NewHomeNode(s.t.Context(), o)
	require.NoError(s.t, err)
	s.homes[o.Settings.VMID] = h
}

// killHome ends the process of a home node abruptly: it sends nothing and writes nothing at its end.
func (s *testSite) killHome(n int) {
	id := fmt.Sprintf("s%d", n)
	h := s.homes[id]
	delete(s.homes, id)
	s.network.Partition(homeIP(n), storeIP) // blocks a last write to the object service
	s.network.CloseHost(homeIP(n))
	h.Close()
	s.network.Heal(homeIP(n), storeIP)
}

// reply is the answer that a caller received.
type reply struct {
	status int
	header http.Header
	body   string
	// complete reports that the answer was not interrupted, closes that it ends the connection.
	complete, closes bool
	took             time.Duration
}

// call sends one request to entry node n and reads the complete answer.
func (s *testSite) call(ctx context.Context, n int, method, path, id, body string) reply {
	return s.callWith(ctx, n, method, path, id, body, nil)
}

// callWith is call with additional headers.
func (s *testSite) callWith(ctx context.Context, n int, method, path, id, body string, header http.Header) reply {
	began := time.Now()
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return s.network.Dial(ctx, "10.8.0.1", address)
	}}}
	defer client.CloseIdleConnections()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+entryIP(n)+":80"+path, strings.NewReader(body))
	require.NoError(s.t, err)
	r.Host = fake.Host
	maps.Copy(r.Header, header)
	r.Header.Set(platform.RequestIDHeader, id)
	resp, err := client.Do(r)
	if err != nil {
		return reply{took: time.Since(began)}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(bufio.NewReader(resp.Body))
	return reply{status: resp.StatusCode, header: resp.Header, body: string(b), complete: err == nil, closes: resp.Close, took: time.Since(began)}
}

// runsOf returns how often a request was run, over all upstreams.
func (s *testSite) runsOf(id string) int {
	n := 0
	for _, e := range append(s.engines, s.desk) {
		n += e.Runs(id)
	}
	return n
}

// submitJob submits a job with items ID.0, ID.1, … of 100 tokens each.
func (s *testSite) submitJob(n int, id string, items int) reply {
	return s.submitBodies(n, id, items, []byte("draft"))
}

// submitBodies submits a job whose items have a given body.
func (s *testSite) submitBodies(n int, id string, items int, body []byte) reply {
	return s.call(s.t.Context(), n, http.MethodPost, "/lot/1", id, string(fake.JobBody(id, items, body)))
}

// readJob reads the results of a job from a position onwards.
func (s *testSite) readJob(n int, id string, after int) (fake.Results, int) {
	r := s.call(s.t.Context(), n, http.MethodGet, fake.ResultsPath(id, after), "r", "")
	var p fake.Results
	if r.status == http.StatusOK {
		var err error
		p, err = fake.DecodeResults(r.body)
		require.NoError(s.t, err)
	}
	return p, r.status
}

// awaitJob reads a job at a node until it is complete, and checks each result.
func (s *testSite) awaitJob(n int, id string, within time.Duration) fake.Results {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		p, status := s.readJob(n, id, 0)
		if status != http.StatusOK || p.Next < p.Total {
			continue
		}
		seen := map[string]bool{}
		for _, r := range p.Results {
			require.False(s.t, seen[r.ID], "item %s has two results", r.ID)
			seen[r.ID] = true
			if r.Completed() {
				require.Equal(s.t, fake.CompleteText(r.ID, eventsOfStream), r.Text)
			}
		}
		return p
	}
	require.Fail(s.t, "job is not complete", "job %s after %s", id, within)
	return fake.Results{}
}
