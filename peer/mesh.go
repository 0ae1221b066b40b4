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
)

// Settings of a mesh.
type Settings struct {
	Self            Member
	Incarnation     uint64 // of this run, never 0
	Secret          string // shared by all instances
	PromiseValidity time.Duration
	Interval        time.Duration // between States to one peer, at least
	IntervalPerPeer time.Duration // and this much for each peer, so that the sum stays the same
	Timer           chestnutstream.Timer
	Dial            chestnutstream.DialFunc // may be nil
	Log             log.Interface
}

// Times and sizes of the protocol.
const (
	DefaultInterval        = 500 * time.Millisecond
	DefaultIntervalPerPeer = 30 * time.Millisecond
	writeTimeout           = time.Second
	dialTimeout            = time.Second
	stallIntervals         = 4       // a link without acknowledgements for so many intervals is dialled anew
	minSendGap             = 4e6     // nanoseconds between two States on a link
	maxFrame               = 8 << 20 // bytes
	sendTimesKept          = 256
	tickPeriod             = 50 * time.Millisecond
)

// Node is the instance behind a mesh.
type Node interface {
	// BuildState returns what the peer has to be told; reports that changed
	// after the version are included.
	BuildState(peer string, after uint64) State
	// StateHeard takes a peer's State.
	StateHeard(h Heard)
	// AnswerConfiguration returns the configuration in force without the
	// contents that the asker has.
	AnswerConfiguration(w ConfigurationWanted) (ConfigurationTold, bool)
	// ConfigurationTold takes a peer's answer.
	ConfigurationTold(m ConfigurationTold)
	// MembersHeard takes the members that a peer knows.
	MembersHeard(members []Member)
	// Members returns the members that this instance knows.
	Members() []Member
}

// Mesh keeps the links to the peers.
type Mesh struct {
	cfg      Settings
	node     Node
	upgrader websocket.Upgrader
	stop     func()
	ctx      context.Context
	cancel   context.CancelFunc
	seq      atomic.Uint64 // of the newest State, over all links
	sent     atomic.Int64  // bytes
	received atomic.Int64  // bytes

	mu    sync.Mutex
	links map[string]*link
	conns map[*websocket.Conn]struct{} // accepted
}

// link is the state of the exchange with one peer.
type link struct {
	member Member
	wake   chan struct{}
	cancel context.CancelFunc

	mu          sync.Mutex
	out         []any // configuration messages to send
	seq         uint64
	sentAt      map[uint64]time.Time
	sentOrder   []uint64
	acked       uint64
	ackedAt     time.Time
	incarnation uint64 // of the peer
	heardSeq    uint64
	heardAt     time.Time
	nextAt      time.Time // of the next State by interval
}

// NewMesh returns a mesh without peers.
func NewMesh(cfg Settings, node Node) *Mesh {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Mesh{
		cfg: cfg, node: node, ctx: ctx, cancel: cancel,
		links: map[string]*link{}, conns: map[*websocket.Conn]struct{}{},
		upgrader: websocket.Upgrader{HandshakeTimeout: dialTimeout},
	}
	m.stop = cfg.Timer.Subscribe(tickPeriod, m.tick)
	return m
}

// Close ends all links.
func (m *Mesh) Close() {
	m.stop()
	m.cancel()
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.conns {
		_ = c.Close()
	}
}

// Bytes returns the bytes of frames sent and received so far.
func (m *Mesh) Bytes() (sent, received int64) { return m.sent.Load(), m.received.Load() }

// Add starts a link to a peer, or moves it to a new address.
func (m *Mesh) Add(member Member) {
	if member.Name == m.cfg.Self.Name || member.Address == "" {
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
	m.start(member)
}

// SeedName returns the name under which a peer stands of which only the address
// is known.
func SeedName(address string) string { return "seed-" + address }

// start begins a link. Callers hold mu.
func (m *Mesh) start(member Member) *link {
	ctx, cancel := context.WithCancel(m.ctx)
	l := &link{member: member, wake: make(chan struct{}, 1), cancel: cancel, sentAt: map[uint64]time.Time{}}
	m.links[member.Name] = l
	go m.run(ctx, l)
	return l
}

// Remove ends the link to a peer that is gone.
func (m *Mesh) Remove(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.links[name]; l != nil {
		l.cancel()
		delete(m.links, name)
	}
}

// Peers returns when each linked peer was last heard.
func (m *Mesh) Peers() map[string]time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]time.Time, len(m.links))
	for name, l := range m.links {
		l.mu.Lock()
		out[name] = l.heardAt
		l.mu.Unlock()
	}
	return out
}

