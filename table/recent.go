package table

import (
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// Limits of the claims that an instance remembers.
const (
	recentClaimAge       = time.Minute // above the age of any copy that the store returns from
	maxRecentClaims      = 50_000
	maxRecentClaimsBytes = 64 << 20 // of recorded responses, together
)

// recentClaim is a claim that was granted here, in the state that its row should have.
type recentClaim struct {
	key       string
	claim     Claim
	released  bool      // the row should be absent
	previous  string    // attempt of this process that had claimed and released the key before
	version   uint64    // of the row, as far as it is known
	changedAt time.Time // the last change, or the last time that the row was written again
}

// recentClaims holds the claims that the store may lose when it returns from a copy, least
// recently changed first. It is not safe for concurrent use.
type recentClaims struct {
	byKey map[string]*recentClaim
	order []*recentClaim // entries that byKey no longer holds are skipped
	bytes int            // of recorded responses in byKey
}

func newRecentClaims() *recentClaims { return &recentClaims{byKey: map[string]*recentClaim{}} }

// get returns a copy of the claim of a key.
func (r *recentClaims) get(key string) (recentClaim, bool) {
	e := r.byKey[key]
	if e == nil {
		return recentClaim{}, false
	}
	return *e, true
}

// put records the state of a claim and drops those that changed before oldest, as far as
// the limits allow.
func (r *recentClaims) put(e recentClaim, oldest time.Time) {
	if old := r.byKey[e.key]; old != nil {
		r.bytes -= len(old.claim.Response.Body)
	}
	r.byKey[e.key] = &e
	r.order = append(r.order, &e)
	r.bytes += len(e.claim.Response.Body)
	for len(r.order) > 0 {
		first := r.order[0]
		if r.byKey[first.key] == first {
			if !first.changedAt.Before(oldest) && len(r.byKey) <= maxRecentClaims && r.bytes <= maxRecentClaimsBytes {
				return
			}
			delete(r.byKey, first.key)
			r.bytes -= len(first.claim.Response.Body)
		}
		r.order[0] = nil
		r.order = r.order[1:]
	}
}

// ofEarlierEras returns the claims whose rows were last seen in an earlier era, newest first.
func (r *recentClaims) ofEarlierEras(era uint64) []recentClaim {
	var out []recentClaim
	for i := len(r.order) - 1; i >= 0; i-- {
		e := r.order[i]
		if r.byKey[e.key] == e && chestnutstream.VersionEra(e.version) < era {
			out = append(out, *e)
		}
	}
	return out
}
