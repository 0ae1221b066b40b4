package soak

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// proxy passes connections on to an address, with faults of the path.
type proxy struct {
	l  net.Listener
	to string

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	delay  time.Duration
	silent bool // bytes are dropped both ways; connections stay
	oneWay bool // answers are dropped
}

func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for proxy: %w", err)
	}
	p := &proxy{l: l, to: to, conns: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.l.Addr().String() }

func (p *proxy) accept() {
	for {
		conn, err := p.l.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *proxy) serve(in net.Conn) {
	out, err := net.DialTimeout("tcp", p.to, time.Second)
	if err != nil {
		_ = in.Close()
		return
	}
	p.mu.Lock()
	p.conns[in], p.conns[out] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); p.copy(out, in, false) }()
	go func() { defer wg.Done(); p.copy(in, out, true) }()
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, in)
	delete(p.conns, out)
	p.mu.Unlock()
}

// copy passes bytes on until either side ends, and ends the other like it.
func (p *proxy) copy(to, from net.Conn, answers bool) {
	defer to.Close()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		p.mu.Lock()
		delay, drop := p.delay, p.silent || (p.oneWay && answers)
		p.mu.Unlock()
		if delay > 0 {
			time.Sleep(delay)
		}
		if drop {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// set changes the faults of the path.
func (p *proxy) set(delay time.Duration, silent, oneWay bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.silent, p.oneWay = delay, silent, oneWay
}

// reset ends all open connections with a reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (p *proxy) close() {
	_ = p.l.Close()
	p.reset()
}
