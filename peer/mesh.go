package peer

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"
	"github.com/gorilla/websocket"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/tcp"
)

// Settings are the settings of a mesh.
type Settings struct {
	Self                Member
	Incarnation         uint64        // of this process, never 0
	Secret              string        // shared by all instances
	ReportLeaseDuration time.Duration // validity of a report lease, counted from the acknowledged message
	Interval            time.Duration // minimum time between periodic States to one peer
	IntervalPerPeer     time.Duration // the interval is at least this times the number of linked peers, which bounds the total send rate
	Timer               chestnutstream.Timer
	Dial                chestnutstream.DialFunc // may be nil
	Log                 log.Interface
}

// Times and limits of the protocol.
const (
	DefaultInterval        = 500 * time.Millisecond
	DefaultIntervalPerPeer = 30 * time.Millisecond
	writeTimeout           = time.Second
	dialTimeout            = time.Second
	ackTimeoutIntervals    = 4        // a link without acknowledgements for this many intervals is dialed again
	minSendGapNanos        = 4e6      // minimum time between two States on a link
	maxHandshakeBytes      = 16 << 10 // of a response to a handshake
	maxFrameBytes          = 8 << 20
	maxSendTimes           = 256 // send times that a link keeps to compute report leases
	tickPeriod             = 50 * time.Millisecond
)

// Node is the instance that uses a mesh.
type Node interface {
	// BuildState returns the State for a peer, with the reports that changed
	// after the report version.
	BuildState(peer string, after uint64) State
	// HandleState processes a peer's State.
	HandleState(received ReceivedState)
	// BuildConfigurationUpdate returns the active configuration without the
	// contents that the requester has, or false if there is none.
	BuildConfigurationUpdate(r ConfigurationRequest) (ConfigurationUpdate, bool)
	// HandleConfigurationUpdate processes a peer's configuration.
	HandleConfigurationUpdate(update ConfigurationUpdate)
	// HandleMembers processes the members that a peer knows.
	HandleMembers(members []Member)
	// Members returns the members that this instance knows.
	Members() []Member
}

// Mesh maintains the links to the peers.
type Mesh struct {
	cfg           Settings
	node          Node
	upgrader      websocket.Upgrader
	unsubscribe   func()
	ctx           context.Context
	cancel        context.CancelFunc
	lastSeq       atomic.Uint64 // of the latest State, over all links
	bytesSent     atomic.Int64  // of frames
	bytesReceived atomic.Int64  // of frames

	mu    sync.Mutex
	links map[string]*link
	conns map[*websocket.Conn]struct{} // accepted connections
}

// link is the state of the exchange with one peer.
type link struct {
	member Member
	wake   chan struct{}
	cancel context.CancelFunc

	mu          sync.Mutex
	outbox      []any // queued configuration messages
	sentSeq     uint64
	sentAt      map[uint64]time.Time
	sentOrder   []uint64
	ackedSeq    uint64
	ackedAt     time.Time
	incarnation uint64 // of the peer
	receivedSeq uint64
	receivedAt  time.Time
	nextSendAt  time.Time // time of the next periodic State
}

// NewMesh returns a mesh without peers.
func NewMesh(cfg Settings, node Node) *Mesh {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Mesh{
		cfg: cfg, node: node, ctx: ctx, cancel: cancel,
		links: map[string]*link{}, conns: map[*websocket.Conn]struct{}{},
		upgrader: websocket.Upgrader{HandshakeTimeout: dialTimeout},
	}
	m.unsubscribe = cfg.Timer.Subscribe(tickPeriod, m.tick)
	return m
}

// Close ends all links.
func (m *Mesh) Close() {
	m.unsubscribe()
	m.cancel()
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.conns {
		_ = c.Close()
	}
}

// Bytes returns the total bytes of frames sent and received.
func (m *Mesh) Bytes() (sent, received int64) { return m.bytesSent.Load(), m.bytesReceived.Load() }

// Add starts a link to a peer. The same instance name at another address is another peer.
func (m *Mesh) Add(member Member) {
	if member.Name == m.cfg.Self.Name || member.Address == "" || member.Address == m.cfg.Self.Address {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if seed := m.links[SeedName(member.Address)]; seed != nil && member.Name != SeedName(member.Address) {
		seed.cancel()
		delete(m.links, SeedName(member.Address))
	}
	l := m.links[member.Name]
	if l != nil && l.member.Address == member.Address {
		return
	}
	if l != nil {
		l.cancel()
	}
	m.startLink(member)
}

// SeedName returns the placeholder name of a peer of which only the address is
// known.
func SeedName(address string) string { return "seed-" + address }

// startLink starts a link to a peer. The caller must hold mu.
func (m *Mesh) startLink(member Member) *link {
	ctx, cancel := context.WithCancel(m.ctx)
	l := &link{member: member, wake: make(chan struct{}, 1), cancel: cancel, sentAt: map[uint64]time.Time{}}
	m.links[member.Name] = l
	go m.runLink(ctx, l)
	return l
}

// Remove closes the link to a peer.
func (m *Mesh) Remove(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.links[name]; l != nil {
		l.cancel()
		delete(m.links, name)
	}
}

// Peers returns the arrival time of the last State of each linked peer.
func (m *Mesh) Peers() map[string]time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]time.Time, len(m.links))
	for name, l := range m.links {
		l.mu.Lock()
		out[name] = l.receivedAt
		l.mu.Unlock()
	}
	return out
}

