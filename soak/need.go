package soak

import (
	"fmt"
	"time"

	"github.com/chestnutstream/chestnutstream/standin"
)

// What servers in need say, and the platform's bounds on it.
const (
	needRate    = 4.0             // requests a second that a server names as its limit
	needPause   = 1.5             // seconds that a server wants nothing
	needLook    = 4 * time.Second // what is judged
	needSlack   = 500 * time.Millisecond
	limitShare  = 1.5
	limitExtra  = 5
	pausedExtra = 2 // requests of an instance in one pause
)

// needs makes a server say that it wants less work, and judges what it gets in the
// last seconds of that, if nothing else was wrong.
func (r *run) needs(b *backend, f standin.BackendFaults, settle time.Duration, most int, what string) {
	if !r.begin(b) {
		return
	}
	defer r.end(b)
	time.Sleep(needSlack)
	b.SetFaults(f)
	began := time.Now()
	time.Sleep(settle + needLook)
	calm, n := r.calmSince(began), 0
	for _, at := range b.Counts().InNeed {
		if at.Sub(began) >= settle {
			n++
		}
	}
	b.SetFaults(standin.BackendFaults{})
	if calm && n > most {
		r.breaks("%s got %d requests in %v, %s: %d allowed", b.id, n, needLook, what, most)
	}
}

// begin notes that a server is in need; false: it is already, or leaves.
func (r *run) begin(b *backend) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.needy == nil {
		r.needy = map[*backend]bool{}
	}
	if r.needy[b] {
		return false
	}
	r.needy[b] = true
	return true
}

func (r *run) end(b *backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.needy, b)
}

// limits makes a server name a limit. It is judged from the contact time on.
func (r *run) limits(b *backend) {
	most := int(limitShare*needRate*needLook.Seconds()) + limitExtra
	r.needs(b, standin.BackendFaults{Limit: fmt.Sprint(needRate)}, contact, most, "where it had named a limit")
}

// pauses makes a server refuse all with the time until it wants work again. It is
// judged with one more pause than fit, since they begin at different times.
func (r *run) pauses(b *backend) {
	pauses := int(needLook.Seconds()/needPause) + 1
	r.needs(b, standin.BackendFaults{Pause: needPause}, needSlack, pauses*pausedExtra*instances, "while it wanted none")
}

// leaves makes a plain server say that it leaves, after a new one has come. Its
// entry does not.
func (r *run) leaves() {
	old := r.replaceDesk()
	if old == nil {
		return
	}
	r.needs(old, standin.BackendFaults{Leaving: true}, drainBound, 0, "after it said that it leaves")
	r.remove(old)
}
