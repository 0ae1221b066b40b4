package engine

import (
	"fmt"
	"sort"
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// promptQueues is the number of queues up to which the end of a request has all
// of them looked at at once; with more, the next tick does.
const promptQueues = 64

func (p *Placement) finished(now time.Time, e Finished) {
	r := p.running[e.ID]
	if r == nil {
		return
	}
	delete(p.running, e.ID)
	s := p.servers[r.server]
	if s == nil {
		return
	}
	delete(s.sent, e.ID)
	if s.uses[r.name]--; s.uses[r.name] <= 0 {
		delete(s.uses, r.name)
	}
	switch e.Failure {
	case NotLoaded:
		s.dead[r.name] = true
	case Unreachable:
		s.suspect = now.Add(p.cfg.SuspectFor)
	case WrongAdapter:
		p.quarantine[r.name] = true
	case Busy, NoFailure:
	}
}

// dispatch sends what can be sent, queue by queue in order of urgency, and
// renews what each queue wants.
func (p *Placement) dispatch(now time.Time) []Action {
	if len(p.queues) == 0 {
		return nil
	}
	var actions []Action
	r := &round{p: p, now: now}
	for _, q := range p.byUrgency(now) {
		actions = append(actions, p.dispatchQueue(now, q, r)...)
	}
	return actions
}

// round is one look at all servers, shared by the queues that are dispatched in
// it.
type round struct {
	p     *Placement
	now   time.Time
	loads map[string][]chestnutstream.ServerLoad // by base model, sorted by server
}

// all returns what is known of the servers of a base model, without regard to
// an adapter version.
func (r *round) all(base string) []chestnutstream.ServerLoad {
	if loads, ok := r.loads[base]; ok {
		return loads
	}
	loads := []chestnutstream.ServerLoad{}
	for _, s := range r.p.servers {
		if s.settings.BaseModel == base && r.p.mayUse(r.now, s) {
			loads = append(loads, r.p.load(r.now, s))
		}
	}
	sort.Slice(loads, func(i, j int) bool { return loads[i].Server < loads[j].Server })
	if r.loads == nil {
		r.loads = map[string][]chestnutstream.ServerLoad{}
	}
	r.loads[base] = loads
	return loads
}

// dispatched counts a request that was sent to a server in this round.
func (r *round) dispatched(base, server string) {
	loads := r.loads[base]
	if i := findLoad(loads, server); i >= 0 {
		loads[i].Outstanding++
	}
}

// findLoad returns the index of a server in loads that are sorted by server, or
// -1.
func findLoad(loads []chestnutstream.ServerLoad, server string) int {
	i := sort.Search(len(loads), func(i int) bool { return loads[i].Server >= server })
	if i == len(loads) || loads[i].Server != server {
		return -1
	}
	return i
}

// withAdapter calls f with all servers of the queue's base model, their state
// set for the queue's adapter version.
func (r *round) withAdapter(q *queue, f func(loads []chestnutstream.ServerLoad)) {
	loads := r.all(q.base)
	var set []int
	for _, s := range r.p.byAdapter[q.av] {
		i := findLoad(loads, s.settings.Name)
		if i < 0 {
			continue
		}
		r.p.setState(s, q.av, &loads[i])
		set = append(set, i)
	}
	f(loads)
	for _, i := range set {
		loads[i].State, loads[i].Usable = "", false
	}
}

// wantPeriod is the time between two looks at what a queue wants, and wantPerQueue what
// each queue adds to it: with many queues each is looked at less often.
const (
	wantPeriod   = 50 * time.Millisecond
	wantPerQueue = time.Millisecond
)

func (p *Placement) dispatchQueue(now time.Time, q *queue, r *round) []Action {
	var actions []Action
	if q.wantedAt.IsZero() {
		actions = append(actions, p.renewWants(now, q, r)...)
	}
	usable := p.usableServers(now, q)
	view := p.view(now, q)
	for i := 0; i < len(q.entries) && len(usable) > 0; {
		e := q.entries[i]
		may := p.mayRun(now, view, e, usable)
		at := -1
		if len(may) > 0 {
			e.noteArrived(now)
			at = p.policy.Choose(view, p.effective(now, e), may)
		}
		if at < 0 {
			i++
			if len(e.Avoid) == 0 {
				break // those behind it find no server either
			}
			continue
		}
		actions = append(actions, p.send(now, e, may[at]))
		r.dispatched(q.base, may[at].Server)
		for j := range usable {
			if usable[j].Server == may[at].Server {
				usable[j].Outstanding++
			}
		}
		p.remove(q, i)
	}
	period := max(wantPeriod, time.Duration(len(p.queues))*wantPerQueue)
	if len(q.entries) > 0 && now.Sub(q.wantedAt) >= period {
		actions = append(actions, p.renewWants(now, q, r)...)
	}
	return actions
}

// renewWants looks at what a queue wants loaded, and gives it up when no server
// is in sight.
func (p *Placement) renewWants(now time.Time, q *queue, r *round) []Action {
	var actions []Action
	r.withAdapter(q, func(loads []chestnutstream.ServerLoad) {
		before := q.wanted
		p.setWanted(q, p.policy.Want(p.view(now, q), loads))
		for _, name := range append(before, q.wanted...) {
			if i := findLoad(loads, name); i >= 0 {
				loads[i].Wanted = p.wanted[name]
			}
		}
		actions = p.giveUp(now, q, loads)
	})
	q.wantedAt = now
	return actions
}

func (p *Placement) setWanted(q *queue, servers []string) {
	for _, name := range q.wanted {
		if p.wanted[name]--; p.wanted[name] <= 0 {
			delete(p.wanted, name)
		}
	}
	q.wanted = servers
	for _, name := range servers {
		p.wanted[name]++
	}
}

// usableServers returns the servers that have the queue's adapter version ready
// and may be used now.
func (p *Placement) usableServers(now time.Time, q *queue) []chestnutstream.ServerLoad {
	var out []chestnutstream.ServerLoad
	for _, s := range p.byAdapter[q.av] {
		if s.settings.BaseModel != q.base || !p.mayUse(now, s) {
			continue
		}
		l := p.load(now, s)
		if p.setState(s, q.av, &l); l.Usable {
			out = append(out, l)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Server < out[j].Server })
	return out
}

// mayRun returns the usable servers on which a request may run.
func (p *Placement) mayRun(now time.Time, view chestnutstream.QueueView, e *queued, usable []chestnutstream.ServerLoad) []chestnutstream.ServerLoad {
	avoiding := now.Sub(e.since) < p.cfg.AvoidFor
	out := make([]chestnutstream.ServerLoad, 0, len(usable))
	for _, l := range usable {
		if !(avoiding && e.Avoid[l.Server]) && p.policy.Eligible(view, l) {
			out = append(out, l)
		}
	}
	return out
}

func (p *Placement) send(now time.Time, e *queued, to chestnutstream.ServerLoad) Dispatch {
	s := p.servers[to.Server]
	name, _ := p.readySlot(s, e.AdapterVersion)
	s.uses[name]++
	s.sent[e.ID] = now
	p.running[e.ID] = &runningRequest{to.Server, name}
	p.noteDrain(now)
	return Dispatch{
		ID: e.ID, Server: to.Server, Address: s.address, Name: name, Stall: e.stall(now),
		Reason: fmt.Sprintf("%s is loaded there; %d of %d places taken; waited %d ms", name, to.Outstanding, to.BatchLimit, now.Sub(e.since).Milliseconds()),
	}
}

// load returns what is known of a server, without regard to an adapter version.
func (p *Placement) load(now time.Time, s *placeServer) chestnutstream.ServerLoad {
	return chestnutstream.ServerLoad{
		Server: s.settings.Name, Zone: s.settings.Zone, Outstanding: p.outstanding(now, s),
		BatchLimit: s.report.BatchLimit, SlotLimit: s.report.SlotLimit,
		Idle: s.idle, Wanted: p.wanted[s.settings.Name],
		Loadable: p.promised(now, s) && now.Sub(p.heard[s.owner]) < p.cfg.OwnerSilence,
	}
}

// setState sets what the server's report says of an adapter version.
func (p *Placement) setState(s *placeServer, av chestnutstream.AdapterVersion, l *chestnutstream.ServerLoad) {
	_, l.Usable = p.readySlot(s, av)
	for _, sl := range s.report.Slots {
		if sl.AdapterVersion == av && !s.dead[sl.Name] && l.State != chestnutstream.SlotReady {
			l.State = sl.State
		}
	}
}

// outstanding estimates the requests at a server: what it reported, late, plus
// what was sent from here since, and never less than what runs from here.
func (p *Placement) outstanding(now time.Time, s *placeServer) int {
	for id, at := range s.sent {
		if now.Sub(at) >= p.cfg.ReportAge {
			delete(s.sent, id)
		}
	}
	own := 0
	for _, n := range s.uses {
		own += n
	}
	return max(own, s.report.Running+s.report.Waiting+len(s.sent))
}
