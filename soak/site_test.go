package soak

import (
	"cmp"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/platform"
	"mothcart/platform/fake"
)

// entries and homes are the numbers of processes; the seeds in the code are for 3 of each.
var entries, homes int

func init() {
	flag.IntVar(&entries, "entries", 3, "number of entries")
	flag.IntVar(&homes, "homes", 3, "number of home nodes")
}

const (
	engines = 3
	// engineSlots are the slots of an engine of the service scribe, deskSlots those of the service desk.
	engineSlots = 3
	deskSlots   = 6
	// A stream has eventsPerStream events, one each pace: it takes 0.3 s.
	eventsPerStream = 15
	pace            = 20 * time.Millisecond
	storePort       = 7100
	// routeTimeout is the usual time limit of all routes.
	routeTimeout = 4 * time.Second
)

// process is one entry or home node of the site. It can be stopped and started again.
type process struct {
	role, id, settings, logs string
	// dataDir is the data directory of a home node; empty on entries.
	dataDir string

	// restarting is held during a restart, so that restarts of the process don't overlap.
	restarting sync.Mutex

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// site runs real mothcart processes on loopback addresses; the fakes of the platform run in the test process.
type site struct {
	t       *testing.T
	program string
	netByte byte
	network *fake.Network
	objects *fake.Objects
	engines []*fake.Engine
	// desk is the engine of the service desk; engines serve the service scribe.
	desk *fake.Engine
	// storeProxies has one proxy to the object service per process, engineProxies one proxy per engine.
	storeProxies  []*proxy
	engineProxies []*proxy
	processes     []*process
	configVersion int
	// accounts are the client accounts; requests need no key if there are none.
	accounts []fake.Account
	// tokenCap is that of the route of jobs.
	tokenCap int64
	// timeout is the time limit of all routes; 0 means routeTimeout.
	timeout time.Duration
	// valueBytes is the size of the largest object; 0 means the default.
	valueBytes int
}

// ip returns a loopback address of the site. Its second byte is 20 + seed modulo 200, so that sites of
// nearby seeds don't share addresses.
func (s *site) ip(group, n int) string { return fmt.Sprintf("127.%d.%d.%d", s.netByte, group, n) }

func newSite(t *testing.T, program string, seed uint64, accounts ...fake.Account) *site {
	s := &site{t: t, program: program, netByte: byte(20 + seed%200), network: fake.NewLoopback(), accounts: accounts, tokenCap: 1000000}
	if seed >= firstRefusalSeed {
		s.tokenCap = refusalTokenCap
	}
	storeAddr := net.JoinHostPort(s.ip(1, 1), fmt.Sprint(storePort))
	s.objects = fake.NewObjects(s.network, storeAddr)
	if seed >= firstResultSeed {
		s.tokenCap, s.valueBytes = 100000, resultValue
		s.objects.SetValueBytes(resultValue)
	}
	s.configure()
	for n := 1; n <= engines; n++ {
		s.engines = append(s.engines, s.addEngine(n, "scribe", "v1", engineSlots))
	}
	s.desk = s.addEngine(engines+1, "desk", "v1", deskSlots)
	dir := t.TempDir()
	for n := 1; n <= entries+homes; n++ {
		role, id := "entry", fmt.Sprintf("e%d", n)
		if n > entries {
			role, id = "home", fmt.Sprintf("s%d", n-entries)
		}
		proxyAddr := net.JoinHostPort(s.ip(4, n), fmt.Sprint(storePort))
		p, err := newProxy(proxyAddr, storeAddr)
		require.NoError(t, err)
		s.storeProxies = append(s.storeProxies, p)
		pr := &process{role: role, id: id, settings: filepath.Join(dir, id+".json"), logs: filepath.Join(dir, id+".log")}
		if role == "home" {
			pr.dataDir = filepath.Join(dir, id)
			require.NoError(t, os.Mkdir(pr.dataDir, 0o700))
		}
		s.writeSettings(pr, s.ip(5, n), proxyAddr)
		s.processes = append(s.processes, pr)
		s.start(pr)
	}
	return s
}

func engineID(n int) string { return fmt.Sprintf("i-%d", n) }

// addEngine starts an engine behind a proxy.
func (s *site) addEngine(n int, service, version string, slots int) *fake.Engine {
	addr, announced := s.ip(2, n)+":7200", s.ip(3, n)+":7200"
	e := fake.NewEngine(s.network, fake.EngineOptions{ID: engineID(n), Service: service, Address: addr, Announced: announced, Zone: "z1", Slots: slots,
		Born: 1, Version: version, Events: eventsPerStream, Pace: pace, Objects: s.objects})
	p, err := newProxy(announced, addr)
	require.NoError(s.t, err)
	s.engineProxies = append(s.engineProxies, p)
	return e
}

// awaitReady waits until all entries are ready.
func (s *site) awaitReady() {
	for n := 1; n <= entries; n++ {
		require.Eventually(s.t, func() bool { return s.ready(n) }, 20*time.Second, 100*time.Millisecond, "entry %d starts", n)
	}
}

func (s *site) writeSettings(pr *process, ip, store string) {
	callers, ready := "", ""
	if pr.role == "entry" {
		callers, ready = ip+":7400", ip+":7401"
	}
	vm := fake.VM{ID: pr.id, IP: ip, PeerPort: 7300, Store: store, Callers: callers, Ready: ready, DataDir: pr.dataDir, ValueBytes: s.valueBytes, MemoryMB: smallHomeMB}
	if pr.role == "entry" {
		vm.MemoryMB = smallEntryMB
	}
	for n := entries + 1; n <= entries+homes; n++ {
		vm.HomeNodes = append(vm.HomeNodes, s.ip(5, n))
	}
	b := fake.SettingsFile(vm)
	require.NoError(s.t, os.WriteFile(pr.settings, b, 0o600))
}

// configure publishes the next version of the configuration; each second one has a route more.
func (s *site) configure() {
	s.configVersion++
	const objective = 300 * time.Millisecond
	timeout := cmp.Or(s.timeout, routeTimeout)
	routes := []fake.Route{
		{Name: "ask", Kind: fake.Streaming, Service: "scribe", Attempts: 2, Resumable: true, Timeout: timeout, Objective: objective},
		{Name: "once", Kind: fake.Streaming, Service: "scribe", Attempts: 1, Timeout: timeout, Objective: objective},
		{Name: "fetch", Kind: fake.Idempotent, Service: "desk", Attempts: 2, Timeout: timeout, Objective: objective},
		{Name: "swap", Kind: fake.NonIdempotent, Service: "desk", Attempts: 1, Timeout: timeout, Objective: objective},
		{Name: "lot", Kind: fake.Batch, Service: "scribe", Attempts: 3, Timeout: timeout, Objective: objective, TokenCap: s.tokenCap},
	}
	if s.configVersion%2 == 0 {
		routes = append(routes, fake.Route{Name: "new", Kind: fake.Idempotent, Service: "desk", Attempts: 2, Timeout: timeout, Objective: objective})
	}
	s.objects.Configure(s.configVersion, routes, s.accounts...)
}

func (s *site) start(pr *process) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	log, err := os.OpenFile(pr.logs, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	require.NoError(s.t, err)
	defer log.Close()
	cmd := exec.Command(s.program, pr.role)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+pr.settings)
	cmd.Stdout, cmd.Stderr = log, log
	require.NoError(s.t, cmd.Start())
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait() // the exit status is ignored: tests kill processes on purpose
		close(done)
	}()
	pr.cmd, pr.done = cmd, done
}

// signal sends a signal to the process if it runs.
func (pr *process) signal(sig syscall.Signal) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if err := pr.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		panic(err) // can't fail: the test signals only its own child processes
	}
}

func (pr *process) await() {
	pr.mu.Lock()
	done := pr.done
	pr.mu.Unlock()
	<-done
}

func (s *site) close() {
	for _, pr := range s.processes {
		pr.signal(syscall.SIGKILL)
		pr.await()
	}
	for _, p := range append(s.storeProxies, s.engineProxies...) {
		p.close()
	}
	for _, e := range append(s.engines, s.desk) {
		e.Crash()
	}
	s.objects.Close()
}

// caller returns the address of an entry for callers.
func (s *site) caller(n int) string { return s.ip(5, n) + ":7400" }

// ready reports whether an entry answers on its readiness port with 200.
func (s *site) ready(n int) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + s.ip(5, n) + ":7401/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// runCount returns how often the engines ran a request.
func (s *site) runCount(id string) int {
	n := 0
	for _, e := range slices.Concat(s.engines, []*fake.Engine{s.desk}) {
		n += e.Runs(id)
	}
	return n
}
