package fleet

import "time"

// Figures of the judgement by pauses.
const (
	pausesKept    = 64               // streams of a service that are remembered
	pausesMany    = 8                // of them that pause for longer than is allowed
	pausesEngines = 4                // engines on which these ran at least
	pauseFault    = 2                // times the allowed pause: more is a fault's and not the reading's
	pacedFor      = 60 * time.Second // from then on prompts are sent by turns for so long
	// The share of the allowed pause that reading may fill falls with each stream
	// that pauses for too long, and rises with the others: one in eleven pauses for
	// too long then. With one in thirty, engines that are asked for more than they
	// can read serve less.
	shareFirst = 0.8
	shareLeast = 0.6
	shareMost  = 0.9
	shareLess  = 0.004
	shareMore  = 0.0004
)

// pauses remembers which of the newest streams of a service paused for too long.
type pauses struct {
	long  [pausesKept]string // the engine where a stream paused for too long; "": it did not
	next  int
	until time.Time // until when prompts are sent by turns
	share float64   // of the allowed pause that reading may fill
}

func (f *Fleet) pausesOf(service string) *pauses {
	p := f.pauses[service]
	if p == nil {
		p = &pauses{share: shareFirst}
		f.pauses[service] = p
	}
	return p
}

// Streamed takes the longest pause of a stream at an engine, and the longest that
// the routes of its service allow; 0: they name none. It reports true when many
// pause for too long, which is to be told to the other instances.
func (f *Fleet) Streamed(now time.Time, id string, pause, allowed time.Duration) bool {
	s := f.servers[id]
	if s == nil || allowed <= 0 {
		return false
	}
	p := f.pausesOf(s.Service)
	switch {
	case pause <= allowed:
		p.share = min(p.share+shareMore, shareMost)
		p.note("")
	case pause <= pauseFault*allowed:
		p.share = max(p.share-shareLess, shareLeast)
		p.note(id)
	default:
		return false
	}
	if !p.many(len(f.services[s.Service])) || p.until.Sub(now) > pacedFor/2 {
		return false
	}
	f.Pause(now, s.Service)
	return true
}

func (p *pauses) note(engine string) {
	p.long[p.next] = engine
	p.next = (p.next + 1) % pausesKept
}

// many reports whether too many streams pause for too long, on more than a few of
// the service's engines.
func (p *pauses) many(engines int) bool {
	count, at := 0, map[string]bool{}
	for _, engine := range p.long {
		if engine != "" {
			count++
			at[engine] = true
		}
	}
	return count >= pausesMany && len(at) >= min(pausesEngines, engines)
}

// Pause notes that streams of a service pause for too long, by this or another
// instance's word.
func (f *Fleet) Pause(now time.Time, service string) { f.pausesOf(service).until = now.Add(pacedFor) }

// ReadShare returns the share of the longest pause that the streams of a service
// may make which reading may fill.
func (f *Fleet) ReadShare(service string) float64 { return f.pausesOf(service).share }

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
