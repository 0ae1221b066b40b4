package connlimit

import (
	"math"
	"syscall"
)

// Machine is what a process may use.
type Machine struct {
	Descriptors int   // 0: the limit of the process
	MemoryBytes int64 // 0: defaultMemory
}

const (
	defaultMemory  = 512 << 20
	maxDescriptors = 1 << 16 // more are not counted on, whatever the limit of the process

	softLimitShare = 0.7      // of the machine's memory, for the Go runtime
	outsideRuntime = 40 << 20 // left for the program's text, and for what the runtime exceeds its limit by

	headMemoryShare    = 0.1  // of the machine's memory, for incomplete heads
	requestMemoryShare = 0.12 // for the heads of requests in progress
	minConnections     = 16
	minMemory          = 1 << 20 // more than one head of any kind within the limits takes
)

// SoftMemoryLimit returns the soft limit of the Go runtime's memory on the machine.
func (m Machine) SoftMemoryLimit() int64 {
	limit := int64(softLimitShare * float64(m.MemoryBytes))
	return max(min(limit, m.MemoryBytes-outsideRuntime), limit/2)
}

// Kind is the use of a listener, which determines its part.
type Kind string

// The kinds of listeners.
const (
	KindCallers   Kind = "callers"
	KindPeers     Kind = "peers"
	KindReadiness Kind = "readiness"
	KindMetrics   Kind = "metrics"
)

// share is the part of a kind of listener.
type share struct{ descriptors, memory float64 }

// shares are the parts. The remaining descriptors are for connections to servers, the store
// and other instances, and for files: a request in progress has one connection to its caller
// and at most one to a server, and a machine has fewer requests in progress than idle callers.
var shares = map[Kind]share{
	KindCallers:   {0.5, 0.6},
	KindPeers:     {0.15, 0.25},
	KindReadiness: {0.03, 0.05},
	KindMetrics:   {0.03, 0.05},
}

// Shares returns the limits of a listener on a machine.
func Shares(m Machine, k Kind) Limits {
	if m.Descriptors <= 0 {
		m.Descriptors = maxDescriptors
		var limit syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < maxDescriptors {
			m.Descriptors = int(limit.Cur)
		}
	}
	if m.MemoryBytes <= 0 {
		m.MemoryBytes = defaultMemory
	}
	s := shares[k]
	memory := func(of float64) int64 {
		return int64(math.Max(minMemory, of*s.memory*float64(m.MemoryBytes)))
	}
	return Limits{
		Connections:   max(minConnections, int(s.descriptors*float64(m.Descriptors))),
		HeadMemory:    memory(headMemoryShare),
		RequestMemory: memory(requestMemoryShare),
	}
}
