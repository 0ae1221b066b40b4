package instance

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"
	"github.com/gorilla/websocket"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/tcp"
)

// Timeouts, intervals and sizes of connections.
const (
	dialTimeout              = 600 * time.Millisecond
	writeTimeout             = time.Second
	minRedialDelay           = 100 * time.Millisecond
	maxRedialDelay           = time.Second
	minHeartbeatInterval     = time.Second           // between heartbeats on an idle connection
	heartbeatIntervalPerPeer = 25 * time.Millisecond // per peer, so that an instance sends about 40 heartbeats a second at most
	maxMissedHeartbeats      = 3                     // a connection is lost if nothing arrives for so many heartbeat intervals
	maxHandshakeBytes        = 16 << 10              // of a response to a handshake
	maxFrameBytes            = 8 << 20               // a configuration with many routes is the largest frame
	bufferBytes              = 1024                  // per connection and direction; frames are small
)

// Handler receives messages and connection events from other instances. Calls for
// messages of one peer do not overlap.
type Handler interface {
	// Received is called with each bundle received.
	Received(from Member, b Bundle)
	// Connected is called when a connection to a peer is established. It returns the
	// first bundle to send.
	Connected(to Member) Bundle
	// Disconnected is called when the connection to a peer is lost.
	Disconnected(to Member, err error)
}

// Settings configures a Mesh.
type Settings struct {
	Self        Member
	Incarnation uint64 // incarnation of this process
	Timer       chestnutstream.Timer
	Log         log.Interface
	Dial        chestnutstream.DialFunc // connects to peers; nil: Dial
}

// Mesh maintains the connections to the other instances.
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

// link is the outgoing connection to a peer.
type link struct {
	member Member
	cancel context.CancelFunc
	wake   chan struct{}
	redial chan struct{} // ends the pause before the next dial
	own    bool          // the peer itself has sent the member; guarded by the mesh's mu

	mu      sync.Mutex
	up      bool
	pending Bundle // next bundle to send
}

// NewMesh returns a mesh without peers.
func NewMesh(cfg Settings, h Handler) *Mesh {
	if cfg.Dial == nil {
		cfg.Dial = Dial
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Mesh{
		cfg: cfg, handler: h, ctx: ctx, cancel: cancel, links: map[string]*link{}, conns: map[*websocket.Conn]struct{}{},
		upgrader: websocket.Upgrader{ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes},
	}
}

// Dial connects to a peer.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	return conn, nil
}

const seedPrefix = "seed/"

// SeedName returns the provisional name of a peer of which only the address is known.
func SeedName(address string) string { return seedPrefix + address }

func isSeed(name string) bool { return strings.HasPrefix(name, seedPrefix) }

// Add starts to maintain a connection to a peer. A peer whose name is no identity and that
// is known with another address is dialled again.
func (m *Mesh) Add(member Member) { m.add(member, false) }

// add is Add; own is set if the peer itself has sent the member.
func (m *Mesh) add(member Member, own bool) {
	if member.Name == m.cfg.Self.Name || member.Name == "" || member.Address == "" || member.Address == m.cfg.Self.Address {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx.Err() != nil {
		return
	}
	if l := m.links[member.Name]; l != nil {
		if l.member.Address == member.Address {
			if own && !l.own {
				l.own = true
				m.removeOthersAt(member, own)
			}
			return
		}
		l.cancel()
	}
	if !own && m.answersAs(member.Address) {
		return // an earlier process had that name there
	}
	m.removeOthersAt(member, own)
	ctx, cancel := context.WithCancel(m.ctx)
	l := &link{member: member, cancel: cancel, wake: make(chan struct{}, 1), redial: make(chan struct{}, 1), own: own}
	m.links[member.Name] = l
	go m.maintain(ctx, l)
}

// answersAs reports whether a connected peer has itself sent a member with an address.
// Callers hold mu.
func (m *Mesh) answersAs(address string) bool {
	for _, l := range m.links {
		if l.member.Address == address && l.own && l.isUp() {
			return true
		}
	}
	return false
}

// removeOthersAt removes the links to other members at the address of a member: seeds, as
// the name is known now, and if the peer itself has sent the member those to earlier
// processes there. Callers hold mu.
func (m *Mesh) removeOthersAt(member Member, own bool) {
	for name, l := range m.links {
		if l.member.Address == member.Address && name != member.Name && (own || isSeed(name)) {
			l.cancel()
			delete(m.links, name)
		}
	}
}

// movedTimeout is how long a peer must be unreachable to be removed while another member of
// its instance name is connected.
const movedTimeout = time.Minute

// removeMoved removes the link to a peer that has been down since a time, if its instance
// seems to run at another address now. It returns true if the link was removed.
func (m *Mesh) removeMoved(l *link, since time.Time) bool {
	if m.cfg.Timer.Now().Sub(since) < movedTimeout {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, other := range m.links {
		if name != l.member.Name && chestnutstream.InstanceName(name) == chestnutstream.InstanceName(l.member.Name) && other.isUp() {
			l.cancel()
			delete(m.links, l.member.Name)
			return true
		}
	}
	return false
}

// redial dials a peer at once if its outgoing connection is down: the peer has just
// connected, so it runs.
func (m *Mesh) redial(name string) {
	m.mu.Lock()
	l := m.links[name]
	m.mu.Unlock()
	if l == nil || l.isUp() {
		return
	}
	select {
	case l.redial <- struct{}{}:
	default:
	}
}

// Drop closes the outgoing connections to the given addresses.
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

// Peers returns the names of the peers whose outgoing connection is up.
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

// Connected reports whether the outgoing connection to a peer is up.
func (m *Mesh) Connected(name string) bool {
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

// Send calls add on the next bundle to a peer. It returns false, without calling
// add, if the connection is not up.
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
	add(&l.pending)
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return true
}

// Broadcast calls add on the next bundle to each connected peer.
func (m *Mesh) Broadcast(add func(b *Bundle)) {
	for _, name := range m.Peers() {
		m.Send(name, add)
	}
}

// Close closes all connections.
func (m *Mesh) Close() {
	m.cancel()
	m.mu.Lock()
	defer m.mu.Unlock()
	for conn := range m.conns {
		_ = conn.Close()
	}
}

// heartbeatInterval returns the time between heartbeats on an idle connection.
func (m *Mesh) heartbeatInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(minHeartbeatInterval, time.Duration(len(m.links))*heartbeatIntervalPerPeer)
}

// LossTime returns the time within which a peer notices that its connection to this instance
// is lost.
func (m *Mesh) LossTime() time.Duration { return maxMissedHeartbeats * m.heartbeatInterval() }

func (m *Mesh) maintain(ctx context.Context, l *link) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = minRedialDelay, maxRedialDelay
	downSince := m.cfg.Timer.Now()
	for ctx.Err() == nil {
		start := m.cfg.Timer.Now()
		up, err := m.connect(ctx, l)
		if up && !m.replaced(l) {
			m.handler.Disconnected(l.member, err)
		}
		if up {
			downSince = m.cfg.Timer.Now()
		}
		if ctx.Err() != nil || m.removeMoved(l, downSince) {
			return
		}
		if m.cfg.Timer.Now().Sub(start) > 2*maxRedialDelay {
			delay.Reset()
		}
		select {
		case <-ctx.Done():
		case <-l.redial:
		case <-time.After(delay.NextBackOff()):
		}
	}
}

