// Package crowd runs real mothcart processes on loopback addresses before crowds of clients that keep to no limit, and checks that
// each process lives, stays within the memory and the descriptors of its settings, and answers ordinary callers afterwards.
//
// Usage:
//
//	go test ./crowd
//	go test ./crowd -run 'TestCrowdOfSmallFields$' -v
package crowd

import (
	"flag"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	// memoryMB is the memory of a process in its settings, in MB.
	memoryMB = 134
	// usualFDs and fewFDs are numbers of descriptors of a process in its settings.
	usualFDs = 4100
	fewFDs   = 1000
	// crowdTime bounds the time of a crowd.
	crowdTime = 2 * time.Second
	// connectionsPerClient bounds how often a client connects, and reconnectPause is the time between two connections of it.
	connectionsPerClient = 3
	reconnectPause       = 100 * time.Millisecond
	// sourceAddresses is the number of IP addresses that a crowd comes from.
	sourceAddresses = 16
)

// program is the path of the mothcart program.
var program string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "mothcart")
	if out, err := exec.Command("go", "build", "-o", program, "mothcart/cmd/mothcart").CombinedOutput(); err != nil {
		panic(string(out))
	}
	return m.Run()
}

// crowd is a number of clients that do the same at one address.
type crowd struct {
	seed    uint64
	clients int
	// maxFDs is the number of descriptors in the settings; 0 means usualFDs.
	maxFDs int
	// at returns the address.
	at func(s *site) string
	// send is what a client does on each of its connections.
	send func(c *client)
	// enforced reports that the system refuses processes more descriptors than their settings name.
	enforced bool
	// refused reports that the clients may get no answer but a refusal.
	refused bool
}

// run runs the crowd before a new site and checks the site.
func (cr crowd) run(t *testing.T) {
	if cr.maxFDs == 0 {
		cr.maxFDs = usualFDs
	}
	s := newSite(t, cr.maxFDs)
	defer s.close()
	s.requireAnswers("before")
	if cr.enforced {
		s.enforceDescriptors()
	}
	defer s.checkBounds()
	s.watchDescriptors(func() { cr.press(s) })
	s.requireAnswers("after")
	s.requireNodePorts()
}

// press lets all clients do their part, which ends after crowdTime.
func (cr crowd) press(s *site) {
	stop := make(chan struct{})
	timer := time.AfterFunc(crowdTime, func() { close(stop) })
	defer timer.Stop()
	address := cr.at(s)
	var all sync.WaitGroup
	for n := range cr.clients {
		rng := rand.New(rand.NewPCG(cr.seed, uint64(n)))
		source := s.ip(9, 1+rng.IntN(sourceAddresses))
		all.Go(func() {
			for range connectionsPerClient {
				if status := connect(source, address, rng, stop, cr.send); cr.refused && status != 0 {
					assert.Contains(s.t, refusals, status, "status of the answer")
				}
				select {
				case <-stop:
					return
				case <-time.After(reconnectPause):
				}
			}
		})
	}
	all.Wait()
}

// refusals are the statuses by which a process refuses a request that it hasn't read to its end.
var refusals = []int{
	http.StatusRequestTimeout, http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge, http.StatusServiceUnavailable,
}

// Guards against memory for each field of heads that are held open.
func TestCrowdOfSmallFields(t *testing.T) {
	crowd{seed: 1, clients: 200, at: (*site).callers, send: smallFields}.run(t)
}

// Guards against memory for each field of heads that are held open at the port for metrics.
func TestCrowdOfSmallFieldsAtMetrics(t *testing.T) {
	crowd{seed: 2, clients: 200, at: (*site).entryMetrics, send: smallFields}.run(t)
}

// Guards against memory for each field of heads that are held open at a home node's port for metrics.
func TestCrowdOfSmallFieldsAtHomeMetrics(t *testing.T) {
	crowd{seed: 3, clients: 200, at: (*site).homeMetrics, send: smallFields}.run(t)
}

// Guards against memory for each field of heads that are held open at the port of the load balancer's health check.
func TestCrowdOfSmallFieldsAtReadiness(t *testing.T) {
	crowd{seed: 4, clients: 200, at: (*site).readiness, send: smallFields}.run(t)
}

