package fleet

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutstream/chestnutstream"
)

// Server is a backend server with what this instance knows of it.
type Server struct {
	chestnutstream.Backend
	Listed       chestnutstream.BackendState // state by its entries in the list
	RowVersion   uint64                      // version of that entry
	MissingSince time.Time                   // when the store recovered, if the entry was missing after that; it may come back. Zero: the entry is present
	Misplaced    bool                        // another server responded at its address
	misplacedAt  time.Time

	InFlight               int // requests of this instance in progress
	detector               outlierDetector
	load                   reportedLoad
	pace                   serverPace
	times                  *serviceTimes // of its service; nil if no server of it has stated a pace
	prefillUntil           time.Time     // estimated end of the prefill of the large prompts sent to it
	totalRequests          int           // requests of all instances in progress, by its owner's latest message
	loaded                 map[chestnutstream.ModelAdapter]loadedAdapter
	noLoadRequestsUntil    time.Time // no load requests are sent to its owner before that
	noPrefillRequestsUntil time.Time // no prefill requests are sent to its owner before that
	limit                  rateLimit
	pausedUntil            time.Time     // paused by Retry-After until then
	permitRetryAt          time.Time     // no permit requests for it before that
	permitWait             time.Duration // the latest wait for a permit
	rejected               int           // requests rejected during that wait
	hash                   uint64
	abandoned              []time.Time   // when requests that ended here first are expected to end at the server
	longest                time.Duration // of a request to the server, falling slowly
	rejections             []time.Time   // by this server while it is brittle, within rejectionWindow
	prompts                *promptCache  // what it is believed to keep of prompts; nil: nothing
}

// loadedAdapter is a model or adapter that is believed to be loaded on an engine.
type loadedAdapter struct {
	version     int
	confirmedAt time.Time // of the latest response or owner's message that confirmed it
}

// reportedLoad is the load in the server's latest response that reported one,
// with the number of this instance's requests in flight at that time.
type reportedLoad struct {
	at       time.Time
	total    int // running and waiting
	inFlight int
	mean     float64 // moving average of total
	reports  int
}

// loadReportDecay is the time over which the weight of a reported load falls to
// zero. After that only this instance's own requests and the owner's count are
// used.
const loadReportDecay = 2 * time.Second

// Load estimates the number of requests running and waiting on the server: the
// latest load that a response reported, corrected by the requests that this
// instance has sent and completed since, or the owner's count if that is larger.
func (s *Server) Load(now time.Time) float64 {
	known := max(float64(s.totalRequests), float64(s.InFlight))
	age := now.Sub(s.load.at)
	if s.load.at.IsZero() || age > loadReportDecay {
		return known
	}
	others := max(s.load.total-s.load.inFlight, 0)
	return max(float64(s.InFlight)+float64(others)*(1-float64(age)/float64(loadReportDecay)), known)
}

// StatedLoad returns the requests that ran and waited at the server by its latest response
// that stated them, and when that came.
func (s *Server) StatedLoad() (requests int, at time.Time, ok bool) {
	return s.load.total, s.load.at, !s.load.at.IsZero()
}

// SetTotalRequests records the number of requests that all instances have in progress on
// a server, as its owner reports it.
func (f *Fleet) SetTotalRequests(id string, requests int) {
	if s := f.servers[id]; s != nil {
		s.totalRequests = requests
	}
}

// Fleet is the set of all backend servers.
type Fleet struct {
	zone     string
	inRegion func(zone string) bool // whether an availability zone is in this instance's region
	rand     *rand.Rand
	servers  map[string]*Server // by ID
	// snapshotVersion is the version of the latest snapshot of the list. A server that it does
	// not have was removed by then.
	snapshotVersion uint64
	// copyVersion is the lowest version that the store has shown in its newest era. Rows up to it
	// may be from the copy that the store returned from.
	copyVersion uint64
	removed     recent[removedServer]
	leaving     recent[int64]        // servers whose responses signalled that they leave, with their start (Born)
	services    map[string][]*Server // by service, in order of ID
	versions    map[chestnutstream.ModelAdapter]int
	prefill     map[string]*prefillRate     // by service
	pauses      map[string]*pauseTracker    // by service
	zones       map[string]*outlierDetector // of connections to the servers of each availability zone

	times            map[string]*serviceTimes  // by service, of those whose servers have stated a pace
	candidates       []*Server                 // of the choice in progress, kept to save allocations
	costs            []float64                 // their estimates
	ranked           []rankedEngine            // the same for engines
	prompts          map[string]*promptService // by service whose engines state their memory
	brittle          map[string]brittleness    // by service
	storeUnavailable bool                      // the latest read of the list failed
	storeReadAt      time.Time                 // latest successful read of the list
	storeRecoveredAt time.Time                 // first successful read after an outage in which entries may have expired
	heartbeat        time.Duration             // between two writes of a server's entry
	ignoredEntries   uint64
}

// New returns an empty fleet as seen from an availability zone. inRegion reports
// whether a zone is in the same region; nil means that all zones are.
func New(zone string, inRegion func(zone string) bool, r *rand.Rand) *Fleet {
	if inRegion == nil {
		inRegion = func(string) bool { return true }
	}
	return &Fleet{
		zone: zone, inRegion: inRegion, rand: r, servers: map[string]*Server{}, services: map[string][]*Server{},
		versions: map[chestnutstream.ModelAdapter]int{}, zones: map[string]*outlierDetector{}, times: map[string]*serviceTimes{}, brittle: map[string]brittleness{}, prefill: map[string]*prefillRate{}, pauses: map[string]*pauseTracker{},
		prompts: map[string]*promptService{},
	}
}

