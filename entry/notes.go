package entry

import (
	"sync"

	"github.com/chestnutstream/chestnutstream"
)

// notesKept bounds the record of decisions.
const notesKept = 4096

// notes is a ring of the newest decisions.
type notes struct {
	mu   sync.Mutex
	ring []chestnutstream.Decision
	next int
}

func newNotes() *notes { return &notes{ring: make([]chestnutstream.Decision, 0, 256)} }

func (r *notes) add(d chestnutstream.Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ring) < notesKept {
		r.ring = append(r.ring, d)
		return
	}
	r.ring[r.next] = d
	r.next = (r.next + 1) % notesKept
}

// about returns the decisions on a subject, oldest first; on all for "".
func (r *notes) about(subject string) []chestnutstream.Decision {
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
