package entry

import (
	"sync"

	"github.com/chestnutstream/chestnutstream"
)

// maxTraceDecisions is the number of decisions that are kept.
const maxTraceDecisions = 4096

// traceLog is a ring buffer of the latest decisions.
type traceLog struct {
	mu   sync.Mutex
	ring []chestnutstream.TraceEvent
	next int
}

func newTraceLog() *traceLog { return &traceLog{ring: make([]chestnutstream.TraceEvent, 0, 256)} }

func (l *traceLog) add(d chestnutstream.TraceEvent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.ring) < maxTraceDecisions {
		l.ring = append(l.ring, d)
		return
	}
	l.ring[l.next] = d
	l.next = (l.next + 1) % maxTraceDecisions
}

// decisions returns the decisions on a subject, oldest first; "" selects all.
func (l *traceLog) decisions(subject string) []chestnutstream.TraceEvent {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []chestnutstream.TraceEvent
	for i := range l.ring {
		d := l.ring[(l.next+i)%len(l.ring)]
		if subject == "" || d.Subject == subject {
			out = append(out, d)
		}
	}
	return out
}
