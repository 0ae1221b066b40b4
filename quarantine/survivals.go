package quarantine

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxSurvivals is the number of traits whose survival is remembered, in each of two
// generations.
const maxSurvivals = 16384

// survivals remembers the latest survival of each trait, at most 2*maxSurvivals of
// them. The zero value is ready for use.
type survivals struct {
	current, previous map[uint64]time.Time
}

func (trait Trait) hash() uint64 { return xxhash.Sum64String(trait.Service + "\x00" + trait.ID) }

// RequestPrefix begins the IDs of traits that a single request has, which its caller may send
// again.
const RequestPrefix = "request:"

func (trait Trait) identifiesRequest() bool { return strings.HasPrefix(trait.ID, RequestPrefix) }

// record records a survival. When the current generation is full it becomes the
// previous one, which is dropped.
func (s *survivals) record(trait Trait, at time.Time) {
	if trait.identifiesRequest() {
		return // most requests come once, and would displace the traits that requests share
	}
	if s.current == nil {
		s.current = map[uint64]time.Time{}
	}
	h := trait.hash()
	if at.After(s.current[h]) {
		s.current[h] = at
	}
	if len(s.current) >= maxSurvivals {
		s.current, s.previous = map[uint64]time.Time{}, s.current
	}
}

// at returns the latest survival of a trait; zero if none is remembered.
func (s *survivals) at(trait Trait) time.Time {
	h := trait.hash()
	if at, ok := s.current[h]; ok {
		return at
	}
	return s.previous[h]
}
