package engine

import (
	"sort"
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// PlacementSettings holds the durations of placement.
type PlacementSettings struct {
	ReportDelay time.Duration // a request sent this long ago is included in the reports
	AvoidFor    time.Duration // a request avoids servers that failed it until it has waited this long
	SuspectFor  time.Duration // a server is avoided for this long after a connection failure
	// StoreTimeout is how long the table service must fail before it counts as
	// unresponsive. It is not shorter than a lease, so that by then no owner
	// that is recorded in the table service can still issue orders.
	StoreTimeout       time.Duration
	StoreFailureMaxAge time.Duration // the table service counts as unresponsive only while its latest failure is newer than this
	AgingPerPoint      time.Duration // waiting this long raises a request's urgency by one point
	OwnerTimeout       time.Duration // no loads are demanded from an owner without a message for this long
	NoServerTimeout    time.Duration // requests are refused after this long without a server that has or could load the adapter
}

// DefaultPlacementSettings returns the default settings.
func DefaultPlacementSettings() PlacementSettings {
	return PlacementSettings{
		ReportDelay: time.Second, AvoidFor: time.Second, SuspectFor: 2 * time.Second, StoreTimeout: 8 * time.Second, StoreFailureMaxAge: 6 * time.Second,
		AgingPerPoint: time.Second, OwnerTimeout: 2 * time.Second, NoServerTimeout: 6 * time.Second,
	}
}

// PendingRequest is a request that waits for a server.
type PendingRequest struct {
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
	// Servers lists the engines on which requests may be placed, and their
	// addresses.
	Servers struct {
		Servers   []chestnutstream.ServerSettings
		Addresses map[string]string
		Leaving   map[string]bool // as listed by the platform
	}
	// ServerReported is an owner's report of a server.
	ServerReported struct {
		Owner  string
		Fence  uint64
		Report chestnutstream.ServerReport
	}
	// LoadFiguresReceived are the load figures that an owner sent.
	LoadFiguresReceived struct {
		Owner   string
		Figures []LoadFigures
	}
	// OwnerServers is the complete list of servers that an owner owns now.
	OwnerServers struct {
		Owner   string
		Servers []string
	}
	// ReportLeaseExtended records a message of an owner and extends its report
	// lease to Until. A zero Until extends nothing.
	ReportLeaseExtended struct {
		Owner string
		Until time.Time
	}
	// StoreFailing holds the times of the first and the latest of the table
	// service's current run of failures to respond to this instance. Zero
	// times: it responds.
	StoreFailing struct{ Since, Last time.Time }
	// Submit queues a request.
	Submit struct{ Request PendingRequest }
	// Withdraw removes a waiting request from its queue.
	Withdraw struct{ ID string }
	// Finished ends a dispatched request's usage of its slot.
	Finished struct {
		ID      string
		Failure Failure
	}
	// PlacementTick advances the time.
	PlacementTick struct {
		Limits           QueueLimits
		ObjectiveWeights chestnutstream.ObjectiveWeights
		OwnerTimeout     time.Duration // 0: unchanged
	}
)

// QueueLimits bounds the number of waiting requests of an instance.
type QueueLimits struct {
	PerAdapter int
	Total      int
	PerClass   map[string]int
}

// Failure is the way in which a dispatched request failed, as far as it matters
// to placement.
type Failure string

// The failures of a dispatched request.
const (
	NoFailure    Failure = ""
	NotLoaded    Failure = "not-loaded"    // the engine does not know the load name
	Unreachable  Failure = "unreachable"   // the connection failed or broke
	WrongAdapter Failure = "wrong-adapter" // the response named another adapter
	Busy         Failure = "busy"          // the engine's queue is full
)

// Actions of Placement.
type (
	// Dispatch sends a request to a server. The slot is in use from now until
	// Finished.
	Dispatch struct {
		ID        string
		Server    string
		Address   string
		Name      chestnutstream.LoadName
		LoadStall time.Duration // time waited for the adapter to be loaded
		Reason    string
	}
	// Refuse ends a waiting request, which did not run.
	Refuse struct {
		ID         string
		Code       string // "queue-full", "deadline", "shed" or "no-server"
		RetryAfter time.Duration
		LoadStall  time.Duration // time waited for the adapter to be loaded
	}
)

// Placement decides where an instance sends its requests and which loads it
// requests from owners. It is the user's side of the report-lease protocol that
// keeps an adapter in use loaded. Scheduler is the other side.
//
// Invariant: a Dispatch names a slot that is ready in the newest report of the
// server's owner, whose report lease has not expired; or, on an engine that
// ignores fencing tokens, a slot that was last reported ready, while the table
// service is unresponsive, so that no instance can take the server over. The
// slot counts as in use from the Dispatch until Finished.
type Placement struct {
	cfg              PlacementSettings
	policy           chestnutstream.PlacementPolicy
	zone             string
	servers          map[string]*placementServer
	reportLeases     map[string]time.Time
	ownerMessageAt   map[string]time.Time // by owner
	storeFailing     StoreFailing
	byAdapter        map[chestnutstream.AdapterVersion][]*placementServer // servers whose report has the adapter version
	demandQueues     map[string]int                                       // number of queues that demand a load, by server
	retiring         map[string]map[chestnutstream.LoadName]bool          // by owner
	queues           map[string]*queue
	queueOrder       []string // queue keys, oldest first
	running          map[string]*runningRequest
	waitingByClass   map[string]int
	waiting          int
	limits           QueueLimits
	objectiveWeights chestnutstream.ObjectiveWeights
	quarantine       map[chestnutstream.LoadName]bool
	dispatchRate     float64 // dispatches per second, decaying
	dispatchRateAt   time.Time
}

type placementServer struct {
	settings      chestnutstream.ServerSettings
	address       string
	listedLeaving bool // the platform lists it as leaving
	owner         string
	owned         bool // the owner's latest server list has it
	fence         uint64
	report        chestnutstream.ServerReport
	idle          int
	unknownLoads  map[chestnutstream.LoadName]bool // loads that the engine reported as unknown
	sentAt        map[string]time.Time             // of requests that the reports may not include yet
	usage         map[chestnutstream.LoadName]int
	suspectUntil  time.Time
}

type runningRequest struct {
	server string
	name   chestnutstream.LoadName
}

// NewPlacement returns a placement without servers.
func NewPlacement(zone string, cfg PlacementSettings, policy chestnutstream.PlacementPolicy) *Placement {
	return &Placement{
		cfg: cfg, policy: policy, zone: zone,
		servers: map[string]*placementServer{}, reportLeases: map[string]time.Time{}, ownerMessageAt: map[string]time.Time{},
		byAdapter: map[chestnutstream.AdapterVersion][]*placementServer{}, demandQueues: map[string]int{},
		retiring: map[string]map[chestnutstream.LoadName]bool{},
		queues:   map[string]*queue{}, running: map[string]*runningRequest{}, waitingByClass: map[string]int{},
		quarantine: map[chestnutstream.LoadName]bool{},
		limits:     QueueLimits{PerAdapter: 256, Total: 2048},
	}
}

// Step takes an event and returns the actions that it leads to.
func (p *Placement) Step(now time.Time, event any) []Action {
	switch e := event.(type) {
	case Servers:
		p.setServers(e)
	case ServerReported:
		p.updateReport(e)
	case OwnerServers:
		p.updateOwnerServers(e)
	case LoadFiguresReceived:
		p.updateLoadFigures(e)
	case ReportLeaseExtended:
		p.ownerMessageAt[e.Owner] = now
		if e.Until.After(p.reportLeases[e.Owner]) {
			p.reportLeases[e.Owner] = e.Until
		}
	case StoreFailing:
		p.storeFailing = e
	case Submit:
		return p.submit(now, e.Request)
	case Withdraw:
		p.withdraw(e.ID)
	case Finished:
		p.finishRequest(now, e)
		if len(p.queues) <= maxImmediateDispatchQueues {
			return p.dispatch(now)
		}
	case PlacementTick:
		p.limits, p.objectiveWeights = e.Limits, e.ObjectiveWeights
		if e.OwnerTimeout > 0 {
			p.cfg.OwnerTimeout = e.OwnerTimeout
		}
		return append(p.expire(now), p.dispatch(now)...)
	}
	return nil
}

func (p *Placement) setServers(e Servers) {
	configured := map[string]bool{}
	for _, settings := range e.Servers {
		configured[settings.Name] = true
		s := p.servers[settings.Name]
		if s == nil {
			s = &placementServer{unknownLoads: map[chestnutstream.LoadName]bool{}, usage: map[chestnutstream.LoadName]int{}, sentAt: map[string]time.Time{}}
			p.servers[settings.Name] = s
		}
		s.settings = settings
		s.listedLeaving = e.Leaving[settings.Name]
		s.address = settings.Address
		if a := e.Addresses[settings.Name]; a != "" {
			s.address = a
		}
	}
	for name, s := range p.servers {
		if !configured[name] && len(s.usage) == 0 {
			p.unindexReport(s)
			delete(p.servers, name)
		}
	}
}

// indexReport adds a server's report to the indexes of adapter versions and of
// retiring slots.
func (p *Placement) indexReport(s *placementServer) {
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

// unindexReport removes a server's report from the indexes.
func (p *Placement) unindexReport(s *placementServer) {
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

func (p *Placement) updateReport(e ServerReported) {
	s := p.servers[e.Report.Server]
	if s == nil || s.owner != e.Owner && s.owned && e.Fence < s.fence {
		return
	}
	running, waiting := s.report.Running, s.report.Waiting
	p.unindexReport(s)
	defer p.indexReport(s)
	s.owner, s.owned, s.fence, s.report = e.Owner, true, e.Fence, e.Report
	if e.Report.Running == 0 && e.Report.Waiting == 0 {
		s.report.Running, s.report.Waiting = running, waiting
	}
	reportedLoads := map[chestnutstream.LoadName]bool{}
	for _, sl := range e.Report.Slots {
		reportedLoads[sl.Name] = true
	}
	for name := range s.unknownLoads {
		if !reportedLoads[name] {
			delete(s.unknownLoads, name)
		}
	}
	for name := range p.quarantine {
		if !reportedLoads[name] && s.usage[name] == 0 && p.serverWithLoad(name) == nil {
			delete(p.quarantine, name)
		}
	}
}

func (p *Placement) updateLoadFigures(e LoadFiguresReceived) {
	for _, f := range e.Figures {
		if s := p.servers[f.Server]; s != nil && s.owner == e.Owner {
			s.report.Running, s.report.Waiting, s.idle = f.Running, f.Waiting, f.Idle
		}
	}
}

// serverWithLoad returns the server whose report has a load name, or nil.
func (p *Placement) serverWithLoad(name chestnutstream.LoadName) *placementServer {
	for _, s := range p.servers {
		for _, sl := range s.report.Slots {
			if sl.Name == name {
				return s
			}
		}
	}
	return nil
}

func (p *Placement) updateOwnerServers(e OwnerServers) {
	owned := map[string]bool{}
	for _, name := range e.Servers {
		owned[name] = true
	}
	for name, s := range p.servers {
		if s.owner == e.Owner && !owned[name] {
			s.owned = false
		}
	}
}

// mayUse reports whether the slots that a server's report shows as ready may be
// used now.
func (p *Placement) mayUse(now time.Time, s *placementServer) bool {
	if s.owner == "" || s.address == "" || s.listedLeaving || s.report.Leaving || !s.report.Reachable || now.Before(s.suspectUntil) {
		return false
	}
	return p.hasReportLease(now, s) || !s.settings.ChecksFencingTokens && p.storeUnresponsive(now)
}

// storeUnresponsive reports whether the table service has failed this instance
// for StoreTimeout and still does. A time without attempts proves nothing: an
// instance that resumes after a pause has not observed what others did
// meanwhile.
func (p *Placement) storeUnresponsive(now time.Time) bool {
	f := p.storeFailing
	return !f.Since.IsZero() && now.Sub(f.Since) >= p.cfg.StoreTimeout && now.Sub(f.Last) < p.cfg.StoreFailureMaxAge
}

// hasReportLease reports whether the report lease of the server's owner is
// valid, so that the owner also accepts demand.
func (p *Placement) hasReportLease(now time.Time, s *placementServer) bool {
	return s.owned && now.Before(p.reportLeases[s.owner])
}

// readySlot returns a ready slot of the server for an adapter version.
func (p *Placement) readySlot(s *placementServer, av chestnutstream.AdapterVersion) (chestnutstream.LoadName, bool) {
	for _, sl := range s.report.Slots {
		if sl.AdapterVersion == av && sl.State == chestnutstream.SlotReady && !s.unknownLoads[sl.Name] && !p.quarantine[sl.Name] {
			return sl.Name, true
		}
	}
	return "", false
}

// Usage returns the number of requests in progress by slot, grouped by the
// server's owner.
func (p *Placement) Usage() map[string]map[chestnutstream.LoadName]int {
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

// UsageOf returns the number of requests in progress by slot on one owner's
// servers.
func (p *Placement) UsageOf(owner string) map[chestnutstream.LoadName]int {
	out := map[chestnutstream.LoadName]int{}
	for _, r := range p.running {
		if s := p.servers[r.server]; s != nil && s.owner == owner {
			out[r.name]++
		}
	}
	return out
}

// Retiring returns the retiring slots that each owner reported.
func (p *Placement) Retiring() map[string]map[chestnutstream.LoadName]bool { return p.retiring }

// Quarantined returns the load names for which a response named another adapter,
// sorted.
func (p *Placement) Quarantined() []chestnutstream.LoadName {
	out := make([]chestnutstream.LoadName, 0, len(p.quarantine))
	for name := range p.quarantine {
		out = append(out, name)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}
