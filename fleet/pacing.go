package fleet

import "time"

// Parameters of prefill pacing. Long prefills on an engine pause the streams that
// run there; when many streams pause for too long, prompts need a prefill grant of
// the engine's owner.
const (
	pauseHistorySize = 64               // latest streams of a service that are tracked
	minLongPauses    = 8                // of them with a pause over the allowed one, for pacing to begin
	minPausedEngines = 4                // engines on which these streams ran
	maxPauseFactor   = 2                // times the allowed pause: a longer one comes from a fault, not from prefill
	pacingDuration   = 60 * time.Second // how long prompts are then sent by prefill grants
	// The share of the allowed pause that prefill may fill falls with each stream
	// that pauses for too long and rises with every other one; it is in balance when
	// one stream in eleven pauses for too long. With one in thirty, engines that get
	// more prompts than they can prefill serve less.
	initialPauseShare  = 0.8
	minPauseShare      = 0.6
	maxPauseShare      = 0.9
	pauseShareDecrease = 0.004
	pauseShareIncrease = 0.0004
)

// pauseTracker tracks which of the latest streams of a service paused for too
// long.
type pauseTracker struct {
	history    [pauseHistorySize]string // ring buffer: the engine of a stream that paused for too long; "": it did not
	next       int
	pacedUntil time.Time // prompts are sent by prefill grants until then
	share      float64   // of the allowed pause that prefill may fill
}

func (f *Fleet) pauseTracker(service string) *pauseTracker {
	p := f.pauses[service]
	if p == nil {
		p = &pauseTracker{share: initialPauseShare}
		f.pauses[service] = p
	}
	return p
}

// RecordStreamPause records the longest pause of a stream on an engine. allowed is the
// longest pause that the routes of its service allow; 0: they name none. It
// returns true when pacing begins or is extended because many streams pause for
// too long; the caller then notifies the other instances.
func (f *Fleet) RecordStreamPause(now time.Time, id string, pause, allowed time.Duration) bool {
	s := f.servers[id]
	if s == nil || allowed <= 0 {
		return false
	}
	p := f.pauseTracker(s.Service)
	switch {
	case pause <= allowed:
		p.share = min(p.share+pauseShareIncrease, maxPauseShare)
		p.record("")
	case pause <= maxPauseFactor*allowed:
		p.share = max(p.share-pauseShareDecrease, minPauseShare)
		p.record(id)
	default:
		return false
	}
	if !p.exceeded(len(f.services[s.Service])) || p.pacedUntil.Sub(now) > pacingDuration/2 {
		return false
	}
	f.StartPacing(now, s.Service)
	return true
}

func (p *pauseTracker) record(engine string) {
	p.history[p.next] = engine
	p.next = (p.next + 1) % pauseHistorySize
}

// exceeded reports whether too many streams paused for too long, on at least
// minPausedEngines of the service's engines (all of them, if it has fewer).
func (p *pauseTracker) exceeded(engines int) bool {
	count, affected := 0, map[string]bool{}
	for _, engine := range p.history {
		if engine != "" {
			count++
			affected[engine] = true
		}
	}
	return count >= minLongPauses && len(affected) >= min(minPausedEngines, engines)
}

// StartPacing starts prefill pacing for a service whose streams pause for too long, as
// found by this or another instance.
func (f *Fleet) StartPacing(now time.Time, service string) {
	f.pauseTracker(service).pacedUntil = now.Add(pacingDuration)
}

// PrefillShare returns the share of the longest allowed pause of a service's streams
// that prefill may fill.
func (f *Fleet) PrefillShare(service string) float64 { return f.pauseTracker(service).share }

// PrefillPaced reports whether prompts for a service need prefill grants.
func (f *Fleet) PrefillPaced(now time.Time, service string) bool {
	p := f.pauses[service]
	return p != nil && now.Before(p.pacedUntil)
}

// SuspendPrefillRequests records that an engine's owner does not respond to
// prefill requests; it gets none until a moment.
func (f *Fleet) SuspendPrefillRequests(id string, until time.Time) {
	if s := f.servers[id]; s != nil {
		s.noPrefillRequestsUntil = until
	}
}

// AcceptsPrefillRequests reports whether prefill requests may be sent to an
// engine's owner.
func (s *Server) AcceptsPrefillRequests(now time.Time) bool {
	return !now.Before(s.noPrefillRequestsUntil)
}
