package entry

import (
	"sync"

	"github.com/chestnutstream/chestnutstream"
)

// maxTraceEvents is the number of trace events that are kept.
const maxTraceEvents = 4096

// traceLog is a ring buffer of the latest trace events.
type traceLog struct {
	mu   sync.Mutex
	ring []chestnutstream.TraceEvent
	next int
}

func newTraceLog() *traceLog { return &traceLog{ring: make([]chestnutstream.TraceEvent, 0, 256)} }

func (l *traceLog) add(e chestnutstream.TraceEvent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.ring) < maxTraceEvents {
		l.ring = append(l.ring, e)
		return
	}
	l.ring[l.next] = e
	l.next = (l.next + 1) % maxTraceEvents
}

// events returns the trace events on a subject, oldest first; "" selects all.
func (l *traceLog) events(subject string) []chestnutstream.TraceEvent {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []chestnutstream.TraceEvent
	for i := range l.ring {
		e := l.ring[(l.next+i)%len(l.ring)]
		if subject == "" || e.Subject == subject {
			out = append(out, e)
		}
	}
	return out
}
