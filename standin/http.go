// Package standin has the surroundings of the system for tests, the demo and
// the load tool: the platform (table service, object store, weight store, list
// of instances), model engines and plain services. Each is an http.Handler with
// faults that can be switched at run time by PUT /faults, and each counts what
// it saw, so that a tool can check the system from outside.
//
// # Usage
//
//	p := standin.NewPlatform(standin.PlatformSettings{LoadsPerSecond: 3, LoadBurst: 2})
//	addr, stop, err := standin.Serve("127.0.0.1:0", p)
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// maxBody bounds the bodies that a stand-in reads, in bytes.
const maxBody = 32 << 20

// Listener serves a handler and can make its open connections silent.
type Listener struct {
	Address string
	srv     *http.Server
	mu      sync.Mutex
	conns   map[*silentConn]struct{}
	refuse  func(remote net.Addr) bool
}

// Serve listens on address and serves h until Close is called.
func Serve(address string, h http.Handler) (*Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("stand-in listens: %w", err)
	}
	l := &Listener{Address: ln.Addr().String(), conns: map[*silentConn]struct{}{}}
	l.srv = &http.Server{Handler: h, ReadHeaderTimeout: 30 * time.Second}
	go func() { _ = l.srv.Serve(&silentListener{Listener: ln, l: l}) }()
	return l, nil
}

// SilenceConnections makes all open connections silent for good: they stay
// open, what is written to them is lost, and nothing is read. New ones work.
func (l *Listener) SilenceConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for c := range l.conns {
		if c.silence() {
			n++
		}
	}
	return n
}

// Close ends the server and its connections.
func (l *Listener) Close() {
	_ = l.srv.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.Conn.Close()
	}
}

type silentListener struct {
	net.Listener
	l *Listener
}

func (s *silentListener) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	sc := &silentConn{Conn: c, l: s.l, silenced: make(chan struct{}), closed: make(chan struct{})}
	s.l.mu.Lock()
	s.l.conns[sc] = struct{}{}
	s.l.mu.Unlock()
	return sc, nil
}

// silentConn is a connection that something between the two ends can lose
// track of: once silent it swallows writes, and reads block until it is closed.
type silentConn struct {
	net.Conn
	l        *Listener
	once     sync.Once
	silenced chan struct{}
	closing  sync.Once
	closed   chan struct{}
}

func (c *silentConn) silence() bool {
	fresh := false
	c.once.Do(func() {
		fresh = true
		close(c.silenced)
	})
	return fresh
}

func (c *silentConn) isSilent() bool {
	select {
	case <-c.silenced:
		return true
	default:
		return false
	}
}

func (c *silentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *silentConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *silentConn) Close() error {
	c.closing.Do(func() { close(c.closed) })
	c.l.mu.Lock()
	delete(c.l.conns, c)
	c.l.mu.Unlock()
	if c.isSilent() {
		// The other end hears nothing of the close: the socket stays open
		// until the listener itself is closed.
		c.l.mu.Lock()
		c.l.conns[c] = struct{}{}
		c.l.mu.Unlock()
		return nil
	}
	return c.Conn.Close()
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err == nil {
		err = json.Unmarshal(body, v)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Announce puts an instance on the list of the platform at address.
func Announce(ctx context.Context, address string, row InstanceRow) error {
	value, err := json.Marshal(row)
	if err != nil {
		return fmt.Errorf("encode instance: %w", err)
	}
	body, err := json.Marshal(StoreTransaction{Writes: []StoreRow{{Table: tableInstances, Key: row.Name, Value: value}}})
	if err != nil {
		return fmt.Errorf("encode transaction: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/rows-tx", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("announce %s: %w", row.Name, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("announce %s: %w", row.Name, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("announce %s: platform answers %s", row.Name, resp.Status)
	}
	return nil
}
