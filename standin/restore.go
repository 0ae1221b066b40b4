package standin

import (
	"bytes"
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
// rows of the operator and the servers that it lost, with Removed if their removal was lost.
func (s *Store) Restore(c *StoreCopy) (lost []StoreRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.version, s.droppedUpTo = c.version, c.droppedUpTo
	s.rows, s.changes, s.objects = maps.Clone(c.rows), slices.Clone(c.changes), maps.Clone(c.objects)
	for _, row := range s.latest {
		if !s.has(row) {
			lost = append(lost, row)
		}
	}
	s.wake()
	return lost
}

// keepLatest records a change of a row, if the operator or a server made it. Callers hold mu.
func (s *Store) keepLatest(row StoreRow) {
	if row.Table == tableOperator || row.Table == tableServers {
		s.latest[storeKey{row.Table, row.Part, row.Key}] = row
	}
}

// has reports whether the store has a row's value, or lacks it if it was removed. Callers
// hold mu.
func (s *Store) has(row StoreRow) bool {
	current, exists := s.rows[storeKey{row.Table, row.Part, row.Key}]
	return exists != row.Removed && bytes.Equal(current.Value, row.Value)
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
// when the store is back. Rows of the operator that the store lost are then written again, as
// they are by then, one by one in random order within rewriteTime; servers write theirs with
// their heartbeats. wait returns when all are written.
func (s *Store) ReturnFrom(c *StoreCopy, away, rewriteTime time.Duration, rng *rand.Rand) (wait func()) {
	s.SetAway(true)
	time.Sleep(away)
	lost := s.Restore(c)
	s.SetAway(false)
	var wg sync.WaitGroup
	for _, row := range lost {
		delay := removalDelay
		if row.Table == tableOperator {
			delay = time.Duration(rng.Int64N(int64(rewriteTime) + 1))
		} else if !row.Removed {
			continue
		}
		wg.Go(func() {
			time.Sleep(delay)
			s.writeAgain(storeKey{row.Table, row.Part, row.Key})
		})
	}
	return wg.Wait
}

// writeAgain repeats the latest change of a row if the store lost it, once it is not away.
func (s *Store) writeAgain(k storeKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.awaitReturn()
	row := s.latest[k]
	switch {
	case s.has(row):
	case row.Removed:
		s.apply(StoreTransaction{Remove: []StoreRow{row}})
	default:
		s.apply(StoreTransaction{Writes: []StoreRow{row}})
	}
}

// awaitReturn waits until the store is not away. Callers hold mu.
func (s *Store) awaitReturn() {
	for s.away {
		s.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		s.mu.Lock()
	}
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
