package fleet

import "time"

// Figures of the judgement by pauses.
const (
	pausesKept = 64               // streams of a service that are remembered
	pausesMany = 6                // of them that pause for longer than is allowed
	pacedFor   = 60 * time.Second // from then on prompts are sent by turns for so long
)

// pauses remembers which of the newest streams of a service paused for too long.
type pauses struct {
	long  [pausesKept]bool
	next  int
	count int       // of long ones
	until time.Time // until when prompts are sent by turns
}

func (f *Fleet) pausesOf(service string) *pauses {
	p := f.pauses[service]
	if p == nil {
		p = &pauses{}
		f.pauses[service] = p
	}
	return p
}

// Streamed takes the longest pause of a stream that has ended, and the longest
// that its service's routes allow; 0: they name none. It reports true when many
// pause for too long, which is to be told to the other instances.
func (f *Fleet) Streamed(now time.Time, service string, pause, allowed time.Duration) bool {
	if allowed <= 0 {
		return false
	}
	p := f.pausesOf(service)
	long := pause > allowed
	if p.long[p.next] {
		p.count--
	}
	if long {
		p.count++
	}
	p.long[p.next] = long
	p.next = (p.next + 1) % pausesKept
	if p.count < pausesMany || p.until.Sub(now) > pacedFor/2 {
		return false
	}
	f.Pause(now, service)
	return true
}

// Pause notes that streams of a service pause for too long, by this or another
// instance's word.
func (f *Fleet) Pause(now time.Time, service string) { f.pausesOf(service).until = now.Add(pacedFor) }

// Paced reports whether prompts for a service are sent by turns.
func (f *Fleet) Paced(now time.Time, service string) bool {
	p := f.pauses[service]
	return p != nil && now.Before(p.until)
}

// NoTurns notes that an engine's owner does not answer asks for turns.
func (f *Fleet) NoTurns(id string, until time.Time) {
	if s := f.servers[id]; s != nil {
		s.noTurns = until
	}
}

// GivesTurns reports whether an engine's owner may be asked for turns.
func (s *Server) GivesTurns(now time.Time) bool { return !now.Before(s.noTurns) }
