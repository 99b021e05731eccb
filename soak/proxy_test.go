package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy passes connections on between loopback addresses and can harm them.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// delay holds every piece of data back; silent keeps data from the caller, from the target, or both,
	// without closing anything.
	delay                    time.Duration
	silentToward, silentFrom bool
}

func newProxy(at, target string) (*proxy, error) {
	l, err := net.Listen("tcp4", at)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(near)
	}
}

func (p *proxy) serve(near net.Conn) {
	far, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		abort(near)
		return
	}
	p.mu.Lock()
	p.conns[near], p.conns[far] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pass(far, near, &p.silentToward) })
	both.Go(func() { p.pass(near, far, &p.silentFrom) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, near)
	delete(p.conns, far)
	p.mu.Unlock()
}

func (p *proxy) pass(dst, src net.Conn, silent *bool) {
	defer dst.Close()
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		for p.isSilent(silent) {
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

func (p *proxy) isSilent(silent *bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return *silent
}

// set changes how the proxy harms connections.
func (p *proxy) set(delay time.Duration, silentToward, silentFrom bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.silentToward, p.silentFrom = delay, silentToward, silentFrom
}

// reset ends all connections with a reset.
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
	p.set(0, false, false)
	p.reset()
}

func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
