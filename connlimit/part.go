package connlimit

import (
	"sync/atomic"
	"time"
)

// Phase is what a connection does.
type Phase string

// The phases. A connection whose phase is PhaseRequest or PhaseEstablished is never closed
// for others.
const (
	PhaseHead        Phase = "head"        // the head of a request is awaited: of the first one, or one that has begun
	PhaseBody        Phase = "body"        // the head is complete, the body is not
	PhaseRequest     Phase = "request"     // a whole request is in progress
	PhaseResponse    Phase = "response"    // the request has been handled, the end of the response is not yet sent
	PhaseIdle        Phase = "idle"        // between two requests
	PhaseUpgraded    Phase = "upgraded"    // taken over by another protocol, nothing received since
	PhaseEstablished Phase = "established" // the same, and something has been received
	PhaseClosed      Phase = "closed"
)

// Reason is why a connection was closed or refused.
type Reason string

// The reasons.
const (
	ReasonNoRoom        Reason = "no-room"        // refused: all others have a request in progress
	ReasonNoRequest     Reason = "no-request"     // has not sent the head of a request for longest
	ReasonSlowBody      Reason = "slow-body"      // has sent the body of a request slowest
	ReasonIdle          Reason = "idle"           // between requests for longest
	ReasonUnread        Reason = "unread"         // its client does not read the response
	ReasonSilent        Reason = "silent-upgrade" // of another protocol, without a message
	ReasonHeadMemory    Reason = "head-memory"    // incomplete heads need too much memory
	ReasonRequestMemory Reason = "request-memory" // heads of requests whose bodies are incomplete do
	ReasonHeadTooLarge  Reason = "head-too-large" // status 431
	ReasonHeadTooLate   Reason = "head-too-late"  // the head was not complete in time
)

// Memory that the head of a request takes. A head of many short lines takes ten to sixteen
// times its bytes, since each header is an entry of a map with a slice and two strings.
const (
	costPerByte  = 4
	costPerLine  = 100
	uncounted    = 16 << 10 // cost up to which a complete head does not count while its request is in progress
	readAhead    = 4 << 10  // that the HTTP server may read beyond the end of a head
	minBodyBytes = 8 << 10  // of a body per second; a slower one is closed before others
	idleFactor   = 4        // a connection between requests has been ordinary so far, and is closed as late as one that has waited this much less for a head
	unreadTime   = time.Second
)

// Limits limit the connections of one listener.
type Limits struct {
	Connections   int
	HeadMemory    int64 // of incomplete heads
	RequestMemory int64 // of the heads of requests in progress, as far as they are large
}

// State is the state of one connection.
type State struct {
	Value any // of the caller
	phase Phase
	since time.Time // begin of the phase; of PhaseHead after PhaseIdle: the first byte
	begun time.Time // of PhaseHead: the first byte; zero: none received
	bytes int64     // of the head
	cost  int64     // estimated memory of the head
	index int       // in Part.conns
	body  atomic.Int64
}

// ReceiveBody records bytes of a body. It may be called while others use the Part.
func (c *State) ReceiveBody(n int) { c.body.Add(int64(n)) }

// Phase returns the connection's phase.
func (c *State) Phase() Phase { return c.phase }

// Since returns when the phase began.
func (c *State) Since() time.Time { return c.since }

// Closed is a connection that is to be closed, and why.
type Closed struct {
	State  *State
	Reason Reason
}

// Part is the part of the budget for connections that one listener has. It decides which
// connections are closed so that others have room. It is not safe for concurrent use.
//
// It handles clients that open connections or begin requests faster than they complete
// requests, in any number: the one that has been incomplete for longest is closed first, so
// an ordinary client, whose request follows its connection within a round trip, is closed
// only if the limits are used up anew within that time.
type Part struct {
	limits        Limits
	conns         []*State
	headMemory    int64
	requestMemory int64
}

// NewPart returns the part of a listener without connections.
func NewPart(limits Limits) *Part { return &Part{limits: limits} }

// Len returns the number of connections.
func (p *Part) Len() int { return len(p.conns) }

// Open adds a connection. If there is no room for it, it returns the one to be closed
// instead, or nil and false if there is none: then the new one is to be closed.
func (p *Part) Open(value any, now time.Time) (c *State, victim Closed, ok bool) {
	if len(p.conns) >= p.limits.Connections {
		victim = p.worst(func(o *State) (time.Duration, Reason) { return o.delay(now) })
		if victim.State == nil {
			return nil, Closed{}, false
		}
		p.Close(victim.State)
	}
	c = &State{Value: value, phase: PhaseHead, since: now, index: len(p.conns)}
	p.conns = append(p.conns, c)
	return c, victim, true
}

