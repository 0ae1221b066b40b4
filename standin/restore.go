package standin

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// headerEra is the header of the store's responses that states the era.
const headerEra = "Store-Era"

// StoreCopy is a copy of a store's rows, history and objects.
type StoreCopy struct {
	version     uint64
	droppedUpTo uint64
	rows        map[storeKey]StoreRow
	changes     []storeChange
	objects     map[string][]byte
}

// Copy copies the store.
func (s *Store) Copy() *StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &StoreCopy{version: s.version, droppedUpTo: s.droppedUpTo, rows: maps.Clone(s.rows), changes: slices.Clone(s.changes), objects: maps.Clone(s.objects)}
}

// Restore replaces the store's contents by a copy and begins the next era. It returns the
// rows that it lost, as they were; those that had been removed since the copy are marked as
// removed.
func (s *Store) Restore(c *StoreCopy) (lost []StoreRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, row := range s.rows {
		if c.rows[k].Version != row.Version {
			lost = append(lost, row)
		}
	}
	for k := range c.rows {
		if _, exists := s.rows[k]; !exists {
			lost = append(lost, StoreRow{Table: k.table, Part: k.part, Key: k.key, Removed: true})
		}
	}
	s.era++
	s.version, s.droppedUpTo = c.version, c.droppedUpTo
	s.rows, s.changes, s.objects = maps.Clone(c.rows), slices.Clone(c.changes), maps.Clone(c.objects)
	s.wake()
	return lost
}

// Era returns the number of the store's history, which begins with 1.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// HideEra makes the store leave out the era in its responses, as stores do that are never
// restored.
func (s *Store) HideEra(hide bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hideEra = hide
}

// SetAway switches a fault: while it is on, calls get no response and have no effect.
func (s *Store) SetAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.wake()
}

// removalDelay is the time after a restore at which the rows of servers that the copy has
// and that had been removed are removed again.
const removalDelay = 2 * time.Second

// ReturnFrom makes the store return from a copy after a time without responses. It returns
// when the store is back. Rows of the operator that the store lost are then written again one
// by one in random order within rewriteTime, unless they have been written meanwhile; servers
// write theirs with their heartbeats. wait returns when all are written.
func (s *Store) ReturnFrom(c *StoreCopy, away, rewriteTime time.Duration, rng *rand.Rand) (wait func()) {
	s.SetAway(true)
	time.Sleep(away)
	lost := s.Restore(c)
	s.SetAway(false)
	var wg sync.WaitGroup
	for _, row := range lost {
		var delay time.Duration
		switch {
		case row.Table == tableOperator:
			delay = time.Duration(rng.Int64N(int64(rewriteTime) + 1))
		case row.Table == tableServers && row.Removed:
			delay = removalDelay
		default:
			continue
		}
		t := StoreTransaction{Writes: []StoreRow{row}}
		if row.Removed {
			t = StoreTransaction{Remove: []StoreRow{row}}
		}
		row.Version = c.rows[storeKey{row.Table, row.Part, row.Key}].Version
		t.Expected = []StoreRow{row}
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(delay)
			s.applyOnReturn(t)
		}()
	}
	return wg.Wait
}

// applyOnReturn is Apply once the store is not away.
func (s *Store) applyOnReturn(t StoreTransaction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.away {
		s.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		s.mu.Lock()
	}
	s.apply(t)
}

// Tables of the operator and the servers.
const (
	tableOperator = "op"
	tableServers  = "servers"
)

// stateEra states the era in a response and returns it.
func (s *Store) stateEra(h http.Header) (era uint64, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hideEra {
		h.Set(headerEra, strconv.FormatUint(s.era, 10))
	}
	return s.era, s.away
}

// inOneEra is middleware that states the era in each response. Calls get no response while
// the store is away, and if it is restored before they end.
func (s *Store) inOneEra(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		era, away := s.stateEra(w.Header())
		if away {
			panic(http.ErrAbortHandler)
		}
		response := &bufferedResponse{header: w.Header(), status: http.StatusOK}
		next(response, r)
		s.mu.Lock()
		ended := s.away || s.era != era
		s.mu.Unlock()
		if ended {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(response.status)
		_, _ = w.Write(response.body.Bytes())
	})
}
