package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy forwards TCP connections from a loopback address to target. It can delay data, block one or both
// directions and reset the connections. It dials from the address at which it listens, so that the target can tell callers
// with proxies of their own apart.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// delay holds back each piece of data. blockToTarget blocks data to the target and blockFromTarget data
	// from it; the connections stay open.
	delay                          time.Duration
	blockToTarget, blockFromTarget bool
}

func newProxy(addr, target string) (*proxy, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		callerConn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(callerConn)
	}
}

func (p *proxy) serve(callerConn net.Conn) {
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: p.listener.Addr().(*net.TCPAddr).IP}}
	targetConn, err := dialer.Dial("tcp4", p.target)
	if err != nil {
		abort(callerConn)
		return
	}
	p.mu.Lock()
	p.conns[callerConn], p.conns[targetConn] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.forward(targetConn, callerConn, &p.blockToTarget) })
	wg.Go(func() { p.forward(callerConn, targetConn, &p.blockFromTarget) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, callerConn)
	delete(p.conns, targetConn)
	p.mu.Unlock()
}

func (p *proxy) forward(dst, src net.Conn, block *bool) {
	defer dst.Close()
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		for p.isBlocked(block) {
			time.Sleep(20 * time.Millisecond)
		}
		p.mu.Lock()
		delay := p.delay
		p.mu.Unlock()
		time.Sleep(delay)
		if n > 0 {
			if _, writeErr := dst.Write(buf[:n]); writeErr != nil {
				abort(src)
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				abort(dst)
			}
			return
		}
	}
}

func (p *proxy) isBlocked(block *bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return *block
}

// setFaults replaces the faults of the proxy.
func (p *proxy) setFaults(delay time.Duration, blockToTarget, blockFromTarget bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.blockToTarget, p.blockFromTarget = delay, blockToTarget, blockFromTarget
}

// reset closes all connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	conns := make([]net.Conn, 0, len(p.conns))
	for c := range p.conns {
		conns = append(conns, c)
	}
	p.mu.Unlock()
	for _, c := range conns {
		abort(c)
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.setFaults(0, false, false)
	p.reset()
}

func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
