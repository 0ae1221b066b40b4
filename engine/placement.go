package engine

import (
	"fmt"
	"math"
	"sort"
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// PlacementSettings are the times and limits of placement.
type PlacementSettings struct {
	ReportAge  time.Duration // what was sent this long ago shows in the reports
	AvoidFor   time.Duration // a request keeps off servers that failed it this long
	SuspectFor time.Duration // a server whose connections fail is avoided this long
	// StoreSilence is how long the table service fails before it counts as silent.
	// It is not shorter than a lease, so that by then no owner whose register is
	// the table service can still give orders.
	StoreSilence  time.Duration
	FailureFresh  time.Duration // and only while its newest failure is not older than this
	AgingPerPoint time.Duration // waiting this long raises a request's urgency by one point
	OwnerSilence  time.Duration // an owner that was not heard for this long gets no wants
	NoServerAfter time.Duration // without a server that has or could load the adapter, requests are refused
}

// DefaultPlacementSettings returns the settings in use.
func DefaultPlacementSettings() PlacementSettings {
	return PlacementSettings{
		ReportAge: time.Second, AvoidFor: time.Second, SuspectFor: 2 * time.Second, StoreSilence: 8 * time.Second, FailureFresh: 6 * time.Second,
		AgingPerPoint: time.Second, OwnerSilence: 2 * time.Second, NoServerAfter: 6 * time.Second,
	}
}

// Pending is a request that waits for a server.
type Pending struct {
	ID             string
	AdapterVersion chestnutstream.AdapterVersion
	BaseModel      string
	Class          string
	Urgency        int
	Deadline       time.Time
	Avoid          map[string]bool // servers that failed it
}

// Events of Placement.
type (
	// Servers names the engines that may be placed on, and their addresses.
	Servers struct {
		Servers   []chestnutstream.ServerSettings
		Addresses map[string]string
		Leaving   map[string]bool // by the platform's list
	}
	// Reported is what an owner told of a server.
	Reported struct {
		Owner  string
		Fence  uint64
		Report chestnutstream.ServerReport
	}
	// LoadsSeen are the load figures that an owner told.
	LoadsSeen struct {
		Owner string
		Loads []ServerFigures
	}
	// OwnerServers is the whole list of servers that an owner holds now.
	OwnerServers struct {
		Owner   string
		Servers []string
	}
	// Promised says that an owner was heard, and until when what it told may be
	// acted on; a zero Until extends nothing.
	Promised struct {
		Owner string
		Until time.Time
	}
	// StoreFailing says since when, and when last, the table service gave this
	// instance no answer. Zero times: it answers.
	StoreFailing struct{ Since, Last time.Time }
	// Submit queues a request.
	Submit struct{ Request Pending }
	// Withdraw takes a waiting request out of its queue.
	Withdraw struct{ ID string }
	// Finished ends a dispatched request's use of its slot.
	Finished struct {
		ID      string
		Failure Failure
	}
	// PlacementTick passes the time.
	PlacementTick struct {
		Limits       QueueLimits
		Measures     chestnutstream.Measures
		OwnerSilence time.Duration // 0: as set
	}
)

// QueueLimits bound the queues of an instance.
type QueueLimits struct {
	PerAdapter int
	Total      int
	PerClass   map[string]int
}

// Failure says how a dispatched request failed, as far as placement minds.
type Failure string

// The failures of a dispatched request.
const (
	NoFailure    Failure = ""
	NotLoaded    Failure = "not-loaded"    // the engine does not know the load name
	Unreachable  Failure = "unreachable"   // no connection, or one that broke
	WrongAdapter Failure = "wrong-adapter" // the answer named another adapter
	Busy         Failure = "busy"          // the engine's queue is full
)

// Actions of Placement.
type (
	// Dispatch sends a request to a server. The slot is in use from now until
	// Finished.
	Dispatch struct {
		ID      string
		Server  string
		Address string
		Name    chestnutstream.LoadName
		Stall   time.Duration // the wait for the adapter to arrive
		Reason  string
	}
	// Refuse ends a waiting request; it did not run.
	Refuse struct {
		ID         string
		Code       string // "queue-full", "deadline", "shed" or "no-server"
		RetryAfter time.Duration
		Stall      time.Duration // the wait for the adapter, which did not arrive
	}
)

// Placement decides where an instance sends its requests and which loads it
// asks owners for. It is the user's half of the promise on which an adapter in
// use stays loaded.
//
// Invariant: a Dispatch names a slot that is ready in the newest report of the
// server's owner and whose promise has not lapsed; or, on an engine that
// ignores fencing numbers, a slot last seen ready while no instance can take
// the server over because the table service is silent. The slot counts as used
// from the Dispatch until Finished.
type Placement struct {
	cfg        PlacementSettings
	policy     chestnutstream.PlacementPolicy
	zone       string
	servers    map[string]*placeServer
	promises   map[string]time.Time
	heard      map[string]time.Time // owners
	failing    StoreFailing
	byAdapter  map[chestnutstream.AdapterVersion][]*placeServer // servers whose report has it
	wanted     map[string]int                                   // queues that want a load, by server
	retiring   map[string]map[chestnutstream.LoadName]bool      // by owner
	queues     map[string]*queue
	order      []string // queue keys, oldest first
	running    map[string]*runningRequest
	byClass    map[string]int
	waiting    int
	limits     QueueLimits
	measures   chestnutstream.Measures
	quarantine map[chestnutstream.LoadName]bool
	drainRate  float64 // dispatches a second, decaying
	drainAt    time.Time
}

type placeServer struct {
	settings chestnutstream.ServerSettings
	address  string
	listed   bool // leaving by the platform's list
	owner    string
	owned    bool // the owner still says that it holds it
	fence    uint64
	report   chestnutstream.ServerReport
	idle     int
	dead     map[chestnutstream.LoadName]bool // loads that the engine did not know
	sent     map[string]time.Time             // requests in progress that the reports may not show yet
	uses     map[chestnutstream.LoadName]int
	suspect  time.Time
}

type queue struct {
	key      string
	av       chestnutstream.AdapterVersion
	base     string
	entries  []*queued
	wanted   []string
	wantedAt time.Time // when wanted was looked at
	noHope   time.Time // since when no server has or could load the adapter
}

type queued struct {
	Pending
	since   time.Time
	arrived time.Time // when its adapter was first seen loaded for it
}

type runningRequest struct {
	server string
	name   chestnutstream.LoadName
}

// NewPlacement returns a placement that knows no servers.
func NewPlacement(zone string, cfg PlacementSettings, policy chestnutstream.PlacementPolicy) *Placement {
	return &Placement{
		cfg: cfg, policy: policy, zone: zone,
		servers: map[string]*placeServer{}, promises: map[string]time.Time{}, heard: map[string]time.Time{},
		byAdapter: map[chestnutstream.AdapterVersion][]*placeServer{}, wanted: map[string]int{},
		retiring: map[string]map[chestnutstream.LoadName]bool{},
		queues:   map[string]*queue{}, running: map[string]*runningRequest{}, byClass: map[string]int{},
		quarantine: map[chestnutstream.LoadName]bool{},
		limits:     QueueLimits{PerAdapter: 256, Total: 2048},
	}
}

// Step takes an event and returns the actions that it leads to.
func (p *Placement) Step(now time.Time, event any) []any {
	switch e := event.(type) {
	case Servers:
		p.setServers(e)
	case Reported:
		p.reported(e)
	case OwnerServers:
		p.ownerServers(e)
	case LoadsSeen:
		p.loadsSeen(e)
	case Promised:
		p.heard[e.Owner] = now
		if e.Until.After(p.promises[e.Owner]) {
			p.promises[e.Owner] = e.Until
		}
	case StoreFailing:
		p.failing = e
	case Submit:
		return p.submit(now, e.Request)
	case Withdraw:
		p.withdraw(e.ID)
	case Finished:
		p.finished(now, e)
		if len(p.queues) <= promptQueues {
			return p.dispatch(now)
		}
	case PlacementTick:
		p.limits, p.measures = e.Limits, e.Measures
		if e.OwnerSilence > 0 {
			p.cfg.OwnerSilence = e.OwnerSilence
		}
		return append(p.expire(now), p.dispatch(now)...)
	}
	return nil
}

// promptQueues is the number of queues up to which the end of a request has all
// of them looked at at once; with more, the next tick does.
const promptQueues = 64

func (p *Placement) setServers(e Servers) {
	named := map[string]bool{}
	for _, settings := range e.Servers {
		named[settings.Name] = true
		s := p.servers[settings.Name]
		if s == nil {
			s = &placeServer{dead: map[chestnutstream.LoadName]bool{}, uses: map[chestnutstream.LoadName]int{}, sent: map[string]time.Time{}}
			p.servers[settings.Name] = s
		}
		s.settings = settings
		s.listed = e.Leaving[settings.Name]
		s.address = settings.Address
		if a := e.Addresses[settings.Name]; a != "" {
			s.address = a
		}
	}
	for name, s := range p.servers {
		if !named[name] && len(s.uses) == 0 {
			p.unindex(s)
			delete(p.servers, name)
		}
	}
}

// index enters a server's report under the adapter versions that it has.
func (p *Placement) index(s *placeServer) {
	for i, sl := range s.report.Slots {
		if sl.State == chestnutstream.SlotRetiring {
			if p.retiring[s.owner] == nil {
				p.retiring[s.owner] = map[chestnutstream.LoadName]bool{}
			}
			p.retiring[s.owner][sl.Name] = true
		}
		if !hasAdapter(s.report.Slots[:i], sl.AdapterVersion) {
			p.byAdapter[sl.AdapterVersion] = append(p.byAdapter[sl.AdapterVersion], s)
		}
	}
}

// unindex takes a server's report out again.
func (p *Placement) unindex(s *placeServer) {
	for _, sl := range s.report.Slots {
		if delete(p.retiring[s.owner], sl.Name); len(p.retiring[s.owner]) == 0 {
			delete(p.retiring, s.owner)
		}
		kept := p.byAdapter[sl.AdapterVersion][:0]
		for _, other := range p.byAdapter[sl.AdapterVersion] {
			if other != s {
				kept = append(kept, other)
			}
		}
		if p.byAdapter[sl.AdapterVersion] = kept; len(kept) == 0 {
			delete(p.byAdapter, sl.AdapterVersion)
		}
	}
}

func hasAdapter(slots []chestnutstream.Slot, av chestnutstream.AdapterVersion) bool {
	for _, sl := range slots {
		if sl.AdapterVersion == av {
			return true
		}
	}
	return false
}

func (p *Placement) reported(e Reported) {
	s := p.servers[e.Report.Server]
	if s == nil || s.owner != e.Owner && s.owned && e.Fence < s.fence {
		return
	}
	running, waiting := s.report.Running, s.report.Waiting
	p.unindex(s)
	defer p.index(s)
	s.owner, s.owned, s.fence, s.report = e.Owner, true, e.Fence, e.Report
	if e.Report.Running == 0 && e.Report.Waiting == 0 {
		s.report.Running, s.report.Waiting = running, waiting
	}
	have := map[chestnutstream.LoadName]bool{}
	for _, sl := range e.Report.Slots {
		have[sl.Name] = true
	}
	for name := range s.dead {
		if !have[name] {
			delete(s.dead, name)
		}
	}
	for name := range p.quarantine {
		if !have[name] && s.uses[name] == 0 && p.serverOf(name) == nil {
			delete(p.quarantine, name)
		}
	}
}

func (p *Placement) loadsSeen(e LoadsSeen) {
	for _, f := range e.Loads {
		if s := p.servers[f.Server]; s != nil && s.owner == e.Owner {
			s.report.Running, s.report.Waiting, s.idle = f.Running, f.Waiting, f.Idle
		}
	}
}

// serverOf returns the server whose report has a load name.
func (p *Placement) serverOf(name chestnutstream.LoadName) *placeServer {
	for _, s := range p.servers {
		for _, sl := range s.report.Slots {
			if sl.Name == name {
				return s
			}
		}
	}
	return nil
}

func (p *Placement) ownerServers(e OwnerServers) {
	holds := map[string]bool{}
	for _, name := range e.Servers {
		holds[name] = true
	}
	for name, s := range p.servers {
		if s.owner == e.Owner && !holds[name] {
			s.owned = false
		}
	}
}

// mayUse reports whether the slots that a server's report shows as ready may be
// used now.
func (p *Placement) mayUse(now time.Time, s *placeServer) bool {
	if s.owner == "" || s.address == "" || s.listed || s.report.Leaving || !s.report.Reachable || now.Before(s.suspect) {
		return false
	}
	return p.promised(now, s) || !s.settings.ChecksFences && p.storeSilent(now)
}

// storeSilent reports whether this instance has seen the table service fail for
// a while and up to now. A time without attempts proves nothing: an instance
// that wakes from a pause has not seen what others did meanwhile.
func (p *Placement) storeSilent(now time.Time) bool {
	f := p.failing
	return !f.Since.IsZero() && now.Sub(f.Since) >= p.cfg.StoreSilence && now.Sub(f.Last) < p.cfg.FailureFresh
}

// promised reports whether the server's owner stands by its report, and so
// takes wants.
func (p *Placement) promised(now time.Time, s *placeServer) bool {
	return s.owned && now.Before(p.promises[s.owner])
}

// readySlot returns a slot of the server for an adapter version.
func (p *Placement) readySlot(s *placeServer, av chestnutstream.AdapterVersion) (chestnutstream.LoadName, bool) {
	for _, sl := range s.report.Slots {
		if sl.AdapterVersion == av && sl.State == chestnutstream.SlotReady && !s.dead[sl.Name] && !p.quarantine[sl.Name] {
			return sl.Name, true
		}
	}
	return "", false
}

func (p *Placement) submit(now time.Time, r Pending) []any {
	key := p.policy.QueueKey(r.ID, r.AdapterVersion)
	var actions []any
	if !now.Before(r.Deadline) {
		return []any{Refuse{ID: r.ID, Code: "deadline"}}
	}
	if q := p.queues[key]; q != nil && len(q.entries) >= p.limits.PerAdapter {
		return []any{Refuse{ID: r.ID, Code: "queue-full", RetryAfter: p.retryAfter(now)}}
	}
	if limit := p.limits.PerClass[r.Class]; limit > 0 && p.byClass[r.Class] >= limit {
		return []any{Refuse{ID: r.ID, Code: "queue-full", RetryAfter: p.retryAfter(now)}}
	}
	if p.waiting >= p.limits.Total {
		victim := p.leastUrgent(now)
		if victim == nil || p.effective(now, victim) >= r.Urgency {
			return []any{Refuse{ID: r.ID, Code: "queue-full", RetryAfter: p.retryAfter(now)}}
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

func (p *Placement) expire(now time.Time) []any {
	var actions []any
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
func (p *Placement) dispatch(now time.Time) []any {
	if len(p.queues) == 0 {
		return nil
	}
	var actions []any
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

// wantPeriod is the time between two looks at what a queue wants, wantLoad that
// per queue: with many queues each is looked at less often.
const (
	wantPeriod   = 50 * time.Millisecond
	wantPerQueue = time.Millisecond
)

func (p *Placement) dispatchQueue(now time.Time, q *queue, r *round) []any {
	var actions []any
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
func (p *Placement) renewWants(now time.Time, q *queue, r *round) []any {
	var actions []any
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

// giveUp refuses the requests of a queue for whose adapter no server has been
// in sight for a while, so that their callers can ask elsewhere in time.
func (p *Placement) giveUp(now time.Time, q *queue, loads []chestnutstream.ServerLoad) []any {
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
	var actions []any
	for len(q.entries) > 0 {
		e := q.entries[0]
		actions = append(actions, Refuse{ID: e.ID, Code: "no-server", RetryAfter: minRetryAfter, Stall: e.stall(now)})
		p.remove(q, 0)
	}
	return actions
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
		BatchLimit: s.report.BatchLimit, SlotLimit: s.report.SlotLimit, Slots: len(s.report.Slots),
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

// Uses returns the slots in use, by the server's owner.
func (p *Placement) Uses() map[string]map[chestnutstream.LoadName]int {
	out := map[string]map[chestnutstream.LoadName]int{}
	for _, s := range p.servers {
		if len(s.uses) == 0 || s.owner == "" {
			continue
		}
		if out[s.owner] == nil {
			out[s.owner] = map[chestnutstream.LoadName]int{}
		}
		for name, n := range s.uses {
			out[s.owner][name] = n
		}
	}
	return out
}

// Retiring returns the retiring slots that each owner told of.
func (p *Placement) Retiring() map[string]map[chestnutstream.LoadName]bool { return p.retiring }

// Quarantined returns the loads that answered with another adapter.
func (p *Placement) Quarantined() []chestnutstream.LoadName {
	out := make([]chestnutstream.LoadName, 0, len(p.quarantine))
	for name := range p.quarantine {
		out = append(out, name)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// Waiting returns the number of queued requests and of requests in progress.
func (p *Placement) Waiting() (queued, running int) { return p.waiting, len(p.running) }
