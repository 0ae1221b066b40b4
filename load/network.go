package load

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
)

// errCut is the error of a dial between partitioned zones.
var errCut = errors.New("network is cut")

// cutDialTimeout is how long a dial between partitioned zones takes to fail.
const cutDialTimeout = time.Second

// Network simulates partitions between availability zones. It affects only
// connections that were dialled through it.
type Network struct {
	mu    sync.Mutex
	zones map[string]string // zone by address
	cut   map[string]bool   // zones without connectivity to other zones
	conns map[*cutConn]struct{}
}

// NewNetwork returns a network without partitions.
func NewNetwork() *Network {
	return &Network{zones: map[string]string{}, cut: map[string]bool{}, conns: map[*cutConn]struct{}{}}
}

// SetZone sets the availability zone of an address.
func (n *Network) SetZone(address, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[address] = zone
}

// Cut partitions a zone from all others, or ends the partition. Open connections
// across the partition become unresponsive and stay so after it ends.
func (n *Network) Cut(zone string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[zone] = isolated
	for c := range n.conns {
		if n.separated(c.from, c.to) {
			c.silence()
		}
	}
}

// separated reports whether two zones are partitioned from each other. Callers hold
// mu.
func (n *Network) separated(from, to string) bool {
	return from != to && (n.cut[from] || n.cut[to])
}

// Dial returns the dial function for an instance in a zone.
func (n *Network) Dial(zone string) chestnutstream.DialFunc {
	var d net.Dialer
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n.mu.Lock()
		to := n.zones[address]
		separated := n.separated(zone, to)
		n.mu.Unlock()
		if separated {
			select {
			case <-ctx.Done():
			case <-time.After(cutDialTimeout):
			}
			return nil, errCut
		}
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &cutConn{Conn: conn, n: n, from: zone, to: to, silenced: make(chan struct{}), closed: make(chan struct{})}
		n.mu.Lock()
		n.conns[c] = struct{}{}
		n.mu.Unlock()
		return c, nil
	}
}

// cutConn is a connection that a partition makes permanently unresponsive: writes are
// discarded, and reads block until it is closed.
type cutConn struct {
	net.Conn
	n           *Network
	from, to    string
	silenceOnce sync.Once
	closeOnce   sync.Once
	silenced    chan struct{}
	closed      chan struct{}
}

func (c *cutConn) silence() { c.silenceOnce.Do(func() { close(c.silenced) }) }

func (c *cutConn) isSilent() bool {
	select {
	case <-c.silenced:
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
