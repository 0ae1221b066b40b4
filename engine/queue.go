package engine

import (
	"math"
	"sort"
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// queue holds the waiting requests that share loads.
type queue struct {
	key      string
	av       chestnutstream.AdapterVersion
	base     string
	entries  []*queued
	wanted   []string
	wantedAt time.Time // when wanted was looked at
	noHope   time.Time // since when no server has or could load the adapter
}

// queued is a waiting request.
type queued struct {
	Pending
	since   time.Time
	arrived time.Time // when its adapter was first seen loaded for it
}

func (p *Placement) submit(now time.Time, r Pending) []Action {
	key := p.policy.QueueKey(r.ID, r.AdapterVersion)
	var actions []Action
	if !now.Before(r.Deadline) {
		return []Action{Refuse{ID: r.ID, Code: "deadline"}}
	}
	if q := p.queues[key]; q != nil && len(q.entries) >= p.limits.PerAdapter {
		return []Action{Refuse{ID: r.ID, Code: "queue-full", RetryAfter: p.retryAfter(now)}}
	}
	if limit := p.limits.PerClass[r.Class]; limit > 0 && p.byClass[r.Class] >= limit {
		return []Action{Refuse{ID: r.ID, Code: "queue-full", RetryAfter: p.retryAfter(now)}}
	}
	if p.waiting >= p.limits.Total {
		victim := p.leastUrgent(now)
		if victim == nil || p.effective(now, victim) >= r.Urgency {
			return []Action{Refuse{ID: r.ID, Code: "queue-full", RetryAfter: p.retryAfter(now)}}
		}
		p.withdraw(victim.ID)
		actions = append(actions, Refuse{ID: victim.ID, Code: "shed", RetryAfter: p.retryAfter(now), Stall: victim.stall(now)})
	}
	q := p.queues[key]
	if q == nil {
		q = &queue{key: key, av: r.AdapterVersion, base: r.BaseModel}
		p.queues[key] = q
		p.order = append(p.order, key)
	}
	q.entries = append(q.entries, &queued{Pending: r, since: now})
	p.waiting++
	p.byClass[r.Class]++
	p.sortQueue(now, q)
	return append(actions, p.dispatchQueue(now, q, &round{p: p, now: now})...)
}

// minRetryAfter and maxRetryAfter bound what a refused caller is told.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// retryAfter estimates when the queue will have room: the time that it takes to
// dispatch half of what waits at the recent rate.
func (p *Placement) retryAfter(now time.Time) time.Duration {
	rate := p.decayedDrain(now)
	if rate <= 0 {
		return minRetryAfter
	}
	d := time.Duration(float64(p.waiting) / 2 / rate * float64(time.Second))
	return min(maxRetryAfter, max(minRetryAfter, d))
}

// drainWindow is the time constant of the recent dispatch rate.
const drainWindow = 10 * time.Second

func (p *Placement) decayedDrain(now time.Time) float64 {
	r := decayingRate{value: p.drainRate, at: p.drainAt}
	return r.read(now, drainWindow)
}

func (p *Placement) noteDrain(now time.Time) {
	p.drainRate = p.decayedDrain(now) + 1/drainWindow.Seconds()
	p.drainAt = now
}

// leastUrgent returns the waiting request that is shed first. Its age counts, so
// that no class is shed for ever.
func (p *Placement) leastUrgent(now time.Time) *queued {
	var least *queued
	for _, key := range p.order {
		for _, e := range p.queues[key].entries {
			if least == nil || p.effective(now, e) < p.effective(now, least) {
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

// remove takes an entry out of its queue, and an empty queue out of the list.
func (p *Placement) remove(q *queue, i int) {
	p.waiting--
	if c := q.entries[i].Class; p.byClass[c] > 1 {
		p.byClass[c]--
	} else {
		delete(p.byClass, c)
	}
	q.entries = append(q.entries[:i], q.entries[i+1:]...)
	if len(q.entries) > 0 {
		return
	}
	p.setWanted(q, nil)
	delete(p.queues, q.key)
	for j, key := range p.order {
		if key == q.key {
			p.order = append(p.order[:j], p.order[j+1:]...)
			return
		}
	}
}

func (p *Placement) expire(now time.Time) []Action {
	var actions []Action
	for _, key := range append([]string(nil), p.order...) {
		q := p.queues[key]
		for i := 0; i < len(q.entries); {
			e := q.entries[i]
			if now.Before(e.Deadline) {
				i++
				continue
			}
			actions = append(actions, Refuse{ID: e.ID, Code: "deadline", RetryAfter: p.retryAfter(now), Stall: e.stall(now)})
			p.remove(q, i)
		}
	}
	return actions
}

// effective returns the urgency of a request with its age added, so that no
// class waits for ever.
func (p *Placement) effective(now time.Time, e *queued) int {
	return e.Urgency + int(now.Sub(e.since)/p.cfg.AgingPerPoint)
}

// byUrgency sorts the requests within each queue and returns the queues, the
// most urgent first.
func (p *Placement) byUrgency(now time.Time) []*queue {
	queues := make([]*queue, 0, len(p.order))
	for _, key := range p.order {
		q := p.queues[key]
		p.sortQueue(now, q)
		queues = append(queues, q)
	}
	sort.SliceStable(queues, func(i, j int) bool {
		return p.effective(now, queues[i].entries[0]) > p.effective(now, queues[j].entries[0])
	})
	return queues
}

func (p *Placement) sortQueue(now time.Time, q *queue) {
	sort.SliceStable(q.entries, func(i, j int) bool {
		return p.effective(now, q.entries[i]) > p.effective(now, q.entries[j])
	})
}

func (p *Placement) view(now time.Time, q *queue) chestnutstream.QueueView {
	v := chestnutstream.QueueView{Key: q.key, AdapterVersion: q.av, Waiting: len(q.entries), Wanted: q.wanted, Measures: p.measures}
	for _, e := range q.entries {
		v.MaxUrgency = max(v.MaxUrgency, e.Urgency)
		v.Oldest = max(v.Oldest, now.Sub(e.since))
	}
	return v
}

// giveUp refuses the requests of a queue for whose adapter no server has been
// in sight for a while, so that their callers can ask elsewhere in time.
func (p *Placement) giveUp(now time.Time, q *queue, loads []chestnutstream.ServerLoad) []Action {
	for _, l := range loads {
		if l.Usable || l.Loadable {
			q.noHope = time.Time{}
			return nil
		}
	}
	if q.noHope.IsZero() {
		q.noHope = now
	}
	if now.Sub(q.noHope) < p.cfg.NoServerAfter {
		return nil
	}
	var actions []Action
	for len(q.entries) > 0 {
		e := q.entries[0]
		actions = append(actions, Refuse{ID: e.ID, Code: "no-server", RetryAfter: minRetryAfter, Stall: e.stall(now)})
		p.remove(q, 0)
	}
	return actions
}

// noteArrived notes that the request's adapter is there.
func (e *queued) noteArrived(now time.Time) {
	if e.arrived.IsZero() {
		e.arrived = now
	}
}

// stall returns how long the request has waited for its adapter to arrive.
func (e *queued) stall(now time.Time) time.Duration {
	if e.arrived.IsZero() {
		return now.Sub(e.since)
	}
	return e.arrived.Sub(e.since)
}

// Wants returns what this instance wants loaded, by owner.
func (p *Placement) Wants(now time.Time) map[string][]chestnutstream.Want {
	out := map[string][]chestnutstream.Want{}
	for _, key := range p.order {
		q := p.queues[key]
		for _, server := range q.wanted {
			s := p.servers[server]
			if s == nil || !s.owned {
				continue
			}
			w := chestnutstream.Want{Server: server, AdapterVersion: q.av, Waiting: len(q.entries), SlackMS: math.MaxInt32}
			for _, e := range q.entries {
				if e.Urgency >= chestnutstream.UrgentFrom {
					w.Urgent++
				}
				w.SlackMS = min(w.SlackMS, e.Deadline.Sub(now).Milliseconds())
				w.Weight += float64(e.Urgency)
				w.OldestMS = max(w.OldestMS, now.Sub(e.since).Milliseconds())
			}
			out[s.owner] = append(out[s.owner], w)
		}
	}
	return out
}

// Waiting returns the number of queued requests and of requests in progress.
func (p *Placement) Waiting() (queued, running int) { return p.waiting, len(p.running) }
