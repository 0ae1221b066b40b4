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
	ring []chestnutstream.Decision
	next int
}

func newTraceLog() *traceLog { return &traceLog{ring: make([]chestnutstream.Decision, 0, 256)} }

func (r *traceLog) add(d chestnutstream.Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ring) < maxTraceDecisions {
		r.ring = append(r.ring, d)
		return
	}
	r.ring[r.next] = d
	r.next = (r.next + 1) % maxTraceDecisions
}

// decisions returns the decisions on a subject, oldest first; "" selects all.
func (r *traceLog) decisions(subject string) []chestnutstream.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []chestnutstream.Decision
	for i := range r.ring {
		d := r.ring[(r.next+i)%len(r.ring)]
		if subject == "" || d.Subject == subject {
			out = append(out, d)
		}
	}
	return out
}
