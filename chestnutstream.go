// Package chestnutstream holds the domain types and the interfaces of a
// serving layer for very many LoRA adapters.
//
// An entry instance takes a caller's HTTP request, resolves the adapter that
// it names under one configuration revision, chooses a backend server that has
// the adapter loaded (or gets it loaded), relays the response, and reports the
// request's true outcome: ran, not-run or unknown.
//
// # Layout
//
// The root package has only data and interfaces. The packages below it are
// named after what they communicate with:
//
//	caller    the HTTP pipeline for callers; start with pipeline.go
//	engine    model engines: placement, load scheduling, streams
//	service   plain services: idempotent and non-idempotent calls
//	platform  the platform's formats: settings file, headers, store calls, server calls
//	table     claims and the instance's lease, kept in the platform's table service
//	peer      the other entry instances: state exchange over WebSocket and CBOR
//	operator  the configuration document and the operators' HTTP interface
//	timer     the timer service
//	entry     a complete entry instance
//	standin   stand-ins for platform, engines and services
//	load      the load and experiment tool
//
// On the users' platform (docs/design/platform.md) one instance is:
//
//	ingress     the routed HTTP interface; start with server.go
//	fleet       the backend servers: list, outlier detection, placement, retry budget
//	lease       the leases that decide which instance gives orders to which engine
//	permit      the permits for servers with a rate limit
//	quarantine  what requests that crash servers have in common
//	loader      the orders to one engine; start with loader.go
//	instance    the other instances, over WebSocket and CBOR
//	oncall      log lines on standard output, limited in number
//	edge        a complete instance
//	soak        real processes under random faults
//	tcp, citest small helpers
//
// # Usage
//
//	go run ./cmd/chestnutstream demo
//
// starts a complete deployment on loopback. Decision logic is written as state
// machines without goroutines, clocks, sockets or unseeded randomness:
//
//	s := engine.NewScheduler("entry-a1", engine.DefaultSchedulerSettings(), engine.DefaultLoads{})
//	actions := s.Step(now, engine.PeerStateReceived{Peer: "entry-b1", Demand: demand})
//
// so that the same code runs in production, in the stateful tests and in the
// differential tests against the naive policy.
package chestnutstream

import (
	"fmt"
	"strings"
	"time"
)

// AdapterVersion identifies one immutable set of adapter weights.
type AdapterVersion struct {
	Adapter string
	Version string
}

// String returns the form that callers use: ADAPTER@VERSION.
func (a AdapterVersion) String() string { return a.Adapter + "@" + a.Version }

// ParseAdapterVersion parses ADAPTER or ADAPTER@VERSION. The version is empty if
// none is given. It fails on an empty adapter, an empty version after an @, or a
// name with characters other than letters, digits, '-', '_' and '.'.
func ParseAdapterVersion(s string) (AdapterVersion, error) {
	adapter, version, named := strings.Cut(s, "@")
	if !ValidName(adapter) {
		return AdapterVersion{}, fmt.Errorf("adapter name %.80q: want letters, digits, '-', '_' or '.', at most %d", adapter, MaxNameBytes)
	}
	if named && !ValidName(version) {
		return AdapterVersion{}, fmt.Errorf("version %.80q of adapter %q: want letters, digits, '-', '_' or '.', at most %d", version, adapter, MaxNameBytes)
	}
	return AdapterVersion{Adapter: adapter, Version: version}, nil
}

// MaxNameBytes limits the names of adapters, versions, servers and services.
const MaxNameBytes = 128

// ValidName reports whether s is a valid name of an adapter, a version, a server, a
// service or a team.
func ValidName(s string) bool {
	if s == "" || len(s) > MaxNameBytes {
		return false
	}
	for _, c := range s {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '-', c == '_', c == '.':
		default:
			return false
		}
	}
	return true
}

// LoadName is the engine-side name of one load of an adapter version:
// ADAPTER@VERSION:LOAD-ID. It is unique per load order, so that a delayed order
// or request cannot refer to a later load of the same version.
type LoadName string

// NewLoadName returns the engine-side name of one load.
func NewLoadName(a AdapterVersion, loadID string) LoadName {
	return LoadName(a.String() + ":" + loadID)
}

// AdapterVersion returns the adapter version of the load.
func (n LoadName) AdapterVersion() (AdapterVersion, error) {
	full, id, ok := strings.Cut(string(n), ":")
	if !ok || id == "" {
		return AdapterVersion{}, fmt.Errorf("load name %q: want ADAPTER@VERSION:LOAD-ID", string(n))
	}
	a, err := ParseAdapterVersion(full)
	if err != nil {
		return AdapterVersion{}, fmt.Errorf("load name %q: %w", string(n), err)
	}
	if a.Version == "" {
		return AdapterVersion{}, fmt.Errorf("load name %q: no version", string(n))
	}
	return a, nil
}

// Outcome states whether a request ran.
type Outcome string

// The outcomes. NotRun guarantees that the request did not run and will not run.
// Unknown is reported whenever a byte of the request was written to a connection
// and no complete response came back.
const (
	Ran     Outcome = "ran"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// SlotState is the state of one adapter slot of an engine.
type SlotState string

// The slot states. Only a ready slot takes new requests; a retiring slot is about
// to be unloaded and waits until no instance uses it.
const (
	SlotLoading  SlotState = "loading"
	SlotReady    SlotState = "ready"
	SlotRetiring SlotState = "retiring"
)

// Slot is one occupied adapter slot of an engine.
type Slot struct {
	Name           LoadName
	AdapterVersion AdapterVersion
	State          SlotState
}

// ServerReport is the state of a backend server that its owner sends to the other
// instances. Running and Waiting are the engine's own figures and lag.
type ServerReport struct {
	Server     string
	Leaving    bool
	Reachable  bool
	Running    int
	Waiting    int
	BatchLimit int
	SlotLimit  int
	Slots      []Slot
}

// InstanceState is the lifecycle state of an instance or backend server.
type InstanceState string

// The instance states of the platform's list.
const (
	Live    InstanceState = "live"
	Leaving InstanceState = "leaving"
)

// InstanceRole distinguishes entry instances from backend servers in the list.
type InstanceRole string

// The roles in the platform's list of instances.
const (
	RoleEntry   InstanceRole = "entry"
	RoleBackend InstanceRole = "backend"
)

// Instance is an entry of the platform's list of live and leaving instances.
type Instance struct {
	Name    string
	Address string
	Region  string
	Zone    string
	Role    InstanceRole
	State   InstanceState
}

// Demand is the demand of one instance for an adapter version on a server. Weight
// is the sum of the urgencies of the waiting requests, Urgent the number of
// requests of an urgent class; OldestMS is the age of the oldest request and
// SlackMS the time until the earliest deadline, in milliseconds.
type Demand struct {
	Server         string
	AdapterVersion AdapterVersion
	Waiting        int
	Urgent         int
	Weight         float64
	OldestMS       int64
	SlackMS        int64
}

// TraceEvent is a trace event in the bounded log that the explain command reads.
type TraceEvent struct {
	At      time.Time
	Subject string // request ID, or server name for load decisions
	Step    string
	Detail  string
}
