package engine

import (
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
func (p *Placement) Step(now time.Time, event any) []Action {
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

// Uses returns the slots in use, by the server's owner.
func (p *Placement) Uses() map[string]map[chestnutstream.LoadName]int {
	out := map[string]map[chestnutstream.LoadName]int{}
	for _, r := range p.running {
		s := p.servers[r.server]
		if s == nil || s.owner == "" {
			continue
		}
		if out[s.owner] == nil {
			out[s.owner] = map[chestnutstream.LoadName]int{}
		}
		out[s.owner][r.name]++
	}
	return out
}

// UsesOf returns the slots in use of one owner's servers.
func (p *Placement) UsesOf(owner string) map[chestnutstream.LoadName]int {
	out := map[chestnutstream.LoadName]int{}
	for _, r := range p.running {
		if s := p.servers[r.server]; s != nil && s.owner == owner {
			out[r.name]++
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
