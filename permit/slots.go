package permit

import (
	"math"
	"time"
)

// Parameters of slots.
const (
	minSlotWait         = 8 * time.Millisecond // before the next request of a slot
	maxSlotWait         = time.Second
	reservationsPerSlot = 3                      // waits that end as a slot becomes free: some of the requests are served elsewhere by then
	slotUsageTime       = time.Second            // over which the use of the slots is averaged
	defaultHoldTime     = 50 * time.Millisecond  // for which a slot is held, until it is known
	rejectionFactor     = 0.75                   // by which a rejection lowers the slots that are granted
	rejectionInterval   = 250 * time.Millisecond // in which rejections count as one
	slotRecoveryPerSec  = 0.1                    // share of the slots that is granted again each second
	minSlotShare        = 0.2
	slotStateIdleExpiry = 10 * time.Minute
	loadUsageTime       = 2 * time.Second        // over which servers' own counts are compared with those of the instances
	loadMargin          = 0.5                    // requests and responses on their way, which a server does not count
	maxGrantFlight      = 500 * time.Millisecond // after which a grant that was not received counts as lost
	departedHoldTime    = time.Second            // for which the requests of an instance count that is no longer reached
	// An instance that gets its first request of a slot, or the first one after
	// takeoverPause, within takeoverWindow after a change of the candidates may be a new issuer. It
	// does not know of all requests in progress for takeoverTime.
	takeoverPause  = 500 * time.Millisecond
	takeoverWindow = 2 * time.Second
	takeoverTime   = time.Second
)

// Slots grants the slots of servers whose queues may not be used. The issuer of a server
// counts the requests that all instances have in progress there. Each instance sends its
// own number with every request, and how many grants it has received, so that lost and
// crossing messages and a new issuer correct themselves.
type Slots struct {
	servers map[string]*serverSlots
}

// Holding is what an instance says of its use of a server.
type Holding struct {
	Holder   string
	Held     int    // requests in progress there
	Received uint64 // grants for the server received so far
}

// holder is what the issuer knows of an instance's use of a server.
type holder struct {
	held       int
	granted    uint64 // grants sent, counted from the instance's own number
	received   uint64
	abandoned  int // of those held, the ones that ended at the instance before the server's response did
	grantedAt  time.Time
	departedAt time.Time // when the instance was no longer reached; zero: it is
}

// inProgress returns the requests in progress, with those whose grants are on their way.
func (h *holder) inProgress() int { return h.held + int(h.granted-h.received) }

type serverSlots struct {
	holders       map[string]*holder
	share         float64 // of the slots that is granted
	updatedAt     time.Time
	rejectedAt    time.Time
	reservedUntil time.Time // end of the waits given to denied requests
	requestedAt   time.Time // of the latest request
	takeoverUntil time.Time // until which other instances may have requests in progress that are not known
	slotSeconds   float64   // in which slots were held, decaying over slotUsageTime
	grants        float64   // decaying in the same way
	// dropped are the abandoned requests that the server did not count by its responses, and
	// abandoned all of them, both decaying over loadUsageTime.
	dropped   float64
	abandoned float64
}

// NewSlots returns an empty record.
func NewSlots() *Slots { return &Slots{servers: map[string]*serverSlots{}} }

func (s *Slots) server(now time.Time, id string) *serverSlots {
	state := s.servers[id]
	if state == nil {
		for other, o := range s.servers {
			if now.Sub(o.updatedAt) > slotStateIdleExpiry {
				delete(s.servers, other)
			}
		}
		state = &serverSlots{holders: map[string]*holder{}, share: 1, updatedAt: now}
		s.servers[id] = state
	}
	for name, h := range state.holders {
		if !h.departedAt.IsZero() && now.Sub(h.departedAt) > departedHoldTime {
			delete(state.holders, name)
		}
	}
	elapsed := max(now.Sub(state.updatedAt).Seconds(), 0)
	state.share = min(state.share+slotRecoveryPerSec*elapsed, 1)
	decay := math.Exp(-elapsed / slotUsageTime.Seconds())
	state.slotSeconds = state.slotSeconds*decay + float64(state.inProgress())*elapsed
	state.grants *= decay
	decay = math.Exp(-elapsed / loadUsageTime.Seconds())
	state.dropped, state.abandoned = state.dropped*decay, state.abandoned*decay
	state.updatedAt = now
	return state
}

// inProgress returns the requests in progress at the server, as far as instances know.
func (s *serverSlots) inProgress() int {
	total := 0
	for _, h := range s.holders {
		total += h.inProgress()
	}
	return total
}

