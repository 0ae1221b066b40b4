package chestnutstream

import (
	"sort"
	"strings"
	"time"
)

// RouteKind says what may be repeated of a route's requests.
type RouteKind string

// The kinds of routes. A streaming request that may not be resumed runs at
// most once, like a non-idempotent one.
const (
	RouteIdempotent    RouteKind = "idempotent"
	RouteNonIdempotent RouteKind = "non-idempotent"
	RouteStreaming     RouteKind = "streaming"
)

// Route sends the requests of a host whose path begins with Prefix to a
// service.
type Route struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Kind          RouteKind
	Resumable     bool          // a stream may go on at another server
	Timeout       time.Duration // the longest that a request is kept waiting; 0: none
	TargetLatency time.Duration // to the whole answer, or to a stream's first event
	TargetGap     time.Duration // between the events of a stream
	Priority      int           // 0 is the most urgent
	MaxServers    int           // to how many servers one request may be sent
	Targets       []RouteTarget
}

// RouteTarget is a service that takes a share of a route's requests.
type RouteTarget struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteIdempotent || (r.Kind == RouteStreaming && r.Resumable)
}

// Target returns the service of the request with this hash: a request that is
// sent again by the same id stays with its service.
func (r *Route) Target(hash uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return r.Targets[0].Service
	}
	n := int(hash % uint64(total))
	for _, t := range r.Targets {
		if n < t.Weight {
			return t.Service
		}
		n -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// BackendService is a service of backend servers as the operator declares it.
type BackendService struct {
	Name           string
	HealthPath     string
	MaxConnections int         // to one server, from all instances together
	Engine         *EngineKind // nil: a plain service
}

// EngineKind describes the model engines of a service.
type EngineKind struct {
	Slots          int // requests in a batch
	CacheTokens    int // memory for tokens
	WeightsMB      float64
	AdapterSlots   int
	Models         []ModelKind
	StoreLoadsRate float64 // loads of models from the weight store a second, over all servers
}

// Model returns the declared model of this name, or nil.
func (e *EngineKind) Model(name string) *ModelKind {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// ModelKind is a base model that engines may hold.
type ModelKind struct {
	Name      string
	WeightsMB float64
	LoadTime  time.Duration // from the weight store
	Adapters  int
	AdapterMB float64
}

// ClientLimits bounds what callers may send.
type ClientLimits struct {
	HeaderBytes int
	BodyBytes   int64
	IdleTimeout time.Duration
}

// RouteTable is the routed part of a configuration at one version. It is never
// changed once made.
type RouteTable struct {
	Version  uint64
	Services map[string]*BackendService
	Limits   ClientLimits
	byHost   map[string][]*Route // longest prefix first
	gaps     map[string]time.Duration
}

// NewRouteTable indexes routes by host and prefix.
func NewRouteTable(version uint64, routes []*Route, services []*BackendService, limits ClientLimits) *RouteTable {
	t := &RouteTable{Version: version, Services: map[string]*BackendService{}, Limits: limits, byHost: map[string][]*Route{}}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	t.gaps = map[string]time.Duration{}
	for _, r := range routes {
		for _, target := range r.Targets {
			if gap, ok := t.gaps[target.Service]; r.TargetGap > 0 && (!ok || r.TargetGap < gap) {
				t.gaps[target.Service] = r.TargetGap
			}
		}
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, list := range t.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return t
}

// Match returns the route of a host with the longest prefix that begins path,
// or nil. A port in host does not count.
func (t *RouteTable) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// ShortestGap returns the shortest pause that a route to a service allows between
// the events of its streams; 0: none says.
func (t *RouteTable) ShortestGap(service string) time.Duration { return t.gaps[service] }

// Routes returns the number of routes.
func (t *RouteTable) Routes() int {
	n := 0
	for _, list := range t.byHost {
		n += len(list)
	}
	return n
}
