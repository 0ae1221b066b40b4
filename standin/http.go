// Package standin provides stand-ins for the services that the system depends
// on, for tests, the demo and the load tool: the platform (table service, object
// store, weight store, list of instances), model engines and plain services.
// Each is an http.Handler that can inject faults and counts what it observes, so
// that a test can verify the system from outside. The faults of a Platform,
// Engine or Service can also be set at run time by PUT /faults.
//
// # Usage
//
//	p := standin.NewPlatform(standin.PlatformSettings{LoadsPerSecond: 3, LoadBurst: 2})
//	listener, err := standin.Serve("127.0.0.1:0", p)
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

// maxBodyBytes limits the request bodies that a stand-in reads.
const maxBodyBytes = 32 << 20

// Listener serves an HTTP handler and can make its open connections unresponsive.
type Listener struct {
	Address string
	srv     *http.Server
	mu      sync.Mutex
	conns   map[*silentConn]struct{}
	refuse  func(remote net.Addr) bool
}

// Serve listens on the TCP address and serves h until Close is called.
func Serve(address string, h http.Handler) (*Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for stand-in: %w", err)
	}
	l := &Listener{Address: ln.Addr().String(), conns: map[*silentConn]struct{}{}}
	l.srv = &http.Server{Handler: h, ReadHeaderTimeout: 30 * time.Second}
	go func() { _ = l.srv.Serve(&silentListener{Listener: ln, l: l}) }()
	return l, nil
}

// SilenceConnections makes all open connections permanently unresponsive: they
// stay open, but writes are discarded and reads block. New connections work. It
// returns the number of connections that it changed.
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

// Close stops the server and closes all connections, including silent ones.
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

// silentConn simulates a connection whose state was lost by a middlebox: once
// silent it discards writes, and reads block until it is closed.
type silentConn struct {
	net.Conn
	l           *Listener
	silenceOnce sync.Once
	silenced    chan struct{}
	closeOnce   sync.Once
	closed      chan struct{}
}

// silence makes the connection silent and reports whether it was not before.
func (c *silentConn) silence() bool {
	changed := false
	c.silenceOnce.Do(func() {
		changed = true
		close(c.silenced)
	})
	return changed
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
	c.closeOnce.Do(func() { close(c.closed) })
	c.l.mu.Lock()
	delete(c.l.conns, c)
	c.l.mu.Unlock()
	if c.isSilent() {
		// The peer must not see the close, so the socket stays open until the
		// listener is closed.
		c.l.mu.Lock()
		c.l.conns[c] = struct{}{}
		c.l.mu.Unlock()
		return nil
	}
	return c.Conn.Close()
}

// readJSON decodes the request body into v. On failure it responds with status
// 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
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

// RegisterInstance registers an instance in the instance list of the platform at
// address. It fails if the platform is unreachable or does not respond with
// status 200.
func RegisterInstance(ctx context.Context, address string, row InstanceRow) error {
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
		return fmt.Errorf("announce %s: platform returned status %s", row.Name, resp.Status)
	}
	return nil
}
