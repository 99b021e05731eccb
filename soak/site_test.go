package soak

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/platform"
	"mothcart/platform/fake"
)

const (
	entries = 3
	homes   = 3
	engines = 3
	// eventsOfStream and pace make a stream of 0.3 s.
	eventsOfStream = 15
	pace           = 20 * time.Millisecond
	storePort      = 7100
)

// process is one program of the site; a stopped one is started again.
type process struct {
	role, id, settings, logs string
	// disk is its data directory; empty on entries.
	disk string

	// restarting lets one restart end before the next begins.
	restarting sync.Mutex

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// site is a site of real processes on loopback addresses, with the platform's stand-in in this one.
type site struct {
	t       *testing.T
	program string
	net     byte
	objects *fake.Objects
	engines []*fake.Engine
	desk    *fake.Engine
	// storePaths and enginePaths are the proxies of the paths to the object service and to engines.
	storePaths  []*proxy
	enginePaths []*proxy
	processes   []*process
	version     int
}

// ip returns a loopback address of the site; sites of different seeds don't meet.
func (s *site) ip(group, n int) string { return fmt.Sprintf("127.%d.%d.%d", s.net, group, n) }

func newSite(t *testing.T, program string, seed uint64) *site {
	s := &site{t: t, program: program, net: byte(20 + seed%200)}
	network := fake.NewLoopback()
	storeAt := net.JoinHostPort(s.ip(1, 1), fmt.Sprint(storePort))
	s.objects = fake.NewObjects(network, storeAt)
	s.configure()
	for n := 1; n <= engines+1; n++ {
		at, announced := s.ip(2, n)+":7200", s.ip(3, n)+":7200"
		o := fake.EngineOptions{ID: fmt.Sprintf("i-%d", n), Service: "scribe", Address: at, Announced: announced, Zone: "z1", Slots: 3, Born: 1,
			Events: eventsOfStream, Pace: pace, Objects: s.objects}
		if n > engines {
			o.Service, o.Slots = "desk", 6
		}
		e := fake.NewEngine(network, o)
		p, err := newProxy(announced, at)
		require.NoError(t, err)
		s.enginePaths = append(s.enginePaths, p)
		if n > engines {
			s.desk = e
		} else {
			s.engines = append(s.engines, e)
		}
	}
	dir := t.TempDir()
	for n := 1; n <= entries+homes; n++ {
		role, id := "entry", fmt.Sprintf("e%d", n)
		if n > entries {
			role, id = "home", fmt.Sprintf("s%d", n-entries)
		}
		own := net.JoinHostPort(s.ip(4, n), fmt.Sprint(storePort))
		p, err := newProxy(own, storeAt)
		require.NoError(t, err)
		s.storePaths = append(s.storePaths, p)
		pr := &process{role: role, id: id, settings: filepath.Join(dir, id+".json"), logs: filepath.Join(dir, id+".log")}
		if role == "home" {
			pr.disk = filepath.Join(dir, id)
			require.NoError(t, os.Mkdir(pr.disk, 0o700))
		}
		s.writeSettings(pr, s.ip(5, n), own)
		s.processes = append(s.processes, pr)
		s.start(pr)
	}
	return s
}

func (s *site) writeSettings(pr *process, ip, store string) {
	callers, ready := "", ""
	if pr.role == "entry" {
		callers, ready = ip+":7400", ip+":7401"
	}
	vm := fake.VM{ID: pr.id, IP: ip, PeerPort: 7300, Store: store, Callers: callers, Ready: ready, DataDir: pr.disk}
	for n := entries + 1; n <= entries+homes; n++ {
		vm.HomeNodes = append(vm.HomeNodes, s.ip(5, n))
	}
	b := fake.SettingsFile(vm)
	require.NoError(s.t, os.WriteFile(pr.settings, b, 0o600))
}

// configure writes the next configuration.
func (s *site) configure() {
	s.version++
	const timeout, objective = 4 * time.Second, 300 * time.Millisecond
	s.objects.Configure(s.version, []fake.Route{
		{Name: "ask", Kind: fake.Streaming, Service: "scribe", Attempts: 2, Resumable: true, Timeout: timeout, Objective: objective},
		{Name: "once", Kind: fake.Streaming, Service: "scribe", Attempts: 1, Timeout: timeout, Objective: objective},
		{Name: "fetch", Kind: fake.Idempotent, Service: "desk", Attempts: 2, Timeout: timeout, Objective: objective},
		{Name: "swap", Kind: fake.NonIdempotent, Service: "desk", Attempts: 1, Timeout: timeout, Objective: objective},
		{Name: "lot", Kind: fake.Batch, Service: "scribe", Attempts: 3, Timeout: timeout, Objective: objective, TokenCap: 100000},
	})
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
		_ = cmd.Wait() // how a process ended that was killed says nothing
		close(done)
	}()
	pr.cmd, pr.done = cmd, done
}

// signal sends a signal to the process if it runs.
func (pr *process) signal(sig syscall.Signal) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if err := pr.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		panic(err) // only own children are signalled
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
	for _, p := range append(s.storePaths, s.enginePaths...) {
		p.close()
	}
	for _, e := range append(s.engines, s.desk) {
		e.Crash()
	}
	s.objects.Close()
}

// caller returns the address of an entry for callers.
func (s *site) caller(n int) string { return s.ip(5, n) + ":7400" }

// ready reports that an entry says so.
func (s *site) ready(n int) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + s.ip(5, n) + ":7401/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// runsOf returns how often a request was run.
func (s *site) runsOf(id string) int {
	n := 0
	for _, e := range append(s.engines, s.desk) {
		n += e.Runs(id)
	}
	return n
}