// Guards against memory for each field of heads that are held open at the port for entries without links to upstreams.
func TestCrowdOfSmallFieldsAtCarrier(t *testing.T) {
	crowd{seed: 5, clients: 200, at: (*site).carrier, send: smallFields}.run(t)
}

// Guards against memory for the bytes of heads that are held open.
func TestCrowdOfLongFields(t *testing.T) {
	crowd{seed: 6, clients: 2000, at: (*site).callers, send: longField}.run(t)
}

// Guards against memory for heads without end.
func TestCrowdOfSmallFieldsWithoutEnd(t *testing.T) {
	crowd{seed: 7, clients: 200, at: (*site).callers, send: smallFieldsWithoutEnd}.run(t)
}

// Guards against memory for a field without end.
func TestCrowdOfFieldsWithoutEnd(t *testing.T) {
	crowd{seed: 8, clients: 200, at: (*site).callers, send: fieldWithoutEnd}.run(t)
}

// Guards against memory for empty lines before the first request of a connection.
func TestCrowdOfEmptyLines(t *testing.T) {
	crowd{seed: 9, clients: 200, at: (*site).callers, send: emptyLines}.run(t)
}

// Guards against memory for empty lines between the requests of a connection.
func TestCrowdOfEmptyLinesAfterRequests(t *testing.T) {
	crowd{seed: 10, clients: 200, at: (*site).callers, send: emptyLinesAfterRequest}.run(t)
}

// Guards against memory for trailers without end.
func TestCrowdOfTrailersWithoutEnd(t *testing.T) {
	crowd{seed: 11, clients: 200, at: (*site).callers, send: trailersWithoutEnd}.run(t)
}

// Guards against memory for chunk extensions without end.
func TestCrowdOfChunkExtensionsWithoutEnd(t *testing.T) {
	crowd{seed: 12, clients: 200, at: (*site).callers, send: chunkExtensionWithoutEnd}.run(t)
}

// Guards against an answer to a head over the limit that is no refusal.
func TestCrowdOfHeadsOverTheLimit(t *testing.T) {
	crowd{seed: 13, clients: 200, at: (*site).callers, send: headOverTheLimit, refused: true}.run(t)
}

// Guards against descriptors for connections that send nothing.
func TestCrowdOfSilentConnections(t *testing.T) {
	crowd{seed: 14, clients: 1200, maxFDs: fewFDs, at: (*site).callers, send: nothing}.run(t)
}

// Guards against descriptors for connections that send nothing at the port for connections between nodes, and for those that
// an entry opens to the home on their behalf.
func TestCrowdOfSilentConnectionsAtNodePort(t *testing.T) {
	crowd{seed: 15, clients: 1200, maxFDs: fewFDs, at: (*site).entryNodes, send: nothing}.run(t)
}

// Guards against ports for connections between nodes that take no connection any more after the process had no descriptors left.
func TestCrowdOfConnectionsBeyondTheDescriptors(t *testing.T) {
	crowd{seed: 21, clients: 1200, maxFDs: fewFDs, enforced: true, at: (*site).entryNodes, send: nothing}.run(t)
}

// Guards against descriptors for heads that arrive a byte at a time.
func TestCrowdOfSlowHeads(t *testing.T) {
	crowd{seed: 16, clients: 1200, maxFDs: fewFDs, at: (*site).callers, send: slowHead}.run(t)
}

// Guards against memory and descriptors for bodies that are declared and never arrive.
func TestCrowdOfDeclaredBodies(t *testing.T) {
	crowd{seed: 17, clients: 1200, maxFDs: fewFDs, at: (*site).callers, send: declaredBody}.run(t)
}

// Guards against memory for frames that don't end at the port for connections between nodes of a home node.
func TestCrowdOfFramesWithoutEnd(t *testing.T) {
	crowd{seed: 18, clients: 100, at: (*site).homeNodes, send: frameWithoutEnd}.run(t)
}

// Guards against memory for frames that don't end and that an entry relays to the home.
func TestCrowdOfFramesWithoutEndAtEntry(t *testing.T) {
	crowd{seed: 19, clients: 100, at: (*site).entryNodes, send: frameWithoutEnd}.run(t)
}

// Guards against what the kinds of clients cause only together.
func TestCrowdOfAllKinds(t *testing.T) {
	crowd{seed: 20, clients: 1200, maxFDs: fewFDs, at: (*site).callers, send: anyKind}.run(t)
}