// Interval returns the time between periodic States to one peer.
func (m *Mesh) Interval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(m.cfg.Interval, time.Duration(len(m.links))*m.cfg.IntervalPerPeer)
}

// Notify triggers a State to a peer.
func (m *Mesh) Notify(name string) {
	if l := m.link(name); l != nil {
		l.signal()
	}
}

// NotifyAll triggers a State to all peers.
func (m *Mesh) NotifyAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		l.signal()
	}
}

// Send queues a configuration message to a peer. It is sent after the next State,
// which Send triggers.
func (m *Mesh) Send(name string, message any) {
	l := m.link(name)
	if l == nil {
		return
	}
	l.mu.Lock()
	l.outbox = append(l.outbox, message)
	l.mu.Unlock()
	l.signal()
}

func (m *Mesh) link(name string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[name]
}

// signal triggers a State on the link.
func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// tick triggers a State on the links whose interval has passed.
func (m *Mesh) tick(now time.Time) {
	interval := m.Interval()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		l.mu.Lock()
		if !now.Before(l.nextSendAt) {
			l.nextSendAt = now.Add(interval)
			l.signal()
		}
		l.mu.Unlock()
	}
}

// runLink keeps a link connected, with exponential backoff, until ctx ends.
func (m *Mesh) runLink(ctx context.Context, l *link) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = 50 * time.Millisecond
	delay.MaxInterval = 2 * time.Second
	for ctx.Err() == nil {
		dialedAt := m.cfg.Timer.Now()
		err := m.connect(ctx, l)
		if ctx.Err() != nil {
			return
		}
		m.cfg.Log.WithField("peer", l.member.Name).WithError(err).Debug("link to peer failed; redialing")
		if m.cfg.Timer.Now().Sub(dialedAt) > delay.MaxInterval {
			delay.Reset()
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay.NextBackOff()):
		}
	}
}

// connect opens one connection and sends on it until it fails or stalls.
func (m *Mesh) connect(ctx context.Context, l *link) error {
	dial, handshakeComplete := tcp.LimitHandshake(m.cfg.Dial, maxHandshakeBytes)
	dialer := websocket.Dialer{HandshakeTimeout: dialTimeout, NetDialContext: dial}
	header := http.Header{"Authorization": {signToken(m.cfg.Secret, chestnutstream.InstanceName(m.cfg.Self.Name), time.Now())}}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, resp, err := dialer.DialContext(dialCtx, "ws://"+l.member.Address+Path, header)
	cancel()
	if err != nil {
		if resp != nil {
			return fmt.Errorf("dial %s: %s: %w", l.member.Name, resp.Status, err)
		}
		return fmt.Errorf("dial %s: %w", l.member.Name, err)
	}
	handshakeComplete()
	defer conn.Close()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		for {
			if _, _, err := conn.NextReader(); err != nil {
				return
			}
		}
	}()
	hello := Hello{From: m.cfg.Self, Incarnation: m.cfg.Incarnation, Members: m.node.Members()}
	if err := m.write(conn, hello); err != nil {
		return err
	}
	return m.sendStates(ctx, l, conn, closed)
}

// sendStates sends a State at once and whenever the link is signaled, until the
// connection fails or stalls.
func (m *Mesh) sendStates(ctx context.Context, l *link, conn *websocket.Conn, closed <-chan struct{}) error {
	lastVersion := uint64(0)
	l.mu.Lock()
	l.ackedAt = m.cfg.Timer.Now()
	l.mu.Unlock()
	for {
		state := m.node.BuildState(l.member.Name, lastVersion)
		messages := l.prepare(&state, m.lastSeq.Add(1), m.cfg.Timer.Now())
		if err := m.write(conn, state); err != nil {
			return err
		}
		lastVersion = state.Version
		for _, message := range messages {
			if err := m.write(conn, message); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-closed:
			return fmt.Errorf("link to %s: closed by the peer", l.member.Name)
		case <-time.After(minSendGapNanos):
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-closed:
			return fmt.Errorf("link to %s: closed by the peer", l.member.Name)
		case <-l.wake:
		}
		if l.stalled(m.cfg.Timer.Now(), ackTimeoutIntervals*m.Interval()) {
			return fmt.Errorf("link to %s: no acknowledgement", l.member.Name)
		}
	}
}

