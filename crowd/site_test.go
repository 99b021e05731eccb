package crowd

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/platform"
	"mothcart/platform/fake"
)

const (
	storePort   = 7100
	enginePort  = 7200
	peerPort    = 7300
	carrierPort = peerPort + 1
	callerPort  = 7400
	readyPort   = 7401
	metricsPort = 9091
	// lockPort is bound on the first address of a site, so that no other site uses its addresses.
	lockPort = 7099
	// firstNet and lastNet are the second bytes of the addresses of sites.
	firstNet, lastNet = 225, 250
)

// site is an entry and a home node, real mothcart processes on loopback addresses; the fakes of the platform run in the test
// process.
type site struct {
	t         *testing.T
	netByte   int
	lock      net.Listener
	maxFDs    int
	objects   *fake.Objects
	engine    *fake.Engine
	processes []*process
	requests  int
}

// ip returns a loopback address of the site.
func (s *site) ip(group, n int) string { return fmt.Sprintf("127.%d.%d.%d", s.netByte, group, n) }

func (s *site) address(group, n, port int) string {
	return net.JoinHostPort(s.ip(group, n), fmt.Sprint(port))
}

func (s *site) callers() string      { return s.address(5, 1, callerPort) }
func (s *site) readiness() string    { return s.address(5, 1, readyPort) }
func (s *site) carrier() string      { return s.address(5, 1, carrierPort) }
func (s *site) entryNodes() string   { return s.address(5, 1, peerPort) }
func (s *site) homeNodes() string    { return s.address(5, 2, peerPort) }
func (s *site) entryMetrics() string { return s.address(5, 1, metricsPort) }
func (s *site) homeMetrics() string  { return s.address(5, 2, metricsPort) }

func newSite(t *testing.T, maxFDs int) *site {
	s := &site{t: t, maxFDs: maxFDs}
	s.takeAddresses()
	network := fake.NewLoopback()
	s.objects = fake.NewObjects(network, s.address(1, 1, storePort))
	s.objects.Configure(1, []fake.Route{
		{Name: "fetch", Kind: fake.Idempotent, Service: "desk", Attempts: 2, Timeout: 4 * time.Second, Objective: 300 * time.Millisecond},
		{Name: "lot", Kind: fake.Batch, Service: "desk", Attempts: 3, Timeout: 4 * time.Second, Objective: 300 * time.Millisecond, TokenCap: 1000000},
	})
	s.engine = fake.NewEngine(network, fake.EngineOptions{ID: "i-1", Service: "desk", Address: s.address(2, 1, enginePort), Zone: "z1", Slots: 6, Born: 1, Objects: s.objects})
	dir := t.TempDir()
	entry := fake.VM{ID: "e1", IP: s.ip(5, 1), Callers: s.callers(), Ready: s.readiness()}
	home := fake.VM{ID: "s1", IP: s.ip(5, 2), DataDir: filepath.Join(dir, "data")}
	require.NoError(t, os.Mkdir(home.DataDir, 0o700))
	s.start(dir, "home", home)
	s.start(dir, "entry", entry)
	return s
}

// takeAddresses takes the first addresses that no other site uses.
func (s *site) takeAddresses() {
	for s.netByte = firstNet; s.netByte <= lastNet; s.netByte++ {
		l, err := net.Listen("tcp", s.address(0, 1, lockPort))
		if err == nil {
			s.lock = l
			return
		}
	}
	require.Fail(s.t, "all addresses are in use")
}

// start starts a process with low limits.
func (s *site) start(dir, role string, vm fake.VM) {
	vm.PeerPort, vm.Store, vm.HomeNodes = peerPort, s.address(1, 1, storePort), []string{s.ip(5, 2)}
	vm.MemoryMB, vm.MaxFDs = memoryMB, s.maxFDs
	p := &process{id: vm.ID, logs: filepath.Join(dir, vm.ID+".log"), dataDir: vm.DataDir, ended: make(chan struct{})}
	settings := filepath.Join(dir, vm.ID+".json")
	require.NoError(s.t, os.WriteFile(settings, fake.SettingsFile(vm), 0o600))
	log, err := os.Create(p.logs)
	require.NoError(s.t, err)
	defer log.Close()
	p.cmd = exec.Command(program, role)
	// A machine of the platform has one core.
	p.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+settings, "GOMAXPROCS=1")
	p.cmd.Stdout, p.cmd.Stderr = log, log
	require.NoError(s.t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait() // the log shows why a process has ended
		close(p.ended)
	}()
	s.processes = append(s.processes, p)
}

func (s *site) close() {
	for _, p := range s.processes {
		_ = p.cmd.Process.Kill() // fails if the process has ended
		<-p.ended
	}
	s.engine.Crash()
	s.objects.Close()
	_ = s.lock.Close()
}
