package chestnutstream

import (
	"fmt"
	"strings"
	"time"
)

// Configuration is the configuration document of one revision, checked as a
// whole. It is never changed once made: a request keeps the one under which it
// was admitted.
type Configuration struct {
	Head     Head
	Adapters map[string]AdapterSettings
	Services map[string]ServiceSettings
	Classes  map[string]ClassSettings
	Servers  map[string]ServerSettings
	Measures Measures
	Limits   Limits
	Owners   []SectionOwner
}

// Revision returns the document's revision. It only ever rises.
func (c *Configuration) Revision() uint64 { return c.Head.Revision }

// Head says which content each section has at a revision.
type Head struct {
	Revision uint64
	Sections map[string]SectionHead
}

// SectionHead is one section at a revision: the revision that last changed it
// and the hash that names its content in the object store.
type SectionHead struct {
	Revision uint64
	Hash     string
}

// AdapterSettings declares an adapter, its versions and who may use it.
type AdapterSettings struct {
	Name      string
	BaseModel string
	Versions  []string
	Current   string   // the version that a request without one gets
	MayUse    []string // callers; "*" is any
}

// Allows reports whether a caller may use the adapter.
func (a AdapterSettings) Allows(caller string) bool { return contains(a.MayUse, caller) }

// HasVersion reports whether the adapter has the version.
func (a AdapterSettings) HasVersion(v string) bool {
	for _, have := range a.Versions {
		if have == v {
			return true
		}
	}
	return false
}

// ServiceSettings declares a plain service.
type ServiceSettings struct {
	Name           string
	MayUse         []string
	Idempotent     []CallPattern
	NotRunStatuses []int // statuses by which the service says that it refused and did not run
}

// Allows reports whether a caller may use the service.
func (s ServiceSettings) Allows(caller string) bool { return contains(s.MayUse, caller) }

// IsIdempotent reports whether a call may be repeated.
func (s ServiceSettings) IsIdempotent(method, path string) bool {
	for _, p := range s.Idempotent {
		if p.Method == method && (path == p.Path || strings.HasPrefix(path, strings.TrimSuffix(p.Path, "/")+"/")) {
			return true
		}
	}
	return false
}

// RefusalStatus reports whether the service says by this status that the call
// did not run.
func (s ServiceSettings) RefusalStatus(status int) bool {
	for _, n := range s.NotRunStatuses {
		if n == status {
			return true
		}
	}
	return false
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == "*" || n == name {
			return true
		}
	}
	return false
}

// CallPattern matches calls by method and path prefix.
type CallPattern struct {
	Method string
	Path   string
}

// ClassSettings declares a request class. A higher urgency goes first.
type ClassSettings struct {
	Name       string
	Urgency    int // 1 to 100
	Timeout    time.Duration
	QueueLimit int // waiting requests of this class on one instance
}

// UrgentFrom is the urgency from which a class counts as urgent: someone waits
// for the answer.
const UrgentFrom = 50

// Urgent reports whether someone waits for the answer.
func (c ClassSettings) Urgent() bool { return c.Urgency >= UrgentFrom }

// ServerKind tells model engines from plain services.
type ServerKind string

// The kinds of backend servers.
const (
	KindEngine  ServerKind = "engine"
	KindService ServerKind = "service"
)

// ServerSettings declares a backend server.
type ServerSettings struct {
	Name         string
	Kind         ServerKind
	Zone         string
	Address      string // "host:port"; the platform's list overrides it
	BaseModel    string // of an engine
	Service      string // of a plain service
	ChecksFences bool   // the engine refuses orders with an old fencing number
}

// Measures weighs the users' two measures. The weights need not sum to 1.
type Measures struct {
	LoadStall       float64
	BatchEfficiency float64
}

// StallShare returns the weight of load stalls between 0 and 1.
func (m Measures) StallShare() float64 {
	if m.LoadStall+m.BatchEfficiency <= 0 {
		return 0.5
	}
	return m.LoadStall / (m.LoadStall + m.BatchEfficiency)
}

// Limits bounds what one instance holds.
type Limits struct {
	BodyBytes       int64
	QueuePerAdapter int
	QueueTotal      int
	RetryShare      float64 // retries per first attempt
	LoadsInFlight   int     // of the weight store, over all servers and instances
	LoadsPerSecond  float64 // of the weight store, over all servers and instances
	Zones           int     // availability zones that share the weight store
}

// SectionOwner says which team may change a section.
type SectionOwner struct {
	Section string
	Team    string
}

// Resolved is an adapter version resolved under one configuration revision.
type Resolved struct {
	AdapterVersion AdapterVersion
	BaseModel      string
	Revision       uint64
}

// ResolveError says why a name does not resolve.
type ResolveError struct {
	Code   string // "unknown-adapter", "unknown-version" or "not-allowed"
	Reason string
}

// Error implements error.
func (e *ResolveError) Error() string { return e.Reason }

// Resolve finds the adapter version that a caller's model name stands for.
func (c *Configuration) Resolve(model, caller string) (Resolved, error) {
	name, err := ParseAdapterVersion(model)
	if err != nil {
		return Resolved{}, &ResolveError{Code: "unknown-adapter", Reason: err.Error()}
	}
	a, ok := c.Adapters[name.Adapter]
	if !ok {
		return Resolved{}, &ResolveError{Code: "unknown-adapter", Reason: fmt.Sprintf("no adapter %q at revision %d", name.Adapter, c.Revision())}
	}
	if !a.Allows(caller) {
		return Resolved{}, &ResolveError{Code: "not-allowed", Reason: fmt.Sprintf("%q may not use adapter %q", caller, a.Name)}
	}
	if name.Version == "" {
		name.Version = a.Current
	}
	if !a.HasVersion(name.Version) {
		return Resolved{}, &ResolveError{Code: "unknown-version", Reason: fmt.Sprintf("adapter %q has no version %q at revision %d", a.Name, name.Version, c.Revision())}
	}
	return Resolved{AdapterVersion: name, BaseModel: a.BaseModel, Revision: c.Revision()}, nil
}
