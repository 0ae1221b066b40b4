package chestnutstream

import (
	"math"
	"sort"
	"strconv"
	"strings"
	"time"
)

// RouteKind determines whether a route's requests may be repeated.
type RouteKind string

// The kinds of routes. A streaming request that may not be resumed runs at
// most once, like a non-idempotent one.
const (
	RouteIdempotent    RouteKind = "idempotent"
	RouteNonIdempotent RouteKind = "non-idempotent"
	RouteStreaming     RouteKind = "streaming"
)

// Route sends the requests for a host whose path begins with Prefix to a service.
type Route struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Kind          RouteKind
	Resumable     bool          // a stream may be resumed on another server
	Timeout       time.Duration // maximum wait of a request; 0: none
	TargetLatency time.Duration // until the complete response, or a stream's first event
	TargetGap     time.Duration // between the events of a stream
	Priority      int           // 0 is the most urgent
	MaxServers    int           // maximum number of servers to which a request is sent
	Public        bool          // callers need no key of a workspace
	Targets       []RouteTarget
}

// RouteTarget is a service that receives a share of a route's requests.
type RouteTarget struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteIdempotent || (r.Kind == RouteStreaming && r.Resumable)
}

// Target returns the service for the request ID with this hash. A request that is
// repeated under its ID goes to the same service.
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

// BackendService is a service of backend servers, as declared by the operator.
type BackendService struct {
	Name           string
	HealthPath     string
	MaxConnections int         // to one server, from all instances together
	Engine         *EngineSpec // nil: a plain service
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	Slots               int     // batch size in requests
	KVCacheTokens       int     // KV cache capacity
	WeightsMB           float64 // of base models and adapters together, in MB; 0: no limit is stated
	AdapterSlots        int
	Models              []ModelSpec
	StoreLoadsPerSecond float64 // model loads from the weight store, over all servers
}

// Model returns the declared model of this name, or nil if there is none.
func (e *EngineSpec) Model(name string) *ModelSpec {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// Lists reports whether the configuration has a base model, or an adapter of one. One that
// names no models has all.
func (e *EngineSpec) Lists(target ModelAdapter) bool {
	if len(e.Models) == 0 {
		return true
	}
	m := e.Model(target.Model)
	return m != nil && (target.Adapter == "" || m.HasAdapter(target.Adapter))
}

// Fits reports whether an engine that holds nothing else can load a base model, or an
// adapter with its base model. A model that is not declared counts as of size 0.
func (e *EngineSpec) Fits(target ModelAdapter) bool {
	m := e.Model(target.Model)
	switch {
	case target.Adapter != "" && e.AdapterSlots < 1:
		return false
	case m == nil:
		return true
	case target.Adapter == "":
		return m.WeightsMB <= e.MaxWeightsMB()
	}
	return m.WeightsMB+m.AdapterMB <= e.MaxWeightsMB()
}

// MaxWeightsMB returns the weights that an engine holds, in MB; without a limit in the
// configuration it is infinite.
func (e *EngineSpec) MaxWeightsMB() float64 {
	if e.WeightsMB <= 0 {
		return math.Inf(1)
	}
	return e.WeightsMB
}

// ModelSpec describes a base model that engines may load.
type ModelSpec struct {
	Name      string
	WeightsMB float64
	LoadTime  time.Duration // from the weight store
	Adapters  int           // they are named a1, a2, and so on
	// AnyAdapter is set if the number of adapters is not stated.
	AnyAdapter bool
	AdapterMB  float64
}

// HasAdapter reports whether the model has an adapter of this name.
func (m *ModelSpec) HasAdapter(name string) bool {
	if m.AnyAdapter {
		return true
	}
	n, err := strconv.Atoi(strings.TrimPrefix(name, "a"))
	return err == nil && n >= 1 && n <= m.Adapters && name == "a"+strconv.Itoa(n)
}

// ClientLimits limits what callers may send.
type ClientLimits struct {
	HeaderBytes   int
	HeaderTimeout time.Duration // for the head of a request; 0: not stated
	BodyBytes     int64
	IdleTimeout   time.Duration
}

// RouteTable is the routing part of one configuration version. It is immutable.
type RouteTable struct {
	Version  uint64
	Services map[string]*BackendService
	Limits   ClientLimits
	// Workspaces are the workspaces by name; nil: callers present no keys.
	Workspaces map[string]*Workspace
	byKey      map[KeyDigest]*Workspace
	byHost     map[string][]*Route      // longest prefix first
	minGaps    map[string]time.Duration // smallest TargetGap, by service
	priorities map[string]priorityRange // of the routes, by service
	// MaxStreamTime is the longest Timeout of a route with streams that can be resumed, and
	// 0 if one of them has none.
	MaxStreamTime time.Duration
}

// priorityRange is the range of the priorities of routes.
type priorityRange struct{ first, last int }

// NewRouteTable returns a table of the routes, indexed by host and prefix.
func NewRouteTable(version uint64, routes []*Route, services []*BackendService, limits ClientLimits) *RouteTable {
	t := &RouteTable{Version: version, Services: map[string]*BackendService{}, Limits: limits, byHost: map[string][]*Route{}}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	t.minGaps, t.priorities = map[string]time.Duration{}, map[string]priorityRange{}
	unlimited := false
	for _, r := range routes {
		if r.Kind == RouteStreaming && r.Resumable {
			t.MaxStreamTime = max(t.MaxStreamTime, r.Timeout)
			unlimited = unlimited || r.Timeout == 0
		}
		for _, target := range r.Targets {
			if gap, ok := t.minGaps[target.Service]; r.TargetGap > 0 && (!ok || r.TargetGap < gap) {
				t.minGaps[target.Service] = r.TargetGap
			}
			p, ok := t.priorities[target.Service]
			if !ok {
				p = priorityRange{r.Priority, r.Priority}
			}
			t.priorities[target.Service] = priorityRange{min(p.first, r.Priority), max(p.last, r.Priority)}
		}
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	if unlimited {
		t.MaxStreamTime = 0
	}
	for _, hostRoutes := range t.byHost {
		sort.SliceStable(hostRoutes, func(i, j int) bool { return len(hostRoutes[i].Prefix) > len(hostRoutes[j].Prefix) })
	}
	return t
}

// Match returns the route of a host whose prefix is the longest to match path, or
// nil. A port in host is ignored.
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

// Lists reports whether a service may be asked for a base model or adapter: its engines have
// it, it has no engines, or none is named.
func (t *RouteTable) Lists(service string, target ModelAdapter) bool {
	s := t.Services[service]
	return s == nil || s.Engine == nil || target.Model == "" || s.Engine.Lists(target)
}

// MinTargetGap returns the smallest TargetGap of the routes to a service; 0: no
// route sets one.
func (t *RouteTable) MinTargetGap(service string) time.Duration { return t.minGaps[service] }

// HasSeveralPriorities reports whether the routes to a service have several priorities.
func (t *RouteTable) HasSeveralPriorities(service string) bool {
	p := t.priorities[service]
	return p.first != p.last
}

// Routes returns the number of routes.
func (t *RouteTable) Routes() int {
	n := 0
	for _, hostRoutes := range t.byHost {
		n += len(hostRoutes)
	}
	return n
}
