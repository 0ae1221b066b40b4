package chestnutstream

import "time"

// LoadCandidate is an adapter version that is not loaded on a backend server and
// for which requests wait there.
type LoadCandidate struct {
	Server         string
	AdapterVersion AdapterVersion
	Waiting        int           // requests, over all instances
	Urgent         int           // waiting requests of an urgent class
	Weight         float64       // sum of the urgencies of the waiting requests
	Oldest         time.Duration // age of the oldest request
	Slack          time.Duration // until the earliest deadline
}

// SlotUsage is a loaded adapter version and its usage.
type SlotUsage struct {
	Slot       Slot
	InProgress int     // requests in progress, over all instances
	Rate       float64 // recent requests per second, decaying
	LastUsed   time.Time
	LoadedAt   time.Time
}

// LoadPolicy decides which adapter an owner loads next and which one it evicts. It
// must be deterministic; whether an unload is safe is not its decision.
type LoadPolicy interface {
	// Priority returns the priority of a candidate; the highest is loaded first.
	Priority(w ObjectiveWeights, c LoadCandidate) float64
	// Victim returns the index of the slot to evict for c, or -1 for none.
	// draining means that the slot is still in use: it takes no new requests and
	// is unloaded when its requests have ended.
	Victim(now time.Time, w ObjectiveWeights, c LoadCandidate, slots []SlotUsage) (i int, draining bool)
}

// ServerLoad is the load of a backend server as the placing instance knows it.
type ServerLoad struct {
	Server         string
	Zone           string
	Outstanding    int // running and waiting requests in the last report, plus those sent since
	BatchLimit     int
	SlotLimit      int
	Idle           int // slots that are free or not in use by any instance; lags
	DemandVersions int // adapter versions for which this instance has signaled demand there
	State          SlotState
	AcceptsDemand  bool // its owner accepts demand
	Usable         bool // the adapter version is ready there and may be used now
}

// QueueView is a queue of requests for one adapter version.
type QueueView struct {
	Key              string
	AdapterVersion   AdapterVersion
	Waiting          int
	MaxUrgency       int
	Oldest           time.Duration
	DemandServers    []string // servers on which there is demand for it now
	ObjectiveWeights ObjectiveWeights
}

// PlacementPolicy decides to which servers an instance sends requests and on which
// it signals demand for adapters. It must be deterministic for a given random seed.
type PlacementPolicy interface {
	// QueueKey returns the key of the queue that a request joins; requests in one
	// queue share loads.
	QueueKey(requestID string, av AdapterVersion) string
	// Eligible reports whether requests of the queue may run on a server at all.
	Eligible(q QueueView, l ServerLoad) bool
	// Choose returns the index of the server that takes the queue's next
	// request, or -1 to let the request wait. usable has only servers that are
	// eligible and usable.
	Choose(q QueueView, urgency int, usable []ServerLoad) int
	// DemandServers returns the servers on which the queue's adapter version should be
	// loaded now. servers has all servers that may load it.
	DemandServers(q QueueView, servers []ServerLoad) []string
}