// Interval returns the time between States to one peer.
func (m *Mesh) Interval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(m.cfg.Interval, time.Duration(len(m.links))*m.cfg.IntervalPerPeer)
}

// Notify sends a State to a peer soon.
func (m *Mesh) Notify(name string) {
	if l := m.link(name); l != nil {
		l.poke()
	}
}

// NotifyAll sends a State to all peers soon.
func (m *Mesh) NotifyAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		l.poke()
	}
}

// Send sends a configuration message to a peer.
func (m *Mesh) Send(name string, message any) {
	l := m.link(name)
	if l == nil {
		return
	}
	l.mu.Lock()
	l.out = append(l.out, message)
	l.mu.Unlock()
	l.poke()
}

func (m *Mesh) link(name string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[name]
}

func (l *link) poke() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// tick wakes the links whose interval has passed.
func (m *Mesh) tick(now time.Time) {
	interval := m.Interval()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		l.mu.Lock()
		if !now.Before(l.nextAt) {
			l.nextAt = now.Add(interval)
			l.poke()
		}
		l.mu.Unlock()
	}
}

// run dials a peer again and again and sends it States.
func (m *Mesh) run(ctx context.Context, l *link) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = 50 * time.Millisecond
	wait.MaxInterval = 2 * time.Second
	for ctx.Err() == nil {
		started := m.cfg.Timer.Now()
		err := m.connect(ctx, l)
		if ctx.Err() != nil {
			return
		}
		m.cfg.Log.WithField("peer", l.member.Name).WithError(err).Debug("peer link ended")
		if m.cfg.Timer.Now().Sub(started) > wait.MaxInterval {
			wait.Reset()
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait.NextBackOff()):
		}
	}
}

// connect opens one connection and sends on it until it fails or stalls.
func (m *Mesh) connect(ctx context.Context, l *link) error {
	dialer := websocket.Dialer{HandshakeTimeout: dialTimeout, NetDialContext: m.cfg.Dial}
	header := http.Header{"Authorization": {token(m.cfg.Secret, m.cfg.Self.Name, time.Now())}}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, resp, err := dialer.DialContext(dialCtx, "ws://"+l.member.Address+Path, header)
	cancel()
	if err != nil {
		if resp != nil {
			return fmt.Errorf("dial %s: %s: %w", l.member.Name, resp.Status, err)
		}
		return fmt.Errorf("dial %s: %w", l.member.Name, err)
	}
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

func (m *Mesh) sendStates(ctx context.Context, l *link, conn *websocket.Conn, closed <-chan struct{}) error {
	sentVersion := uint64(0)
	l.mu.Lock()
	l.ackedAt = m.cfg.Timer.Now()
	l.mu.Unlock()
	for {
		state := m.node.BuildState(l.member.Name, sentVersion)
		messages := l.stamp(&state, m.seq.Add(1), m.cfg.Timer.Now())
		if err := m.write(conn, state); err != nil {
			return err
		}
		sentVersion = state.Version
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
		case <-time.After(minSendGap):
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-closed:
			return fmt.Errorf("link to %s: closed by the peer", l.member.Name)
		case <-l.wake:
		}
		if l.stalled(m.cfg.Timer.Now(), stallIntervals*m.Interval()) {
			return fmt.Errorf("link to %s: no acknowledgement", l.member.Name)
		}
	}
}

