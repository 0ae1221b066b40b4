package chestnutstream

import (
	"fmt"
	"strings"
	"time"
)

// Configuration is the configuration document at one revision, validated as a
// whole. It is immutable: a request keeps the one under which it was admitted.
type Configuration struct {
	Head             Head
	Adapters         map[string]AdapterSettings
	Services         map[string]ServiceSettings
	Classes          map[string]ClassSettings
	Servers          map[string]ServerSettings
	ObjectiveWeights ObjectiveWeights
	Limits           Limits
	Owners           []SectionOwner
}

// Revision returns the document's revision. Revisions only increase.
func (c *Configuration) Revision() uint64 { return c.Head.Revision }

// Head lists the sections of the document at a revision.
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
	Name           string
	BaseModel      string
	Versions       []string
	Current        string   // the version for requests that name none
	AllowedCallers []string // names of callers; "*" allows any
}

// Allows reports whether a caller may use the adapter.
func (a AdapterSettings) Allows(caller string) bool { return allowsCaller(a.AllowedCallers, caller) }

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
	AllowedCallers []string
	Idempotent     []CallPattern
	NotRunStatuses []int // response statuses that mean that the call was refused and did not run
}

// Allows reports whether a caller may use the service.
func (s ServiceSettings) Allows(caller string) bool { return allowsCaller(s.AllowedCallers, caller) }

// IsIdempotent reports whether a call matches an idempotent pattern, so that it may
// be repeated.
func (s ServiceSettings) IsIdempotent(method, path string) bool {
	for _, p := range s.Idempotent {
		if p.Method == method && (path == p.Path || strings.HasPrefix(path, strings.TrimSuffix(p.Path, "/")+"/")) {
			return true
		}
	}
	return false
}

// IsNotRunStatus reports whether a response status means that the service refused
// the call and did not run it.
func (s ServiceSettings) IsNotRunStatus(status int) bool {
	for _, n := range s.NotRunStatuses {
		if n == status {
			return true
		}
	}
	return false
}

// allowsCaller reports whether a list of callers has the caller or "*".
func allowsCaller(callers []string, caller string) bool {
	for _, c := range callers {
		if c == "*" || c == caller {
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

// ClassSettings declares a request class. Classes of higher urgency go first.
type ClassSettings struct {
	Name       string
	Urgency    int // 1 to 100
	Timeout    time.Duration
	QueueLimit int // waiting requests of this class on one instance
}

// UrgentThreshold is the lowest urgency of a class that counts as urgent: someone waits
// for the response.
const UrgentThreshold = 50

// Urgent reports whether the class counts as urgent: someone waits for the response.
func (c ClassSettings) Urgent() bool { return c.Urgency >= UrgentThreshold }

// ServerKind distinguishes model engines from plain services.
type ServerKind string

// The kinds of backend servers.
const (
	KindEngine  ServerKind = "engine"
	KindService ServerKind = "service"
)

// ServerSettings declares a backend server.
type ServerSettings struct {
	Name                string
	Kind                ServerKind
	Zone                string
	Address             string // "host:port"; the platform's list takes precedence
	BaseModel           string // engines only
	Service             string // plain services only
	ChecksFencingTokens bool   // the engine rejects orders with an old fencing token
}

// ObjectiveWeights weights the users' two objectives. The weights need not sum to 1.
type ObjectiveWeights struct {
	LoadStall       float64
	BatchEfficiency float64
}

// StallShare returns the normalized weight of load stalls, between 0 and 1.
func (w ObjectiveWeights) StallShare() float64 {
	if w.LoadStall+w.BatchEfficiency <= 0 {
		return 0.5
	}
	return w.LoadStall / (w.LoadStall + w.BatchEfficiency)
}

// Limits limits the requests that one instance holds and the loads from the weight
// store.
type Limits struct {
	BodyBytes       int64
	QueuePerAdapter int
	QueueTotal      int
	RetryRatio      float64 // retries per first attempt
	LoadsInFlight   int     // from the weight store, over all servers and instances
	LoadsPerSecond  float64 // from the weight store, over all servers and instances
	Zones           int     // availability zones that share the weight store
}

// SectionOwner names the team that may change a section.
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

// ResolveError reports why a model name cannot be resolved.
type ResolveError struct {
	Code   string // "unknown-adapter", "unknown-version" or "not-allowed"
	Reason string
}

// Error implements error.
func (e *ResolveError) Error() string { return e.Reason }

// Resolve returns the adapter version that a caller's model name refers to. It
// fails with a *ResolveError.
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
