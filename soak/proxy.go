package soak

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/chestnutstream/chestnutstream/standin"
)

// proxy forwards TCP connections to an address and injects network faults.
type proxy struct {
	listener net.Listener
	target   string

	mu            sync.Mutex
	conns         map[net.Conn]struct{}
	delay         time.Duration
	dropAll       bool // drop bytes in both directions; connections stay open
	dropResponses bool // drop bytes from the server to the client
	changedAt     time.Time
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", standin.ProcessAddress)
	if err != nil {
		return nil, fmt.Errorf("listen for proxy: %w", err)
	}
	p := &proxy{listener: listener, target: target, conns: map[net.Conn]struct{}{}}
	go p.accept(listener)
	return p, nil
}

func (p *proxy) address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener.Addr().String()
}

func (p *proxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *proxy) serve(client net.Conn) {
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); p.forward(server, client, false) }()
	go func() { defer wg.Done(); p.forward(client, server, true) }()
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

// forward copies bytes from src to dst until either side ends, and then closes
// dst. responses is set if src is the server.
func (p *proxy) forward(dst, src net.Conn, responses bool) {
	defer dst.Close()
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		p.mu.Lock()
		delay, drop := p.delay, p.dropAll || (p.dropResponses && responses)
		p.mu.Unlock()
		if delay > 0 {
			time.Sleep(delay)
		}
		if drop {
			continue
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}

// setFaults replaces the faults in force.
func (p *proxy) setFaults(delay time.Duration, dropAll, dropResponses bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.dropAll, p.dropResponses = delay, dropAll, dropResponses
	p.changedAt = time.Now()
}

// reset closes all open connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changedAt = time.Now()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// refuse closes all connections and refuses new ones until restore is called.
func (p *proxy) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	for conn := range p.conns {
		_ = conn.Close()
	}
}

// restore accepts connections again.
func (p *proxy) restore() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	listener, err := net.Listen("tcp", p.listener.Addr().String())
	if err != nil {
		return fmt.Errorf("listen for proxy: %w", err)
	}
	p.listener = listener
	go p.accept(listener)
	return nil
}

func (p *proxy) close() {
	p.mu.Lock()
	_ = p.listener.Close()
	p.mu.Unlock()
	p.reset()
}
