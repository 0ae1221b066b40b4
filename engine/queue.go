package engine

import (
	"math"
	"sort"
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// queue holds the waiting requests that share loads.
type queue struct {
	key             string
	av              chestnutstream.AdapterVersion
	base            string
	entries         []*queuedRequest
	demandServers   []string
	demandUpdatedAt time.Time // when demandServers was last updated
	noServerSince   time.Time // since when no server has the adapter or could load it
}

// queuedRequest is a waiting request.
type queuedRequest struct {
	PendingRequest
	queuedAt       time.Time
	adapterReadyAt time.Time // when its adapter was first ready on an eligible server; zero: not yet
}

func (p *Placement) submit(now time.Time, r PendingRequest) []Action {
	key := p.policy.QueueKey(r.ID, r.AdapterVersion)
	var actions []Action
	if !now.Before(r.Deadline) {
		return []Action{Refuse{ID: r.ID, Code: "deadline"}}
	}
	if q := p.queues[key]; q != nil && len(q.entries) >= p.limits.PerAdapter {
		return []Action{Refuse{ID: r.ID, Code: "queue-full", RetryAfter: p.retryAfter(now)}}
	}
	if limit := p.limits.PerClass[r.Class]; limit > 0 && p.waitingByClass[r.Class] >= limit {
		return []Action{Refuse{ID: r.ID, Code: "queue-full", RetryAfter: p.retryAfter(now)}}
	}
	if p.waiting >= p.limits.Total {
		victim := p.leastUrgent(now)
		if victim == nil || p.effectiveUrgency(now, victim) >= r.Urgency {
			return []Action{Refuse{ID: r.ID, Code: "queue-full", RetryAfter: p.retryAfter(now)}}
		}
		p.withdraw(victim.ID)
		actions = append(actions, Refuse{ID: victim.ID, Code: "shed", RetryAfter: p.retryAfter(now), LoadStall: victim.stall(now)})
	}
	q := p.queues[key]
	if q == nil {
		q = &queue{key: key, av: r.AdapterVersion, base: r.BaseModel}
		p.queues[key] = q
		p.queueOrder = append(p.queueOrder, key)
	}
	q.entries = append(q.entries, &queuedRequest{PendingRequest: r, queuedAt: now})
	p.waiting++
	p.waitingByClass[r.Class]++
	p.sortQueue(now, q)
	return append(actions, p.dispatchQueue(now, q, &dispatchRound{p: p, now: now})...)
}

// minRetryAfter and maxRetryAfter bound the Retry-After of a refused request.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// retryAfter estimates when the queue will have room: the time to dispatch half
// of the waiting requests at the recent rate.
func (p *Placement) retryAfter(now time.Time) time.Duration {
	rate := p.decayedDispatchRate(now)
	if rate <= 0 {
		return minRetryAfter
	}
	d := time.Duration(float64(p.waiting) / 2 / rate * float64(time.Second))
	return min(maxRetryAfter, max(minRetryAfter, d))
}

// dispatchRateWindow is the averaging window of the recent dispatch rate.
const dispatchRateWindow = 10 * time.Second

func (p *Placement) decayedDispatchRate(now time.Time) float64 {
	r := decayingRate{value: p.dispatchRate, at: p.dispatchRateAt}
	return r.decayed(now, dispatchRateWindow)
}

func (p *Placement) recordDispatch(now time.Time) {
	p.dispatchRate = p.decayedDispatchRate(now) + 1/dispatchRateWindow.Seconds()
	p.dispatchRateAt = now
}

// leastUrgent returns the waiting request to shed first. Its age counts, so
// that no class is shed forever.
func (p *Placement) leastUrgent(now time.Time) *queuedRequest {
	var least *queuedRequest
	for _, key := range p.queueOrder {
		for _, e := range p.queues[key].entries {
			if least == nil || p.effectiveUrgency(now, e) < p.effectiveUrgency(now, least) {
				least = e
			}
		}
	}
	return least
}

func (p *Placement) withdraw(id string) bool {
	for _, q := range p.queues {
		for i, e := range q.entries {
			if e.ID == id {
				p.remove(q, i)
				return true
			}
		}
	}
	return false
}

// remove removes an entry from its queue, and the queue when it is empty.
func (p *Placement) remove(q *queue, i int) {
	p.waiting--
	if c := q.entries[i].Class; p.waitingByClass[c] > 1 {
		p.waitingByClass[c]--
	} else {
		delete(p.waitingByClass, c)
	}
	q.entries = append(q.entries[:i], q.entries[i+1:]...)
	if len(q.entries) > 0 {
		return
	}
	p.setDemand(q, nil)
	delete(p.queues, q.key)
	for j, key := range p.queueOrder {
		if key == q.key {
			p.queueOrder = append(p.queueOrder[:j], p.queueOrder[j+1:]...)
			return
		}
	}
}

func (p *Placement) expire(now time.Time) []Action {
	var actions []Action
	for _, key := range append([]string(nil), p.queueOrder...) {
		q := p.queues[key]
		for i := 0; i < len(q.entries); {
			e := q.entries[i]
			if now.Before(e.Deadline) {
				i++
				continue
			}
			actions = append(actions, Refuse{ID: e.ID, Code: "deadline", RetryAfter: p.retryAfter(now), LoadStall: e.stall(now)})
			p.remove(q, i)
		}
	}
	return actions
}

// effectiveUrgency returns the urgency of a request, raised with its age so
// that no class waits forever.
func (p *Placement) effectiveUrgency(now time.Time, e *queuedRequest) int {
	return e.Urgency + int(now.Sub(e.queuedAt)/p.cfg.AgingPerPoint)
}

// queuesByUrgency sorts the requests within each queue and returns the queues,
// the most urgent first.
func (p *Placement) queuesByUrgency(now time.Time) []*queue {
	queues := make([]*queue, 0, len(p.queueOrder))
	for _, key := range p.queueOrder {
		q := p.queues[key]
		p.sortQueue(now, q)
		queues = append(queues, q)
	}
	sort.SliceStable(queues, func(i, j int) bool {
		return p.effectiveUrgency(now, queues[i].entries[0]) > p.effectiveUrgency(now, queues[j].entries[0])
	})
	return queues
}

func (p *Placement) sortQueue(now time.Time, q *queue) {
	sort.SliceStable(q.entries, func(i, j int) bool {
		return p.effectiveUrgency(now, q.entries[i]) > p.effectiveUrgency(now, q.entries[j])
	})
}

func (p *Placement) queueView(now time.Time, q *queue) chestnutstream.QueueView {
	v := chestnutstream.QueueView{Key: q.key, AdapterVersion: q.av, Waiting: len(q.entries), DemandServers: q.demandServers, ObjectiveWeights: p.objectiveWeights}
	for _, e := range q.entries {
		v.MaxUrgency = max(v.MaxUrgency, e.Urgency)
		v.Oldest = max(v.Oldest, now.Sub(e.queuedAt))
	}
	return v
}

// refuseUnservable refuses the requests of a queue when no server has had its
// adapter or could load it for NoServerTimeout, so that callers can retry
// elsewhere in time.
func (p *Placement) refuseUnservable(now time.Time, q *queue, loads []chestnutstream.ServerLoad) []Action {
	for _, l := range loads {
		if l.Usable || l.AcceptsDemand {
			q.noServerSince = time.Time{}
			return nil
		}
	}
	if q.noServerSince.IsZero() {
		q.noServerSince = now
	}
	if now.Sub(q.noServerSince) < p.cfg.NoServerTimeout {
		return nil
	}
	var actions []Action
	for len(q.entries) > 0 {
		e := q.entries[0]
		actions = append(actions, Refuse{ID: e.ID, Code: "no-server", RetryAfter: minRetryAfter, LoadStall: e.stall(now)})
		p.remove(q, 0)
	}
	return actions
}

// markAdapterReady records when the request's adapter was first ready.
func (e *queuedRequest) markAdapterReady(now time.Time) {
	if e.adapterReadyAt.IsZero() {
		e.adapterReadyAt = now
	}
}

// stall returns how long the request has waited for its adapter to be loaded.
func (e *queuedRequest) stall(now time.Time) time.Duration {
	if e.adapterReadyAt.IsZero() {
		return now.Sub(e.queuedAt)
	}
	return e.adapterReadyAt.Sub(e.queuedAt)
}

// Demand returns the demand of this instance for loads, by the server's owner.
func (p *Placement) Demand(now time.Time) map[string][]chestnutstream.Demand {
	out := map[string][]chestnutstream.Demand{}
	for _, key := range p.queueOrder {
		q := p.queues[key]
		for _, server := range q.demandServers {
			s := p.servers[server]
			if s == nil || !s.owned {
				continue
			}
			d := chestnutstream.Demand{Server: server, AdapterVersion: q.av, Waiting: len(q.entries), SlackMS: math.MaxInt32}
			for _, e := range q.entries {
				if e.Urgency >= chestnutstream.UrgentThreshold {
					d.Urgent++
				}
				d.SlackMS = min(d.SlackMS, e.Deadline.Sub(now).Milliseconds())
				d.Weight += float64(e.Urgency)
				d.OldestMS = max(d.OldestMS, now.Sub(e.queuedAt).Milliseconds())
			}
			out[s.owner] = append(out[s.owner], d)
		}
	}
	return out
}

// RequestCounts returns the numbers of queued requests and of requests in progress.
func (p *Placement) RequestCounts() (queued, running int) { return p.waiting, len(p.running) }
