package instance

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"
	"github.com/gorilla/websocket"

	"github.com/chestnutstream/chestnutstream"
)

// Times and sizes of the connections.
const (
	dialTimeout  = 600 * time.Millisecond
	writeTimeout = time.Second
	redialFirst  = 100 * time.Millisecond
	redialMost   = time.Second
	beatLeast    = time.Second           // between beats on an idle connection
	beatPerPeer  = 25 * time.Millisecond // more for each peer, so that an instance's beats stay about 40 a second
	silentBeats  = 3                     // a connection without a sign for so many beats has gone silent
	maxFrame     = 8 << 20               // bytes; a configuration with many routes is the largest
	bufferBytes  = 1024                  // of a connection; frames are small
)

// Handler takes what other instances say. Calls of one peer do not overlap.
type Handler interface {
	// Heard takes a bundle.
	Heard(from Member, b Bundle)
	// Linked is called when a connection to a peer is up, and returns what is
	// to be said first.
	Linked(to Member) Bundle
	// Unlinked is called when the connection to a peer is lost.
	Unlinked(to Member, err error)
}

// Settings of a mesh.
type Settings struct {
	Self  Member
	Run   uint64 // of this process
	Timer chestnutstream.Timer
	Log   log.Interface
}

// Mesh keeps the connections to the other instances.
type Mesh struct {
	cfg      Settings
	handler  Handler
	upgrader websocket.Upgrader
	ctx      context.Context
	cancel   context.CancelFunc

	mu    sync.Mutex
	links map[string]*link
	conns map[*websocket.Conn]struct{}
}

// link is the connection that this instance dials to a peer.
type link struct {
	member Member
	cancel context.CancelFunc
	wake   chan struct{}

	mu  sync.Mutex
	up  bool
	out Bundle
}

// NewMesh returns a mesh without peers.
func NewMesh(cfg Settings, h Handler) *Mesh {
	ctx, cancel := context.WithCancel(context.Background())
	return &Mesh{
		cfg: cfg, handler: h, ctx: ctx, cancel: cancel, links: map[string]*link{}, conns: map[*websocket.Conn]struct{}{},
		upgrader: websocket.Upgrader{ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes},
	}
}

// SeedName names a peer of which only the address is known.
func SeedName(address string) string { return "seed/" + address }

// Add begins to keep a connection to a peer. A peer that is known under another
// address is dialled anew.
func (m *Mesh) Add(member Member) {
	if member.Name == m.cfg.Self.Name || member.Name == "" || member.Address == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx.Err() != nil {
		return
	}
	if seed := m.links[SeedName(member.Address)]; seed != nil && member.Name != SeedName(member.Address) {
		// The seed has told its name.
		seed.cancel()
		delete(m.links, SeedName(member.Address))
	}
	if l := m.links[member.Name]; l != nil {
		if l.member.Address == member.Address {
			return
		}
		l.cancel()
	}
	ctx, cancel := context.WithCancel(m.ctx)
	l := &link{member: member, cancel: cancel, wake: make(chan struct{}, 1)}
	m.links[member.Name] = l
	go m.run(ctx, l)
}

// Drop ends the connections that this instance dialled to some addresses.
func (m *Mesh) Drop(addresses map[string]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, l := range m.links {
		if addresses[l.member.Address] {
			l.cancel()
			delete(m.links, name)
		}
	}
}

// Peers returns the names of the peers whose connection is up.
func (m *Mesh) Peers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for name, l := range m.links {
		if l.isUp() {
			names = append(names, name)
		}
	}
	return names
}

// Linked reports whether the connection to a peer is up.
func (m *Mesh) Linked(name string) bool {
	m.mu.Lock()
	l := m.links[name]
	m.mu.Unlock()
	return l != nil && l.isUp()
}

func (l *link) isUp() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.up
}

// Send adds to the next bundle to a peer. It reports false when there is no
// connection; nothing will be sent then.
func (m *Mesh) Send(name string, add func(b *Bundle)) bool {
	m.mu.Lock()
	l := m.links[name]
	m.mu.Unlock()
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.up {
		return false
	}
	add(&l.out)
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return true
}

// Broadcast adds to the next bundle to every peer.
func (m *Mesh) Broadcast(add func(b *Bundle)) {
	for _, name := range m.Peers() {
		m.Send(name, add)
	}
}

// Close ends all connections.
func (m *Mesh) Close() {
	m.cancel()
	m.mu.Lock()
	defer m.mu.Unlock()
	for conn := range m.conns {
		_ = conn.Close()
	}
}

// beat returns the time between beats on an idle connection.
func (m *Mesh) beat() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(beatLeast, time.Duration(len(m.links))*beatPerPeer)
}

