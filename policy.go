package chestnutstream

import "time"

// LoadCandidate is an adapter version that requests wait for on a backend
// server and that is not loaded there.
type LoadCandidate struct {
	Server         string
	AdapterVersion AdapterVersion
	Waiting        int           // requests, over all instances
	Urgent         int           // those for whose answer someone waits
	Weight         float64       // sum of their urgencies
	Oldest         time.Duration // age of the oldest
	Slack          time.Duration // until the first deadline
}

// SlotUse is a loaded adapter version and how it is used.
type SlotUse struct {
	Slot     Slot
	Uses     int     // requests in progress, over all instances
	Rate     float64 // recent requests a second, decaying
	LastUsed time.Time
	LoadedAt time.Time
}

// LoadPolicy decides what an owner loads next and what makes room for it. It
// must be deterministic; it never decides whether an unload is safe.
type LoadPolicy interface {
	// Priority of a candidate; the highest is loaded first.
	Priority(m Measures, c LoadCandidate) float64
	// Victim returns the index of the slot that makes room for c, or -1.
	// draining says that the slot is still in use and takes no new requests
	// until its requests have ended.
	Victim(now time.Time, m Measures, c LoadCandidate, slots []SlotUse) (i int, draining bool)
}

// ServerLoad is what an instance knows of a backend server when it places
// requests.
type ServerLoad struct {
	Server      string
	Zone        string
	Outstanding int // running and waiting by the last report, plus what was sent since
	BatchLimit  int
	SlotLimit   int
	Idle        int // slots that are free or in no use, over all instances, late
	Wanted      int // adapter versions that this instance wants loaded there
	State       SlotState
	Loadable    bool // its owner takes wants
	Usable      bool // the adapter version is ready there and may be used now
}

// QueueView is a queue of requests for one adapter version.
type QueueView struct {
	Key            string
	AdapterVersion AdapterVersion
	Waiting        int
	MaxUrgency     int
	Oldest         time.Duration
	Wanted         []string // servers on which it is wanted now
	Measures       Measures
}

// PlacementPolicy decides where an instance sends requests and where it wants
// adapters loaded. It must be deterministic but for its seeded source.
type PlacementPolicy interface {
	// QueueKey groups requests that share loads.
	QueueKey(requestID string, av AdapterVersion) string
	// Eligible reports whether the queue may run on a server at all.
	Eligible(q QueueView, l ServerLoad) bool
	// Choose returns the index of the server that takes the queue's next
	// request, or -1 to let it wait. Only eligible
	// servers that are usable are passed.
	Choose(q QueueView, urgency int, usable []ServerLoad) int
	// Want returns the servers on which the queue's adapter version should be
	// loaded now; all servers that may load it are passed.
	Want(q QueueView, servers []ServerLoad) []string
}