// abandonedNow returns the requests in progress that instances have abandoned.
func (s *serverSlots) abandonedNow() int {
	total := 0
	for _, h := range s.holders {
		total += min(h.abandoned, h.held)
	}
	return total
}

// used returns the slots in use. Of the requests that instances have abandoned, the share
// counts that the server has gone on with lately.
func (s *serverSlots) used() int {
	dropped := 0.0
	if s.abandoned > 0 {
		dropped = min(max(s.dropped/s.abandoned, 0), 1)
	}
	return s.inProgress() - int(dropped*float64(s.abandonedNow()))
}

// RecordAbandoned records how many of the requests that an instance holds at a server have
// ended there before the server's response did.
func (s *Slots) RecordAbandoned(now time.Time, server, name string, n int) {
	state := s.server(now, server)
	if h := state.holders[name]; h != nil {
		h.abandoned = n
	}
}

// RecordLoad records how many requests run and wait at a server by its own count. It tells
// whether the server goes on with what instances have abandoned.
func (s *Slots) RecordLoad(now time.Time, server string, load int) {
	state := s.server(now, server)
	abandoned := state.abandonedNow()
	if abandoned == 0 {
		return
	}
	state.dropped += float64(state.inProgress()-load) - loadMargin
	state.abandoned += float64(abandoned)
}

// reserve returns how long a denied request is to wait. Denied requests get different times,
// reservationsPerSlot for each slot that is about to become free, so that few are denied again.
func (s *serverSlots) reserve(now time.Time) time.Duration {
	hold := defaultHoldTime.Seconds()
	if s.grants >= 1 {
		hold = s.slotSeconds / s.grants
	}
	interval := time.Duration(hold / float64(reservationsPerSlot*max(s.inProgress(), 1)) * float64(time.Second))
	next := now
	if s.reservedUntil.After(now) {
		next = s.reservedUntil
	}
	wait := min(max(next.Add(interval).Sub(now), minSlotWait), maxSlotWait)
	s.reservedUntil = now.Add(wait)
	return wait
}

// Request requests a slot of a server for an instance. If it is denied, wait is the time
// until the next try: denied requests get different times, by those at which slots become
// free. The instances that reach one another grant their share of the slots, at least one. An instance that is not the issuer for all that it reaches (primary), or has
// only just become it, grants a part of that.
func (s *Slots) Request(now time.Time, server string, h Holding, slots int, v View, primary bool) (ok bool, wait time.Duration) {
	state := s.server(now, server)
	asking := state.update(now, h)
	granted := float64(slots) * state.share
	if v.All > 0 {
		granted *= min(float64(v.Reached)/float64(v.All), 1)
	}
	if now.Sub(state.requestedAt) > takeoverPause && now.Sub(v.ChangedAt) < takeoverWindow {
		state.takeoverUntil = now.Add(takeoverTime)
	}
	state.requestedAt = now
	switch left := state.takeoverUntil.Sub(now); {
	case !primary:
		granted *= fallbackShare
	case left > 0:
		granted *= 1 - (1-fallbackShare)*float64(left)/float64(takeoverTime)
	}
	if state.used() >= max(int(granted), 1) {
		return false, state.reserve(now)
	}
	state.grants++
	asking.granted++
	asking.grantedAt = now
	return true, 0
}

// Report records what an instance says of its use of a server.
func (s *Slots) Report(now time.Time, server string, h Holding) { s.server(now, server).update(now, h) }

func (s *serverSlots) update(now time.Time, h Holding) *holder {
	known := s.holders[h.Holder]
	if known == nil {
		known = &holder{granted: h.Received}
		s.holders[h.Holder] = known
	}
	known.held, known.received, known.departedAt = h.Held, h.Received, time.Time{}
	if known.granted < h.Received || now.Sub(known.grantedAt) > maxGrantFlight {
		known.granted = h.Received // another issuer has granted slots, or grants were lost
	}
	return known
}

// Depart records that an instance is no longer reached. Its requests, and those that were
// granted to it, may still be in progress.
func (s *Slots) Depart(now time.Time, name string) {
	for _, state := range s.servers {
		if h := state.holders[name]; h != nil && h.departedAt.IsZero() {
			*h = holder{held: h.inProgress(), departedAt: now}
		}
	}
}

// RecordRejection records that a server had no room for a request: not all that use it
// have asked for a slot.
func (s *Slots) RecordRejection(now time.Time, server string) {
	state := s.server(now, server)
	if now.Sub(state.rejectedAt) < rejectionInterval {
		return
	}
	state.rejectedAt = now
	state.share = max(state.share*rejectionFactor, minSlotShare)
}