// replaced reports whether the mesh has stopped or has another link in place of this one.
func (m *Mesh) replaced(l *link) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.links[l.member.Name]
	return m.ctx.Err() != nil || (current == nil && isSeed(l.member.Name)) || (current != nil && current != l)
}

// connect dials a peer and sends bundles until the connection fails.
func (m *Mesh) connect(ctx context.Context, l *link) (up bool, err error) {
	dial, handshakeComplete := tcp.LimitHandshake(m.cfg.Dial, maxHandshakeBytes)
	d := websocket.Dialer{
		HandshakeTimeout: dialTimeout, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes,
		NetDialContext: dial,
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, resp, err := d.DialContext(dialCtx, "ws://"+l.member.Address+Path, nil)
	if err != nil {
		return false, fmt.Errorf("dial %s: %w", l.member.Name, err)
	}
	handshakeComplete()
	_ = resp.Body.Close()
	defer conn.Close()
	// Messages sent while the handler builds the first bundle go into the next
	// one.
	l.mu.Lock()
	l.up, l.pending = true, Bundle{}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		l.up = false
		l.mu.Unlock()
	}()
	first := m.handler.Connected(l.member)
	first.From, first.Incarnation = m.cfg.Self, m.cfg.Incarnation
	if err := m.write(conn, first); err != nil {
		return true, err
	}
	closed := make(chan error, 1)
	go m.readPongs(conn, closed)
	return true, m.sendLoop(ctx, l, conn, closed)
}

// readPongs reads the pongs of an outgoing connection until it fails or nothing
// arrives within the timeout.
func (m *Mesh) readPongs(conn *websocket.Conn, closed chan<- error) {
	extend := func(string) error {
		return conn.SetReadDeadline(time.Now().Add(maxMissedHeartbeats * m.heartbeatInterval()))
	}
	conn.SetPongHandler(extend)
	err := extend("")
	for err == nil {
		_, _, err = conn.NextReader()
	}
	closed <- err
}

func (m *Mesh) sendLoop(ctx context.Context, l *link, conn *websocket.Conn, closed <-chan error) error {
	heartbeat := time.NewTicker(m.heartbeatInterval())
	defer heartbeat.Stop()
	for {
		select {
		case <-ctx.Done():
			return fmt.Errorf("link to %s: %w", l.member.Name, ctx.Err())
		case err := <-closed:
			return fmt.Errorf("link to %s: %w", l.member.Name, err)
		case <-heartbeat.C:
			if err := conn.WriteControl(websocket.PingMessage, nil, time.Now().Add(writeTimeout)); err != nil {
				return fmt.Errorf("ping %s: %w", l.member.Name, err)
			}
		case <-l.wake:
			l.mu.Lock()
			out := l.pending
			l.pending = Bundle{}
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

// ServeHTTP accepts an incoming connection of a peer.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := m.upgrader.Upgrade(w, r, nil)
	if err != nil {
		m.cfg.Log.WithError(err).WithField("remote", r.RemoteAddr).Warn("WebSocket upgrade of a peer connection failed")
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
	conn.SetReadLimit(maxFrameBytes)
	err = m.receiveLoop(conn)
	m.cfg.Log.WithError(err).WithField("remote", r.RemoteAddr).Debug("peer connection ended")
}

func (m *Mesh) receiveLoop(conn *websocket.Conn) error {
	extend := func() error { return conn.SetReadDeadline(time.Now().Add(maxMissedHeartbeats * m.heartbeatInterval())) }
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
				return fmt.Errorf("first frame has no instance name")
			}
			from = b.From
			m.add(from, true)
			m.redial(from.Name)
		}
		m.handler.Received(from, b)
	}
}