// stamp gives a State its sequence number and acknowledgement, and takes the
// configuration messages that wait.
func (l *link) stamp(s *State, seq uint64, now time.Time) []any {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq = seq
	if s.AckIncarnation != l.incarnation {
		s.Applied = 0 // it counts the reports of another run of the peer
	}
	s.Seq, s.AckSeq, s.AckIncarnation = l.seq, l.heardSeq, l.incarnation
	l.sentAt[l.seq] = now
	l.sentOrder = append(l.sentOrder, l.seq)
	if len(l.sentOrder) > sendTimesKept {
		delete(l.sentAt, l.sentOrder[0])
		l.sentOrder = l.sentOrder[1:]
	}
	out := l.out
	l.out = nil
	return out
}

// stalled reports whether the peer has acknowledged nothing for a while, on a
// connection that seems to stand. The peer may be cut off; a new connection
// tells.
func (l *link) stalled(now time.Time, limit time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.acked < l.seq && now.Sub(l.ackedAt) > limit
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
	m.sent.Add(int64(len(frame)))
	return nil
}

// ServeHTTP accepts the connection of a peer.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name, err := checkToken(m.cfg.Secret, r.Header.Get("Authorization"), time.Now())
	if err != nil {
		m.cfg.Log.WithError(err).WithField("remote", r.RemoteAddr).Warn("peer refused")
		http.Error(w, "not a peer", http.StatusUnauthorized)
		return
	}
	conn, err := m.upgrader.Upgrade(w, r, nil)
	if err != nil {
		return // the upgrader has answered
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
	if err := m.receive(name, conn); err != nil {
		m.cfg.Log.WithError(err).WithField("peer", name).Debug("peer connection ended")
	}
}

// receive takes the messages of one accepted connection.
func (m *Mesh) receive(name string, conn *websocket.Conn) error {
	var hello *Hello
	for {
		// A connection that brings nothing for long has gone silent; the peer
		// dials a new one.
		if err := conn.SetReadDeadline(time.Now().Add(4 * stallIntervals * m.Interval())); err != nil {
			return fmt.Errorf("set read deadline: %w", err)
		}
		_, frame, err := conn.ReadMessage()
		if err != nil {
			return fmt.Errorf("read frame: %w", err)
		}
		m.received.Add(int64(len(frame)))
		message, err := Decode(frame)
		if err != nil {
			return err
		}
		if h, ok := message.(Hello); ok {
			if h.From.Name != name || h.Incarnation == 0 {
				return fmt.Errorf("hello of %q on a connection of %q: %w", h.From.Name, name, errUnknownMessage)
			}
			hello = &h
			m.Add(h.From)
			m.node.MembersHeard(h.Members)
			continue
		}
		if hello == nil {
			return fmt.Errorf("%T before hello: %w", message, errUnknownMessage)
		}
		m.take(*hello, message)
	}
}

func (m *Mesh) take(hello Hello, message any) {
	switch msg := message.(type) {
	case State:
		if h, ok := m.heard(hello, msg); ok {
			m.node.StateHeard(h)
		}
	case ConfigurationWanted:
		if told, ok := m.node.AnswerConfiguration(msg); ok {
			m.Send(hello.From.Name, told)
		}
	case ConfigurationTold:
		m.node.ConfigurationTold(msg)
	}
}

// heard drops a State that came late, on an older connection, and works out the
// promise that it carries.
func (m *Mesh) heard(hello Hello, s State) (Heard, bool) {
	l := m.link(hello.From.Name)
	if l == nil {
		return Heard{}, false
	}
	now := m.cfg.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if hello.Incarnation != l.incarnation {
		l.incarnation, l.heardSeq = hello.Incarnation, 0
	}
	if s.Seq <= l.heardSeq {
		return Heard{}, false
	}
	l.heardSeq, l.heardAt = s.Seq, now
	h := Heard{From: hello.From, Incarnation: hello.Incarnation, At: now, State: s}
	if s.AckIncarnation != m.cfg.Incarnation {
		h.State.Applied = 0
		return h, true
	}
	if s.AckSeq > l.acked {
		l.acked, l.ackedAt = s.AckSeq, now
	}
	if sent, ok := l.sentAt[s.AckSeq]; ok {
		h.PromisedUntil = sent.Add(m.cfg.PromiseValidity)
	}
	return h, true
}
