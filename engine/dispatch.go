package engine

import (
	"fmt"
	"sort"
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// maxImmediateDispatchQueues is the number of queues up to which the end of a
// request dispatches all queues at once; with more, the next tick does.
const maxImmediateDispatchQueues = 64

func (p *Placement) finishRequest(now time.Time, e Finished) {
	r := p.running[e.ID]
	if r == nil {
		return
	}
	delete(p.running, e.ID)
	s := p.servers[r.server]
	if s == nil {
		return
	}
	delete(s.sentAt, e.ID)
	if s.usage[r.name]--; s.usage[r.name] <= 0 {
		delete(s.usage, r.name)
	}
	switch e.Failure {
	case NotLoaded:
		s.unknownLoads[r.name] = true
	case Unreachable:
		s.suspectUntil = now.Add(p.cfg.SuspectFor)
	case WrongAdapter:
		p.quarantine[r.name] = true
	case Busy, NoFailure:
	}
}

// dispatch sends the requests that can be sent, queue by queue in order of
// urgency, and refreshes the demand of each queue.
func (p *Placement) dispatch(now time.Time) []Action {
	if len(p.queues) == 0 {
		return nil
	}
	var actions []Action
	r := &dispatchRound{p: p, now: now}
	for _, q := range p.queuesByUrgency(now) {
		actions = append(actions, p.dispatchQueue(now, q, r)...)
	}
	return actions
}

// dispatchRound caches the load of all servers for the queues that are
// dispatched together.
type dispatchRound struct {
	p     *Placement
	now   time.Time
	loads map[string][]chestnutstream.ServerLoad // by base model, sorted by server
}

// serverLoads returns the load of the servers of a base model that may be used
// now, without the state of an adapter version.
func (r *dispatchRound) serverLoads(base string) []chestnutstream.ServerLoad {
	if loads, ok := r.loads[base]; ok {
		return loads
	}
	loads := []chestnutstream.ServerLoad{}
	for _, s := range r.p.servers {
		if s.settings.BaseModel == base && r.p.mayUse(r.now, s) {
			loads = append(loads, r.p.serverLoad(r.now, s))
		}
	}
	sort.Slice(loads, func(i, j int) bool { return loads[i].Server < loads[j].Server })
	if r.loads == nil {
		r.loads = map[string][]chestnutstream.ServerLoad{}
	}
	r.loads[base] = loads
	return loads
}

// recordDispatch counts a request that was sent to a server in this round.
func (r *dispatchRound) recordDispatch(base, server string) {
	loads := r.loads[base]
	if i := findServer(loads, server); i >= 0 {
		loads[i].Outstanding++
	}
}

// findServer returns the index of a server in loads, which are sorted by
// server, or -1.
func findServer(loads []chestnutstream.ServerLoad, server string) int {
	i := sort.Search(len(loads), func(i int) bool { return loads[i].Server >= server })
	if i == len(loads) || loads[i].Server != server {
		return -1
	}
	return i
}

// withAdapterState calls f with the servers of the queue's base model. Their
// State and Usable are set for the queue's adapter version during the call.
func (r *dispatchRound) withAdapterState(q *queue, f func(loads []chestnutstream.ServerLoad)) {
	loads := r.serverLoads(q.base)
	var set []int
	for _, s := range r.p.byAdapter[q.av] {
		i := findServer(loads, s.settings.Name)
		if i < 0 {
			continue
		}
		r.p.setAdapterState(s, q.av, &loads[i])
		set = append(set, i)
	}
	f(loads)
	for _, i := range set {
		loads[i].State, loads[i].Usable = "", false
	}
}

// demandPeriod is the time between two refreshes of a queue's demand. With many
// queues it is demandPeriodPerQueue times their number, so that each queue is
// refreshed less often.
const (
	demandPeriod         = 50 * time.Millisecond
	demandPeriodPerQueue = time.Millisecond
)

func (p *Placement) dispatchQueue(now time.Time, q *queue, r *dispatchRound) []Action {
	var actions []Action
	if q.demandUpdatedAt.IsZero() {
		actions = append(actions, p.refreshDemand(now, q, r)...)
	}
	usable := p.usableServers(now, q)
	view := p.queueView(now, q)
	for i := 0; i < len(q.entries) && len(usable) > 0; {
		e := q.entries[i]
		eligible := p.eligibleServers(now, view, e, usable)
		chosen := -1
		if len(eligible) > 0 {
			e.markAdapterReady(now)
			chosen = p.policy.Choose(view, p.effectiveUrgency(now, e), eligible)
		}
		if chosen < 0 {
			i++
			if len(e.Avoid) == 0 {
				break // the requests behind it find no server either
			}
			continue
		}
		actions = append(actions, p.dispatchTo(now, e, eligible[chosen]))
		r.recordDispatch(q.base, eligible[chosen].Server)
		for j := range usable {
			if usable[j].Server == eligible[chosen].Server {
				usable[j].Outstanding++
			}
		}
		p.remove(q, i)
	}
	period := max(demandPeriod, time.Duration(len(p.queues))*demandPeriodPerQueue)
	if len(q.entries) > 0 && now.Sub(q.demandUpdatedAt) >= period {
		actions = append(actions, p.refreshDemand(now, q, r)...)
	}
	return actions
}

// refreshDemand updates the servers on which a queue demands a load, and
// refuses the queue's requests when no server has or could load the adapter.
func (p *Placement) refreshDemand(now time.Time, q *queue, r *dispatchRound) []Action {
	var actions []Action
	r.withAdapterState(q, func(loads []chestnutstream.ServerLoad) {
		before := q.demandServers
		p.setDemand(q, p.policy.DemandServers(p.queueView(now, q), loads))
		for _, name := range append(before, q.demandServers...) {
			if i := findServer(loads, name); i >= 0 {
				loads[i].DemandVersions = p.demandQueues[name]
			}
		}
		actions = p.refuseUnservable(now, q, loads)
	})
	q.demandUpdatedAt = now
	return actions
}

func (p *Placement) setDemand(q *queue, servers []string) {
	for _, name := range q.demandServers {
		if p.demandQueues[name]--; p.demandQueues[name] <= 0 {
			delete(p.demandQueues, name)
		}
	}
	q.demandServers = servers
	for _, name := range servers {
		p.demandQueues[name]++
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
		l := p.serverLoad(now, s)
		if p.setAdapterState(s, q.av, &l); l.Usable {
			out = append(out, l)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Server < out[j].Server })
	return out
}

// eligibleServers returns the usable servers on which a request may run.
func (p *Placement) eligibleServers(now time.Time, view chestnutstream.QueueView, e *queuedRequest, usable []chestnutstream.ServerLoad) []chestnutstream.ServerLoad {
	avoiding := now.Sub(e.queuedAt) < p.cfg.AvoidFor
	out := make([]chestnutstream.ServerLoad, 0, len(usable))
	for _, l := range usable {
		if !(avoiding && e.Avoid[l.Server]) && p.policy.Eligible(view, l) {
			out = append(out, l)
		}
	}
	return out
}

func (p *Placement) dispatchTo(now time.Time, e *queuedRequest, to chestnutstream.ServerLoad) Dispatch {
	s := p.servers[to.Server]
	name, _ := p.readySlot(s, e.AdapterVersion)
	s.usage[name]++
	s.sentAt[e.ID] = now
	p.running[e.ID] = &runningRequest{to.Server, name}
	p.recordDispatch(now)
	return Dispatch{
		ID: e.ID, Server: to.Server, Address: s.address, Name: name, LoadStall: e.stall(now),
		Reason: fmt.Sprintf("%s is loaded there; %d of %d places taken; waited %d ms", name, to.Outstanding, to.BatchLimit, now.Sub(e.queuedAt).Milliseconds()),
	}
}

// serverLoad returns the load of a server, without the state of an adapter
// version.
func (p *Placement) serverLoad(now time.Time, s *placementServer) chestnutstream.ServerLoad {
	return chestnutstream.ServerLoad{
		Server: s.settings.Name, Zone: s.settings.Zone, Outstanding: p.outstanding(now, s),
		BatchLimit: s.report.BatchLimit, SlotLimit: s.report.SlotLimit,
		Idle: s.idle, DemandVersions: p.demandQueues[s.settings.Name],
		AcceptsDemand: p.hasReportLease(now, s) && now.Sub(p.ownerMessageAt[s.owner]) < p.cfg.OwnerTimeout,
	}
}

// setAdapterState sets State and Usable for an adapter version from the
// server's report.
func (p *Placement) setAdapterState(s *placementServer, av chestnutstream.AdapterVersion, l *chestnutstream.ServerLoad) {
	_, l.Usable = p.readySlot(s, av)
	for _, sl := range s.report.Slots {
		if sl.AdapterVersion == av && !s.unknownLoads[sl.Name] && l.State != chestnutstream.SlotReady {
			l.State = sl.State
		}
	}
}

// outstanding estimates the requests at a server: the reported number, which
// lags, plus those sent from here since, and at least those in progress from
// here.
func (p *Placement) outstanding(now time.Time, s *placementServer) int {
	for id, at := range s.sentAt {
		if now.Sub(at) >= p.cfg.ReportDelay {
			delete(s.sentAt, id)
		}
	}
	inUse := 0
	for _, n := range s.usage {
		inUse += n
	}
	return max(inUse, s.report.Running+s.report.Waiting+len(s.sentAt))
}