// Receive records bytes that were received from a connection, and the number of lines that
// end in them. It returns the connections to be closed; c may be among them. A head of more
// than maxHead bytes is too large.
func (p *Part) Receive(c *State, bytes, lines, maxHead int, now time.Time) []Closed {
	switch c.phase {
	case PhaseIdle:
		c.phase, c.since, c.begun, c.bytes = PhaseHead, now, now, 0
	case PhaseHead:
		if c.begun.IsZero() {
			c.begun = now
		}
	case PhaseUpgraded:
		c.phase = PhaseEstablished
		return nil
	default:
		return nil
	}
	c.bytes += int64(bytes)
	if c.bytes > int64(maxHead)+readAhead {
		return []Closed{{c, ReasonHeadTooLarge}}
	}
	cost := costPerByte*int64(bytes) + costPerLine*int64(lines)
	c.cost += cost
	p.headMemory += cost
	var out []Closed
	for p.headMemory > p.limits.HeadMemory {
		// A head that has arrived at once is not behind, however late it began.
		victim := p.worst(func(o *State) (time.Duration, Reason) {
			if o.phase != PhaseHead || o.cost == 0 {
				return 0, ""
			}
			return now.Sub(o.begun), ReasonHeadMemory
		})
		p.Close(victim.State)
		out = append(out, victim)
	}
	return out
}

// CompleteHead records that the head of a request is complete. It reports false if the
// request must not be handled: the connection was closed before, or, if refuse is set, its
// head does not fit beside those of other requests. Others are closed for it.
func (p *Part) CompleteHead(c *State, hasBody bool, now time.Time) (victims []Closed, refuse, ok bool) {
	if c.phase == PhaseClosed {
		return nil, false, false
	}
	if c.phase == PhaseHead {
		p.headMemory -= c.cost
	}
	if c.cost <= uncounted {
		c.cost = 0
	}
	p.requestMemory += c.cost
	c.phase, c.since, c.bytes = PhaseRequest, now, 0
	c.body.Store(0)
	for p.requestMemory > p.limits.RequestMemory && c.cost > 0 {
		victim := p.worst(func(o *State) (time.Duration, Reason) {
			if o.phase != PhaseBody && o.phase != PhaseResponse || o.cost == 0 {
				return 0, ""
			}
			delay, _ := o.delay(now)
			return delay, ReasonRequestMemory
		})
		if victim.State == nil {
			p.release(c) // the rejection drops the head
			return victims, true, false
		}
		p.Close(victim.State)
		victims = append(victims, victim)
	}
	if hasBody {
		c.phase = PhaseBody
	}
	return victims, false, true
}

// CompleteBody records that the body of a request is complete. It reports false if the
// connection was closed before: then the request must not be handled.
func (p *Part) CompleteBody(c *State) bool {
	if c.phase == PhaseBody {
		c.phase = PhaseRequest
	}
	return c.phase != PhaseClosed
}

// EndRequest records that a request has been handled. The end of its response may still
// have to be sent, and the rest of its body to be read; until then its head is kept.
func (p *Part) EndRequest(c *State, now time.Time) {
	if c.phase == PhaseRequest || c.phase == PhaseBody {
		c.phase, c.since = PhaseResponse, now
	}
}

// Idle records that a response was sent and the next request is awaited.
func (p *Part) Idle(c *State, now time.Time) {
	if c.phase != PhaseClosed {
		p.release(c)
		c.phase, c.since, c.bytes = PhaseIdle, now, 0
	}
}

// Upgrade records that another protocol has taken the connection over.
func (p *Part) Upgrade(c *State, now time.Time) {
	if c.phase != PhaseClosed {
		p.release(c)
		c.phase, c.since, c.bytes = PhaseUpgraded, now, 0
	}
}

// Close removes a connection.
func (p *Part) Close(c *State) {
	if c.phase == PhaseClosed {
		return
	}
	p.release(c)
	last := p.conns[len(p.conns)-1]
	p.conns[c.index], last.index = last, c.index
	p.conns[len(p.conns)-1] = nil
	p.conns = p.conns[:len(p.conns)-1]
	c.phase = PhaseClosed
}

// release returns the memory that the head of c counts for.
func (p *Part) release(c *State) {
	switch c.phase {
	case PhaseHead:
		p.headMemory -= c.cost
	case PhaseBody, PhaseRequest, PhaseResponse:
		p.requestMemory -= c.cost
	}
	c.cost = 0
}

// worst returns the connection that is furthest behind an ordinary client, if any may be
// closed. The function delay is as State.delay.
func (p *Part) worst(delay func(*State) (time.Duration, Reason)) Closed {
	var worst Closed
	var most time.Duration
	for _, c := range p.conns {
		d, reason := delay(c)
		if reason != "" && d >= 0 && (worst.State == nil || d > most) {
			worst, most = Closed{c, reason}, d
		}
	}
	return worst
}

// delay returns how far a connection is behind an ordinary client, and the reason for which
// it would be closed; none if it may not be closed. It is negative for a client that is not
// behind.
func (c *State) delay(now time.Time) (time.Duration, Reason) {
	took := now.Sub(c.since)
	switch c.phase {
	case PhaseHead:
		return took, ReasonNoRequest
	case PhaseBody:
		return took - time.Duration((c.body.Load()+readAhead)*int64(time.Second)/minBodyBytes), ReasonSlowBody
	case PhaseResponse:
		return took - unreadTime, ReasonUnread
	case PhaseIdle:
		return took / idleFactor, ReasonIdle
	case PhaseUpgraded:
		return took, ReasonSilent
	default:
		return 0, ""
	}
}
