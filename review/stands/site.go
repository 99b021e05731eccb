package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"mothcart/platform"
	"mothcart/platform/fake"
)

// restartDelay is the platform's delay before it starts a process again that has ended.
const restartDelay = time.Second

// ports are those that the processes of a deployment use on their addresses.
type ports struct{ store, engine, caller, ready, peer int }

// process is one process of the project, as the platform runs it.
type process struct {
	role, id, ip, settings, logs string
	memoryMB                     int

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// deployment is a small site on loopback addresses: the project's own processes, and stand-ins for the rest.
type deployment struct {
	program string
	octet   int
	ports   ports
	dir     string
	rec     *record
	network *fake.Network
	objects *fake.Objects
	entries []*process
	homes   []*process
}

// shape is the size of a deployment.
type shape struct {
	entries, homes          int
	entryMemory, homeMemory int
}

// ip returns an address of the deployment.
func (d *deployment) ip(group, n int) string { return fmt.Sprintf("127.%d.%d.%d", d.octet, group, n) }

// at returns the address of a port.
func at(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// freePorts returns ports that nobody uses.
func freePorts() (ports, error) {
	var p ports
	for _, port := range []*int{&p.store, &p.engine, &p.caller, &p.ready, &p.peer} {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return p, err
		}
		defer l.Close()
		*port = l.Addr().(*net.TCPAddr).Port
	}
	return p, nil
}

// metricsPort is where each process serves its metrics.
const metricsPort = 9091

// freeOctet returns a second byte of loopback addresses that nobody uses.
func freeOctet() (int, error) {
	for i := range 200 {
		octet := 20 + (os.Getpid()+i)%200
		l, err := net.Listen("tcp4", at(fmt.Sprintf("127.%d.6.1", octet), metricsPort))
		if err == nil {
			return octet, l.Close()
		}
	}
	return 0, errors.New("no free loopback addresses")
}

// newDeployment prepares a deployment without processes.
func newDeployment(program string, rec *record, s shape) (*deployment, error) {
	octet, err := freeOctet()
	if err != nil {
		return nil, err
	}
	free, err := freePorts()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{program: program, octet: octet, ports: free, dir: dir, rec: rec, network: fake.NewLoopback()}
	d.objects = fake.NewObjects(d.network, at(d.ip(1, 1), free.store))
	for n := 1; n <= s.homes; n++ {
		d.homes = append(d.homes, &process{role: "home", id: fmt.Sprintf("store-%d", n), ip: d.ip(6, n), memoryMB: s.homeMemory})
	}
	for n := 1; n <= s.entries; n++ {
		d.entries = append(d.entries, &process{role: "entry", id: fmt.Sprintf("front-%d", n), ip: d.ip(5, n), memoryMB: s.entryMemory})
	}
	for _, p := range d.all() {
		if err := d.writeSettings(p); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *deployment) all() []*process { return append(append([]*process{}, d.homes...), d.entries...) }

func (d *deployment) writeSettings(p *process) error {
	vm := fake.VM{ID: p.id, IP: p.ip, PeerPort: d.ports.peer, Store: at(d.ip(1, 1), d.ports.store), MemoryMB: p.memoryMB}
	for n := range min(len(d.homes), 3) {
		vm.HomeNodes = append(vm.HomeNodes, d.ip(6, n+1))
	}
	if p.role == "entry" {
		vm.Callers, vm.Ready = at(p.ip, d.ports.caller), at(p.ip, d.ports.ready)
	} else {
		vm.DataDir = filepath.Join(d.dir, p.id)
		if err := os.MkdirAll(vm.DataDir, 0o700); err != nil {
			return err
		}
	}
	p.settings, p.logs = filepath.Join(d.dir, p.id+".json"), filepath.Join(d.dir, p.id+".log")
	return os.WriteFile(p.settings, fake.SettingsFile(vm), 0o600)
}

// start starts a process with the command of the deploy file.
func (d *deployment) start(p *process) error {
	log, err := os.OpenFile(p.logs, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(d.program, p.role)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait() // processes are killed on purpose
		close(done)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.done = cmd, done
	return nil
}

// startAll starts all processes and waits until the entries are ready.
func (d *deployment) startAll() error {
	for _, p := range d.all() {
		if err := d.start(p); err != nil {
			return err
		}
	}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.ready() {
			return nil
		}
	}
	return errors.New("the entries aren't ready")
}

func (d *deployment) ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, p := range d.entries {
		resp, err := client.Get("http://" + at(p.ip, d.ports.ready) + "/ready")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// signal sends a signal to a process that runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // it may have ended
	}
}

// kill ends a process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done != nil {
		<-done
	}
}

// pid returns the ID of the process.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// close ends everything.
func (d *deployment) close() {
	for _, p := range d.all() {
		p.kill()
	}
	d.objects.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs:", d.dir)
	}
}
