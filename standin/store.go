package standin

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// StoreRow is a row of the metadata store's protocol.
type StoreRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"schemaVersion"`
	Removed bool   `json:"removed,omitempty"`
}

// StoreTransaction is an atomic transaction: if each row in Expected has the
// expected version, all rows in Writes and Remove are applied; otherwise none is.
type StoreTransaction struct {
	Expected []StoreRow `json:"expectedRev"`
	Writes   []StoreRow `json:"writes"`
	Remove   []StoreRow `json:"remove"`
}

// StoreResponse is the response to all calls on rows.
type StoreResponse struct {
	Rows    []StoreRow `json:"rows,omitempty"`
	HasMore bool       `json:"hasMore"`
	Version uint64     `json:"schemaVersion"`
	NowMS   int64      `json:"nowMs"`
}

// Limits of the store: rows in a response, entries of a transaction, age of changes
// that are kept, and longest wait of a watch.
const (
	maxPageRows           = 500
	maxTransactionEntries = 100
	historyRetention      = 20 * time.Second
	maxWatchWait          = 30 * time.Second
)

type storeKey struct{ table, part, key string }

type storeChange struct {
	at  time.Time
	row StoreRow
}

// Store is a stand-in for the platform's metadata store: rows in tables, versioned
// by one counter of transactions, a watch on changes, and objects.
type Store struct {
	startedAt time.Time

	mu              sync.Mutex
	era             uint64 // rises with each restore
	hideEra         bool   // responses do not state the era
	away            bool   // calls get no response and have no effect
	version         uint64
	rows            map[storeKey]StoreRow
	latest          map[storeKey]StoreRow // of the operator and the servers, over all eras
	changes         []storeChange
	droppedUpTo     uint64 // changes up to this version have been dropped from the history
	suppressUpdates bool   // watches that start now receive no change until their wait ends
	changed         chan struct{}
	objects         map[string][]byte
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{startedAt: time.Now(), era: 1, rows: map[storeKey]StoreRow{}, latest: map[storeKey]StoreRow{}, changed: make(chan struct{}), objects: map[string][]byte{}}
}

// addRoutes registers the store's endpoints on a router, wrapped in middleware for
// writes and reads.
func (s *Store) addRoutes(r *mux.Router, writeMiddleware, readMiddleware mux.MiddlewareFunc) {
	r.Handle("/rows-tx", writeMiddleware(s.inOneEra(s.transact))).Methods(http.MethodPost)
	r.Handle("/rows-get", readMiddleware(s.inOneEra(s.get))).Methods(http.MethodGet)
	r.Handle("/rows-feed", readMiddleware(s.inOneEra(s.watch))).Methods(http.MethodGet)
	r.Handle("/blob-put/{id:.+}", s.inOneEra(s.putObject)).Methods(http.MethodPut)
	r.Handle("/blob-get/{id:.+}", s.inOneEra(s.getObject)).Methods(http.MethodGet)
}

// ServeHTTP implements http.Handler, without rate limits.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	router := mux.NewRouter().UseEncodedPath()
	passThrough := func(next http.Handler) http.Handler { return next }
	s.addRoutes(router, passThrough, passThrough)
	router.ServeHTTP(w, r)
}

// Apply applies a transaction and returns the store's version. If a row does not
// have the expected version, ok is false, nothing is changed, and rows are the
// current rows of t.Expected. A store that is away changes nothing either.
func (s *Store) Apply(t StoreTransaction) (version uint64, rows []StoreRow, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(t)
}

// apply is Apply. Callers hold mu.
func (s *Store) apply(t StoreTransaction) (version uint64, rows []StoreRow, ok bool) {
	ok = !s.away
	for _, e := range t.Expected {
		current := s.rows[storeKey{e.Table, e.Part, e.Key}]
		current.Table, current.Part, current.Key = e.Table, e.Part, e.Key
		rows = append(rows, current)
		ok = ok && current.Version == e.Version
	}
	if !ok {
		return s.version, rows, false
	}
	s.version++
	now := time.Now()
	for _, row := range t.Writes {
		row.Version = s.version
		s.rows[storeKey{row.Table, row.Part, row.Key}] = row
		s.keepLatest(row)
		s.changes = append(s.changes, storeChange{now, row})
	}
	for _, row := range t.Remove {
		k := storeKey{row.Table, row.Part, row.Key}
		if _, exists := s.rows[k]; exists {
			delete(s.rows, k)
			removed := StoreRow{Table: row.Table, Part: row.Part, Key: row.Key, Version: s.version, Removed: true}
			s.keepLatest(removed)
			s.changes = append(s.changes, storeChange{now, removed})
		}
	}
	s.dropHistory(now.Add(-historyRetention))
	s.wake()
	return s.version, nil, true
}

// wake wakes the watches that wait for a change. Callers hold mu.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes one row and returns its version, 0 if the store is away.
func (s *Store) Put(table, key string, value []byte) uint64 {
	version, _, ok := s.Apply(StoreTransaction{Writes: []StoreRow{{Table: table, Key: key, Value: value}}})
	if !ok {
		return 0
	}
	return version
}

// Remove removes one row, once the store is not away.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.awaitReturn()
	s.apply(StoreTransaction{Remove: []StoreRow{{Table: table, Key: key}}})
}

// DropHistory drops the history of changes, as the platform occasionally does. Watches
// that continue from an older version then fail with status 410.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropHistory(time.Now())
}

// SuppressUpdates switches a fault: while it is on, a watch that starts receives
// no change until its wait ends, as on the platform around a loss of its history.
func (s *Store) SuppressUpdates(enabled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suppressUpdates = enabled
}

// dropHistory drops the changes made up to a time. Callers hold mu.
func (s *Store) dropHistory(before time.Time) {
	n := 0
	for n < len(s.changes) && !s.changes[n].at.After(before) {
		s.droppedUpTo = s.changes[n].row.Version
		n++
	}
	s.changes = s.changes[n:]
}

// Rows returns the rows of a table's part with from <= key < to in order of key,
// and the store's version. An empty to means no upper bound.
func (s *Store) Rows(table, part, from, to string) ([]StoreRow, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []StoreRow{}
	for k, row := range s.rows {
		if k.table == table && k.part == part && k.key >= from && (to == "" || k.key < to) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows, s.version
}

func (s *Store) response(rows []StoreRow, version uint64) StoreResponse {
	return StoreResponse{Rows: rows, Version: version, NowMS: time.Since(s.startedAt).Milliseconds()}
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var t StoreTransaction
	if !readJSON(w, r, &t) {
		return
	}
	if n := len(t.Expected) + len(t.Writes) + len(t.Remove); n > maxTransactionEntries {
		http.Error(w, fmt.Sprintf("%d entries: want at most %d", n, maxTransactionEntries), http.StatusBadRequest)
		return
	}
	version, rows, ok := s.Apply(t)
	if !ok {
		writeJSON(w, http.StatusPreconditionFailed, s.response(rows, version))
		return
	}
	writeJSON(w, http.StatusOK, s.response(nil, version))
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	rows, version := s.Rows(q.Get("table"), q.Get("part"), q.Get("from"), q.Get("to"))
	response := s.response(rows, version)
	if len(rows) > limit {
		response.Rows, response.HasMore = rows[:limit], true
	}
	writeJSON(w, http.StatusOK, response)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: want a number", http.StatusBadRequest)
		return
	}
	ms, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxWatchWait))
	defer deadline.Stop()
	s.mu.Lock()
	suppressUpdates, era := s.suppressUpdates, s.era
	s.mu.Unlock()
	for {
		rows, version, changed, ok := s.changesSince(q.Get("table"), era, after)
		if suppressUpdates {
			rows, changed = nil, nil
		}
		if !ok {
			http.Error(w, "history lost", http.StatusGone)
			return
		}
		if len(rows) > 0 {
			writeJSON(w, http.StatusOK, s.response(rows, version))
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			if rows, version, _, ok = s.changesSince(q.Get("table"), era, after); !ok {
				http.Error(w, "history lost", http.StatusGone)
				return
			}
			writeJSON(w, http.StatusOK, s.response(append([]StoreRow{}, rows...), version))
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesSince returns the changes of a table after a version, and a channel that
// is closed with the next change of any table. ok is false if the history no
// longer reaches back to the version, does not reach up to it, or is that of another era,
// and while the store is away.
func (s *Store) changesSince(table string, era, after uint64) (rows []StoreRow, version uint64, changed <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.droppedUpTo || after > s.version || s.era != era || s.away {
		return nil, s.version, s.changed, false
	}
	for _, c := range s.changes {
		if c.row.Table == table && c.row.Version > after {
			rows = append(rows, c.row)
		}
	}
	return rows, s.version, s.changed, true
}

func (s *Store) putObject(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exists := s.objects[id]; exists && r.Header.Get("If-None-Match") == "*" {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	s.objects[id] = body
}

func (s *Store) getObject(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	body, ok := s.objects[mux.Vars(r)["id"]]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	_, _ = w.Write(body)
}
