package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"mothcart/platform"
	"mothcart/platform/fake"
)

// Ports of a site; each process has a loopback address of its own.
const (
	storePort  = "7100"
	enginePort = "7200"
	peerPort   = 7300
	callerPort = "7400"
	readyPort  = "7401"
)

// checkIn is the interval at which engines write their entries.
const checkIn = 1200 * time.Millisecond

// siteOptions describe a small site.
type siteOptions struct {
	entries, homes, engines, slots int
	// events and pace are the number of events of a stream and the time between two of them.
	events int
	pace   time.Duration
	// entryMB and homeMB are the memory of one process.
	entryMB, homeMB int
	// tokenCap is that of the route of jobs.
	tokenCap int64
}

// process is one entry or home node.
type process struct {
	role, id, ip, settings, log string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// site runs real processes; the object service and the engines run in this process.
type site struct {
	opts      siteOptions
	dir       string
	second    byte
	network   *fake.Network
	objects   *fake.Objects
	engines   []*fake.Engine
	link      *storeLink
	entries   []*process
	homes     []*process
	record    *record
	closeOnce sync.Once
}

// ip returns a loopback address of the site.
func (s *site) ip(group, n int) string { return fmt.Sprintf("127.%d.%d.%d", s.second, group, n) }

// newSite starts the object service, the engines and the processes.
func newSite(opts siteOptions, r *record) (*site, error) {
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		return nil, err
	}
	s := &site{opts: opts, dir: dir, network: fake.NewLoopback(), record: r}
	if s.second, err = freeNet(); err != nil {
		return nil, err
	}
	store := net.JoinHostPort(s.ip(1, 1), storePort)
	s.objects = fake.NewObjects(s.network, store)
	if s.link, err = newStoreLink(net.JoinHostPort(s.ip(1, 2), storePort), store); err != nil {
		return nil, err
	}
	s.configure(1)
	for n := 1; n <= opts.engines; n++ {
		s.addEngine(n)
	}
	for n := 1; n <= opts.homes; n++ {
		s.homes = append(s.homes, &process{role: "home", id: fmt.Sprintf("s%d", n), ip: s.ip(6, n)})
	}
	for n := 1; n <= opts.entries; n++ {
		s.entries = append(s.entries, &process{role: "entry", id: fmt.Sprintf("e%d", n), ip: s.ip(5, n)})
	}
	for _, p := range s.processes() {
		if err := s.prepare(p); err != nil {
			return nil, err
		}
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// addEngine starts the engine with a number.
func (s *site) addEngine(n int) {
	s.engines = append(s.engines, fake.NewEngine(s.network, fake.EngineOptions{
		ID: fmt.Sprintf("i-%d", n), Service: "scribe", Address: net.JoinHostPort(s.ip(2, n), enginePort), Zone: "z1", Slots: s.opts.slots,
		Born: int64(n), Events: s.opts.events, Pace: s.opts.pace, Objects: s.objects,
	}))
}

// loseEngine ends an engine for good; its entry lapses after three check-in intervals.
func (s *site) loseEngine(n int) {
	s.engines[n-1].Crash()
	time.AfterFunc(3*checkIn, func() { s.objects.RemoveUpstream(fmt.Sprintf("i-%d", n)) })
}

func (s *site) processes() []*process {
	return append(append([]*process{}, s.homes...), s.entries...)
}

// freeNet returns the second byte of loopback addresses on which nobody listens.
func freeNet() (byte, error) {
	for range 50 {
		var b [1]byte
		if _, err := rand.Read(b[:]); err != nil {
			return 0, err
		}
		if b[0] < 20 {
			continue
		}
		l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.1.1:%s", b[0], storePort))
		if err == nil {
			return b[0], l.Close()
		}
	}
	return 0, errors.New("no free loopback addresses")
}

// configure writes a configuration with the figures of a small site.
func (s *site) configure(version int) {
	route := func(name, kind string, more map[string]any) map[string]any {
		r := map[string]any{"name": name, "host": fake.Host, "path_prefix": "/" + name + "/", "kind": kind, "service": "scribe", "gap_aim_ms": 600}
		maps.Copy(r, more)
		return r
	}
	s.objects.Write("config", "main", map[string]any{
		"version": version,
		"routes": []any{
			route("ask", "streaming", map[string]any{"max_attempts": 2, "resumable": true, "timeout_ms": 5000, "target_latency_ms": 300, "sticky": true}),
			route("once", "streaming", map[string]any{"max_attempts": 1, "timeout_ms": 5000, "target_latency_ms": 300, "sticky": true}),
			route("lot", "batch", map[string]any{
				"max_attempts": 3, "timeout_ms": 15000, "target_latency_ms": 400, "priority": 2, "completion_target_ms": 18000,
				"max_wait_s": maxWait.Seconds(), "cap": s.opts.tokenCap, "resumable": true, "sticky": true,
			}),
		},
		"services": []any{map[string]any{"name": "scribe", "max_conns": 310, "engine": map[string]any{"slots": s.opts.slots, "kv_capacity_tokens": 147261}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// maxWait is how long after a job was sent its items may be given up.
const maxWait = 60 * time.Second

// prepare writes the settings file of a process.
func (s *site) prepare(p *process) error {
	p.settings, p.log = filepath.Join(s.dir, p.id+".json"), filepath.Join(s.dir, p.id+".log")
	vm := fake.VM{ID: p.id, IP: p.ip, PeerPort: peerPort, Store: s.link.address}
	if p.role == "entry" {
		vm.Callers, vm.Ready, vm.MemoryMB = net.JoinHostPort(p.ip, callerPort), net.JoinHostPort(p.ip, readyPort), s.opts.entryMB
	} else {
		vm.DataDir, vm.MemoryMB = filepath.Join(s.dir, p.id), s.opts.homeMB
		if err := os.Mkdir(vm.DataDir, 0o700); err != nil {
			return err
		}
	}
	for _, h := range s.homes {
		vm.HomeNodes = append(vm.HomeNodes, h.ip)
	}
	return os.WriteFile(p.settings, fake.SettingsFile(vm), 0o600)
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/mothcart", p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + p.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait() // processes are killed on purpose
		close(done)
	}()
	p.cmd, p.done = cmd, done
	return nil
}

// peakMB returns the most memory that the process has used, in MB.
func (p *process) peakMB() int {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(b), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB"))) // 0 if it isn't known
			return kb / 1024
		}
	}
	return 0
}

// signal sends a signal to the process if it runs.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(sig) // it may have ended
}

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	<-done
}

// awaitReady waits until all entries say that they are ready.
func (s *site) awaitReady(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, p := range s.entries {
		for {
			resp, err := client.Get("http://" + net.JoinHostPort(p.ip, readyPort) + "/ready")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if !sleep(ctx, 100*time.Millisecond) {
				return fmt.Errorf("entry %s is not ready", p.id)
			}
		}
	}
	return nil
}

// killAll kills all processes at the same moment, and starts them again within a second.
func (s *site) killAll(ctx context.Context) error {
	s.record.add("all processes are killed")
	for _, p := range s.processes() {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range s.processes() {
		p.kill()
	}
	sleep(ctx, 900*time.Millisecond)
	for _, p := range s.processes() {
		if err := p.start(); err != nil {
			return err
		}
	}
	s.record.add("all processes are started again")
	return s.awaitReady(ctx)
}

// mostWrites returns the kind of results with the most writes at the object service, and their number.
func (s *site) mostWrites() (int, string) {
	most, kind := 0, ""
	for name, n := range s.objects.Calls() {
		if of, ok := strings.CutPrefix(name, "POST mothcart-results-"); ok && n > most {
			most, kind = n, of
		}
	}
	return most, kind
}

// lease is what the home writes to the object service.
type lease struct {
	VM string `json:"vm"`
}

// home returns the process that wrote to the object service last under a condition; nil if there is none.
func (s *site) home() *process {
	var l lease
	if err := s.link.read("mothcart-lease", "main", &l); err != nil {
		return nil
	}
	for _, p := range s.homes {
		if p.id == l.VM {
			return p
		}
	}
	return nil
}

// close ends all processes and removes the temporary folder, unless RIG_KEEP is set.
func (s *site) close() {
	s.closeOnce.Do(func() {
		for _, p := range s.processes() {
			if p.cmd != nil {
				p.kill()
			}
		}
		for _, e := range s.engines {
			e.Crash()
		}
		s.link.close()
		s.objects.Close()
		if os.Getenv("RIG_KEEP") == "" {
			_ = os.RemoveAll(s.dir)
		}
	})
}

func newID() string {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err)
	}
	return hex.EncodeToString(b[:])
}

// sleep reports false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