// prepare sets the sequence number and acknowledgement of a State, and returns
// the queued configuration messages.
func (l *link) prepare(s *State, seq uint64, now time.Time) []any {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sentSeq = seq
	if s.AckIncarnation != l.incarnation {
		s.Applied = 0 // it refers to reports of another incarnation of the peer
	}
	s.Seq, s.AckSeq, s.AckIncarnation = l.sentSeq, l.receivedSeq, l.incarnation
	l.sentAt[l.sentSeq] = now
	l.sentOrder = append(l.sentOrder, l.sentSeq)
	if len(l.sentOrder) > maxSendTimes {
		delete(l.sentAt, l.sentOrder[0])
		l.sentOrder = l.sentOrder[1:]
	}
	queued := l.outbox
	l.outbox = nil
	return queued
}

// stalled reports whether the peer has acknowledged nothing within the limit. The
// connection appears open, but the peer may be unreachable; redialing detects it.
func (l *link) stalled(now time.Time, limit time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ackedSeq < l.sentSeq && now.Sub(l.ackedAt) > limit
}

func (m *Mesh) write(conn *websocket.Conn, message any) error {
	frame, err := Encode(message)
	if err != nil {
		return err
	}
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("set write deadline: %w", err)
	}
	if err := conn.WriteMessage(websocket.BinaryMessage, frame); err != nil {
		return fmt.Errorf("write %T: %w", message, err)
	}
	m.bytesSent.Add(int64(len(frame)))
	return nil
}

// ServeHTTP accepts the connection of a peer.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name, err := verifyToken(m.cfg.Secret, r.Header.Get("Authorization"), time.Now())
	if err != nil {
		m.cfg.Log.WithError(err).WithField("remote", r.RemoteAddr).Warn("peer authentication failed")
		http.Error(w, "not a peer", http.StatusUnauthorized)
		return
	}
	conn, err := m.upgrader.Upgrade(w, r, nil)
	if err != nil {
		return // the upgrader has sent an error response
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
	if err := m.readMessages(name, conn); err != nil {
		m.cfg.Log.WithError(err).WithField("peer", name).Debug("peer connection ended")
	}
}

// readMessages processes the messages of one accepted connection.
func (m *Mesh) readMessages(name string, conn *websocket.Conn) error {
	var hello *Hello
	for {
		// Close a connection that delivers nothing: it may be dead without an
		// error. The peer dials a new one.
		if err := conn.SetReadDeadline(time.Now().Add(4 * ackTimeoutIntervals * m.Interval())); err != nil {
			return fmt.Errorf("set read deadline: %w", err)
		}
		_, frame, err := conn.ReadMessage()
		if err != nil {
			return fmt.Errorf("read frame: %w", err)
		}
		m.bytesReceived.Add(int64(len(frame)))
		message, err := Decode(frame)
		if err != nil {
			return err
		}
		if h, ok := message.(Hello); ok {
			if chestnutstream.InstanceName(h.From.Name) != name || h.Incarnation == 0 {
				return fmt.Errorf("hello names %q on a connection of %q: %w", h.From.Name, name, errInvalidMessage)
			}
			hello = &h
			m.Add(h.From)
			m.node.HandleMembers(h.Members)
			continue
		}
		if hello == nil {
			return fmt.Errorf("%T before hello: %w", message, errInvalidMessage)
		}
		m.handleMessage(*hello, message)
	}
}

// handleMessage processes a message that follows the Hello.
func (m *Mesh) handleMessage(hello Hello, message any) {
	switch msg := message.(type) {
	case State:
		if received, ok := m.receiveState(hello, msg); ok {
			m.node.HandleState(received)
		}
	case ConfigurationRequest:
		if update, ok := m.node.BuildConfigurationUpdate(msg); ok {
			m.Send(hello.From.Name, update)
		}
	case ConfigurationUpdate:
		m.node.HandleConfigurationUpdate(msg)
	}
}

// receiveState records the arrival of a State and computes its report lease. It
// returns false for a State that is outdated, such as one that arrives late on
// an older connection.
func (m *Mesh) receiveState(hello Hello, s State) (ReceivedState, bool) {
	l := m.link(hello.From.Name)
	if l == nil {
		return ReceivedState{}, false
	}
	now := m.cfg.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if hello.Incarnation != l.incarnation {
		l.incarnation, l.receivedSeq = hello.Incarnation, 0
	}
	if s.Seq <= l.receivedSeq {
		return ReceivedState{}, false
	}
	l.receivedSeq, l.receivedAt = s.Seq, now
	received := ReceivedState{From: hello.From, Incarnation: hello.Incarnation, ReceivedAt: now, State: s}
	if s.AckIncarnation != m.cfg.Incarnation {
		received.State.Applied = 0
		return received, true
	}
	if s.AckSeq > l.ackedSeq {
		l.ackedSeq, l.ackedAt = s.AckSeq, now
	}
	if sentAt, ok := l.sentAt[s.AckSeq]; ok {
		received.ReportLeaseUntil = sentAt.Add(m.cfg.ReportLeaseDuration)
	}
	return received, true
}
