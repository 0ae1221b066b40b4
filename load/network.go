package load

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
)

// errCut is what a dial over a cut ends with, after the dial's own patience.
var errCut = errors.New("network is cut")

// cutDialTime is how long a dial over a cut takes to fail.
const cutDialTime = time.Second

// Network is a network of availability zones that can be cut off from each
// other. It only affects connections dialled through it.
type Network struct {
	mu    sync.Mutex
	zones map[string]string // by address
	cut   map[string]bool   // zones that reach nothing outside themselves
	conns map[*cutConn]struct{}
}

// NewNetwork returns a network without cuts.
func NewNetwork() *Network {
	return &Network{zones: map[string]string{}, cut: map[string]bool{}, conns: map[*cutConn]struct{}{}}
}

// Place says in which availability zone an address is.
func (n *Network) Place(address, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[address] = zone
}

// Cut cuts a zone off from all others, or joins it again. Connections over a
// cut go silent, and stay so when it ends.
func (n *Network) Cut(zone string, off bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[zone] = off
	for c := range n.conns {
		if n.separated(c.from, c.to) {
			c.silence()
		}
	}
}

// separated reports whether a cut lies between two zones. Callers hold mu.
func (n *Network) separated(from, to string) bool {
	return from != to && (n.cut[from] || n.cut[to])
}

// Dial returns the dial function of an instance in a zone.
func (n *Network) Dial(zone string) chestnutstream.DialFunc {
	var d net.Dialer
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n.mu.Lock()
		to := n.zones[address]
		off := n.separated(zone, to)
		n.mu.Unlock()
		if off {
			select {
			case <-ctx.Done():
			case <-time.After(cutDialTime):
			}
			return nil, errCut
		}
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &cutConn{Conn: conn, n: n, from: zone, to: to, silent: make(chan struct{}), closed: make(chan struct{})}
		n.mu.Lock()
		n.conns[c] = struct{}{}
		n.mu.Unlock()
		return c, nil
	}
}

// cutConn is a connection that a cut makes silent for good.
type cutConn struct {
	net.Conn
	n         *Network
	from, to  string
	once      sync.Once
	closeOnce sync.Once
	silent    chan struct{}
	closed    chan struct{}
}

func (c *cutConn) silence() { c.once.Do(func() { close(c.silent) }) }

func (c *cutConn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

func (c *cutConn) Read(p []byte) (int, error) {
	m, err := c.Conn.Read(p)
	if c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return m, err
}

func (c *cutConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *cutConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.n.mu.Lock()
	delete(c.n.conns, c)
	c.n.mu.Unlock()
	return c.Conn.Close()
}
