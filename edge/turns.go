package edge

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/chestnutstream/chestnutstream/ingress"
	"github.com/chestnutstream/chestnutstream/instance"
	"github.com/chestnutstream/chestnutstream/loader"
)

// Times of asking for turns.
const (
	turnSilence = 60 * time.Millisecond // an owner answers an ask at once; after that the prompt is sent without a turn
	noTurnPause = time.Second           // after an owner was silent, until it is asked again
	turnShare   = 0.6                   // of the latency target that a request waits for its second engine; for its first: fleet's limit
	turnLimits  = 2                     // engines that are asked with a limit; the next one is waited for as long as is of use
)

// turnWait is a request that waits for its turn.
type turnWait struct {
	server string
	owner  string
	ch     chan instance.Turn
}

// paced reports whether prompts for a service are sent by turns. Callers hold mu.
func (n *Node) paced(service string) bool { return n.fleet.Paced(n.now(), service) }

// turnLimit returns how long a request waits for its turn at an engine, after so
// many engines have refused it.
func turnLimit(p ingress.Placement, refused int, now time.Time) time.Duration {
	left := p.Until.Sub(now)
	if p.Until.IsZero() {
		left = loadSilence
	}
	switch {
	case refused >= turnLimits || p.Latency <= 0:
		return left
	case refused == 0:
		return min(request(p, 0).WaitLimit(), left)
	}
	return min(time.Duration(turnShare*float64(p.Latency)), left)
}

// takeTurn waits until a prompt may be sent to an engine. It returns false, and
// how long the wait would be, when that is over limit. Without a word of the
// engine's owner the prompt may be sent at once.
func (n *Node) takeTurn(ctx context.Context, server string, p ingress.Placement, limit time.Duration) (ok bool, wait time.Duration) {
	n.mu.Lock()
	now := n.now()
	s, owner := n.fleet.Server(server), n.ownerOf(server)
	if s == nil || owner == "" || !s.GivesTurns(now) {
		n.mu.Unlock()
		return true, 0
	}
	until := limit
	if !p.Until.IsZero() {
		until = p.Until.Sub(now)
	}
	n.turnID++
	id := n.turnID
	w := &turnWait{server: server, owner: owner, ch: make(chan instance.Turn, 2)}
	n.turnWaits[id] = w
	ask := instance.Ask{
		Server: server, ID: id, Target: p.Target, Tokens: max(p.Prompt.Tokens, 1), Priority: p.Priority,
		FreshMS: (p.Latency - now.Sub(p.Began)).Milliseconds(), UntilMS: until.Milliseconds(), LimitMS: limit.Milliseconds(),
	}
	sent := n.sendAsk(owner, ask)
	n.mu.Unlock()
	defer n.forgetTurn(id)
	if !sent {
		return true, 0
	}
	silent := time.NewTimer(turnSilence)
	defer silent.Stop()
	for {
		select {
		case t := <-w.ch:
			switch t.State {
			case instance.TurnNow:
				return true, time.Duration(t.WaitMS) * time.Millisecond
			case instance.TurnNever:
				return false, time.Duration(t.WaitMS) * time.Millisecond
			}
			silent.Stop()
		case <-ctx.Done():
			n.mu.Lock()
			ask.Tokens = 0
			n.sendAsk(owner, ask)
			n.mu.Unlock()
			return false, leastRetry
		case <-silent.C:
			n.mu.Lock()
			n.fleet.NoTurns(server, n.now().Add(noTurnPause))
			n.mu.Unlock()
			n.log.WithFields(log.Fields{"request-id": p.RequestID, "server": server, "owner": owner}).Warn("owner silent, prompt sent without a turn")
			return true, 0
		}
	}
}

func (n *Node) forgetTurn(id uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.turnWaits, id)
}

// sendAsk sends an ask to the owner of an engine, which may be this instance.
// Callers hold mu.
func (n *Node) sendAsk(owner string, a instance.Ask) bool {
	if owner == n.cfg.Instance {
		n.asked(n.boot(), owner, a)
		return true
	}
	return n.mesh.Send(owner, func(b *instance.Bundle) { b.Asks = append(b.Asks, a) })
}

// asked answers an ask for a turn at an engine that this instance owns. At one
// that it does not own, nothing is to be waited for. Callers hold mu.
func (n *Node) asked(boot time.Duration, from string, a instance.Ask) {
	e := n.loaders[a.Server]
	switch {
	case e == nil && a.Tokens > 0:
		n.tellTurn(from, instance.Turn{Server: a.Server, ID: a.ID, State: instance.TurnNow})
		return
	case e == nil:
		return
	case a.Tokens <= 0:
		e.DropAsk(from, a.ID)
		return
	}
	ms := func(v int64) time.Duration { return time.Duration(v) * time.Millisecond }
	e.SetPace(n.pace(e.Server.Service))
	for _, t := range e.AskTurn(boot, loader.Ask{
		From: from, ID: a.ID, Target: a.Target, Tokens: a.Tokens, Priority: a.Priority,
		Fresh: boot + ms(a.FreshMS), Until: boot + ms(a.UntilMS), Limit: ms(a.LimitMS),
	}) {
		n.tell(a.Server, t)
	}
	if e.TurnsWaiting() > 0 {
		n.poke()
	}
}

// pace returns how fast the engines of a service may be sent prompts. Callers
// hold mu.
func (n *Node) pace(service string) loader.Pace {
	t := n.table.Load()
	if t == nil {
		return loader.Pace{}
	}
	return loader.Pace{Window: t.ShortestGap(service), Rate: n.fleet.ReadRate(service), Share: n.fleet.ReadShare(service)}
}

// turnStates are the words for what a loader says of a turn.
var turnStates = map[loader.ActionKind]instance.TurnState{
	loader.TellTurn: instance.TurnNow, loader.TellTurnLater: instance.TurnLater, loader.TellNoTurn: instance.TurnNever,
}

// tellTurn answers an ask. Callers hold mu.
func (n *Node) tellTurn(to string, t instance.Turn) {
	if to == n.cfg.Instance {
		n.turnTold(t)
		return
	}
	n.mesh.Send(to, func(b *instance.Bundle) { b.Turns = append(b.Turns, t) })
}

// turnTold takes an owner's answer to an ask. Callers hold mu.
func (n *Node) turnTold(t instance.Turn) {
	w := n.turnWaits[t.ID]
	if w == nil || w.server != t.Server {
		return
	}
	select {
	case w.ch <- t:
	default:
	}
}

// endTurns ends the waits for turns that match: the engine has gone, or its owner,
// which then holds nothing up. Callers hold mu.
func (n *Node) endTurns(state instance.TurnState, match func(w *turnWait) bool) {
	for id, w := range n.turnWaits {
		if match(w) {
			n.turnTold(instance.Turn{Server: w.server, ID: id, State: state})
		}
	}
}

// Streamed implements ingress.Dispatcher. When streams pause for longer than
// their routes allow, prompts for their engines are sent by turns, by all
// instances.
func (n *Node) Streamed(p ingress.Placed, pause time.Duration) {
	service := p.Server.Service
	n.mu.Lock()
	t := n.table.Load()
	began := t != nil && n.fleet.Streamed(n.now(), p.Server.ID, pause, t.ShortestGap(service))
	n.mu.Unlock()
	if !began {
		return
	}
	n.log.WithFields(log.Fields{"service": service, "pause-ms": pause.Milliseconds()}).Info("streams pause for too long, prompts are sent by turns")
	n.mesh.Broadcast(func(b *instance.Bundle) { b.Paced = append(b.Paced, service) })
}