func (m *Mesh) run(ctx context.Context, l *link) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = redialFirst, redialMost
	for ctx.Err() == nil {
		began := m.cfg.Timer.Now()
		up, err := m.connect(ctx, l)
		if ctx.Err() != nil {
			return
		}
		if up {
			m.handler.Unlinked(l.member, err)
		}
		if m.cfg.Timer.Now().Sub(began) > 2*redialMost {
			wait.Reset()
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait.NextBackOff()):
		}
	}
}

// connect dials a peer and sends bundles until the connection fails.
func (m *Mesh) connect(ctx context.Context, l *link) (up bool, err error) {
	d := websocket.Dialer{
		HandshakeTimeout: dialTimeout, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes,
		NetDialContext: (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext,
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, resp, err := d.DialContext(dialCtx, "ws://"+l.member.Address+Path, nil)
	if err != nil {
		return false, fmt.Errorf("dial %s: %w", l.member.Name, err)
	}
	_ = resp.Body.Close()
	defer conn.Close()
	// What is said while the first bundle is put together belongs into the next.
	l.mu.Lock()
	l.up, l.out = true, Bundle{}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		l.up = false
		l.mu.Unlock()
	}()
	first := m.handler.Linked(l.member)
	first.From, first.Run = m.cfg.Self, m.cfg.Run
	if err := m.write(conn, first); err != nil {
		return true, err
	}
	closed := make(chan error, 1)
	go m.watch(conn, closed)
	return true, m.pump(ctx, l, conn, closed)
}

// watch reads the pongs of a dialled connection until it fails or falls silent.
func (m *Mesh) watch(conn *websocket.Conn, closed chan<- error) {
	extend := func(string) error {
		return conn.SetReadDeadline(time.Now().Add(silentBeats * m.beat()))
	}
	conn.SetPongHandler(extend)
	err := extend("")
	for err == nil {
		_, _, err = conn.NextReader()
	}
	closed <- err
}

func (m *Mesh) pump(ctx context.Context, l *link, conn *websocket.Conn, closed <-chan error) error {
	beat := time.NewTicker(m.beat())
	defer beat.Stop()
	for {
		select {
		case <-ctx.Done():
			return fmt.Errorf("link to %s: %w", l.member.Name, ctx.Err())
		case err := <-closed:
			return fmt.Errorf("link to %s: %w", l.member.Name, err)
		case <-beat.C:
			if err := conn.WriteControl(websocket.PingMessage, nil, time.Now().Add(writeTimeout)); err != nil {
				return fmt.Errorf("ping %s: %w", l.member.Name, err)
			}
		case <-l.wake:
			l.mu.Lock()
			out := l.out
			l.out = Bundle{}
			l.mu.Unlock()
			if out.empty() {
				continue
			}
			if err := m.write(conn, out); err != nil {
				return err
			}
		}
	}
}

func (m *Mesh) write(conn *websocket.Conn, b Bundle) error {
	frame, err := Encode(b)
	if err != nil {
		return err
	}
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("set write deadline: %w", err)
	}
	if err := conn.WriteMessage(websocket.BinaryMessage, frame); err != nil {
		return fmt.Errorf("write bundle: %w", err)
	}
	return nil
}

// ServeHTTP accepts the connection that a peer dialled.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := m.upgrader.Upgrade(w, r, nil)
	if err != nil {
		m.cfg.Log.WithError(err).WithField("remote", r.RemoteAddr).Warn("no peer connection")
		return
	}
	m.mu.Lock()
	m.conns[conn] = struct{}{}
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		delete(m.conns, conn)
		m.mu.Unlock()
		_ = conn.Close()
	}()
	conn.SetReadLimit(maxFrame)
	err = m.receive(conn)
	m.cfg.Log.WithError(err).WithField("remote", r.RemoteAddr).Debug("peer connection ended")
}

func (m *Mesh) receive(conn *websocket.Conn) error {
	extend := func() error { return conn.SetReadDeadline(time.Now().Add(silentBeats * m.beat())) }
	conn.SetPingHandler(func(data string) error {
		if err := extend(); err != nil {
			return err
		}
		return conn.WriteControl(websocket.PongMessage, []byte(data), time.Now().Add(writeTimeout))
	})
	var from Member
	for {
		if err := extend(); err != nil {
			return fmt.Errorf("set read deadline: %w", err)
		}
		_, frame, err := conn.ReadMessage()
		if err != nil {
			return fmt.Errorf("read frame: %w", err)
		}
		b, err := Decode(frame)
		if err != nil {
			return err
		}
		if from.Name == "" {
			if b.From.Name == "" {
				return fmt.Errorf("first frame names no instance")
			}
			from = b.From
			m.Add(from)
		}
		m.handler.Heard(from, b)
	}
}