// Server returns the server with an ID, or nil.
func (f *Fleet) Server(id string) *Server { return f.servers[id] }

// Servers returns all servers in order of ID.
func (f *Fleet) Servers() []*Server {
	out := make([]*Server, 0, len(f.servers))
	for _, s := range f.servers {
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Len returns the number of servers.
func (f *Fleet) Len() int { return len(f.servers) }

// Service returns the servers of a service in order of ID.
func (f *Fleet) Service(name string) []*Server { return f.services[name] }

// Version returns the newest declared version of an adapter. Undeclared adapters
// have version 1; base models have version 0.
func (f *Fleet) Version(target chestnutstream.ModelAdapter) int {
	if target.Adapter == "" {
		return 0
	}
	return max(f.versions[target], 1)
}

// DeclareVersion records the declaration of an adapter's version. Versions only rise.
func (f *Fleet) DeclareVersion(target chestnutstream.ModelAdapter, version int) {
	f.versions[target] = max(f.versions[target], version)
}

// RecordSent records that this instance sends a request to a server.
func (f *Fleet) RecordSent(id string) {
	if s := f.servers[id]; s != nil {
		s.InFlight++
	}
}

// RecordDone records that a request of this instance on a server has ended.
func (f *Fleet) RecordDone(id string) {
	if s := f.servers[id]; s != nil && s.InFlight > 0 {
		s.InFlight--
	}
}

// RecordLoad records the load that a server's response reports.
func (f *Fleet) RecordLoad(now time.Time, id string, running, waiting int) {
	if s := f.servers[id]; s != nil {
		l := &s.load
		l.reports = min(l.reports+1, maxCounted)
		l.mean += max(meanWeight(now.Sub(l.at)), 1/float64(l.reports)) * (float64(running+waiting) - l.mean)
		l.at, l.total, l.inFlight = now, running+waiting, s.InFlight
	}
}

// RecordOutcome records the outcome of a request to a server.
func (f *Fleet) RecordOutcome(now time.Time, id string, o Outcome, took time.Duration) {
	s := f.servers[id]
	if s == nil {
		return
	}
	s.detector.recordWeighted(now, o, took, s.failureWeight(now, o))
	z := f.zones[s.Zone]
	if z == nil {
		z = &outlierDetector{maxConnFailures: maxZoneConnFailures}
		f.zones[s.Zone] = z
	}
	if o == Responded || o == Unreachable {
		z.record(now, o, took)
	}
}

// reachable reports whether a connection to a server may be tried now. When
// connections to several servers of an availability zone fail in a row, this
// instance considers the zone cut off and tries its servers one at a time.
func (f *Fleet) reachable(now time.Time, s *Server) bool {
	z := f.zones[s.Zone]
	return s.detector.reachable(now) && (z == nil || z.reachable(now))
}

// recordPick records that a server was chosen for a request.
func (f *Fleet) recordPick(now time.Time, s *Server) {
	s.detector.recordPick(now)
	if z := f.zones[s.Zone]; z != nil {
		z.recordPick(now)
	}
}

// SuspendLoadRequests records that a server's owner takes no load requests until
// a moment.
func (f *Fleet) SuspendLoadRequests(id string, until time.Time) {
	if s := f.servers[id]; s != nil && until.After(s.noLoadRequestsUntil) {
		s.noLoadRequestsUntil = until
	}
}

// AcceptsLoadRequests reports whether load requests may be sent to a server's owner.
func (s *Server) AcceptsLoadRequests(now time.Time) bool { return !now.Before(s.noLoadRequestsUntil) }

// misplacedTimeout is how long a server gets no requests after another one
// responded at its address, unless its entry is renewed before.
const misplacedTimeout = 1500 * time.Millisecond

// RecordMisplaced records that another server responded at the address of this one. It
// gets no requests for misplacedTimeout, or until its entry is renewed.
func (f *Fleet) RecordMisplaced(now time.Time, id string) {
	if s := f.servers[id]; s != nil {
		s.Misplaced, s.misplacedAt = true, now
	}
}

// Usable reports whether a server is ready and at its address, so that it may get
// new work.
func (s *Server) Usable() bool {
	return s.State == chestnutstream.BackendReady && !s.Misplaced
}

// index rebuilds the servers by service.
func (f *Fleet) index() {
	f.services = map[string][]*Server{}
	for _, s := range f.Servers() {
		f.services[s.Service] = append(f.services[s.Service], s)
		s.times = f.times[s.Service]
	}
}

func newServer(b chestnutstream.Backend, rowVersion uint64) *Server {
	s := &Server{Backend: b, Listed: b.State, RowVersion: rowVersion, loaded: map[chestnutstream.ModelAdapter]loadedAdapter{}, hash: xxhash.Sum64String(b.ID)}
	return s
}

// mix combines two hashes into one that depends on both.
func mix(a, b uint64) uint64 {
	x := a ^ (b*0x9E3779B97F4A7C15 + 0x7F4A7C15)
	x ^= x >> 32
	x *= 0xD6E8FEB86659FD93
	x ^= x >> 29
	x *= 0xD6E8FEB86659FD93
	x ^= x >> 32
	return x
}

// targetHash returns the placement hash of a model or adapter.
func targetHash(t chestnutstream.ModelAdapter) uint64 {
	return mix(xxhash.Sum64String(t.Model), xxhash.Sum64String(t.Adapter))
}
