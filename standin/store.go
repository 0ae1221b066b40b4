package standin

import (
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

// StoreTransaction is a transaction: all rows expected are as expected and all
// changes are made, or nothing is.
type StoreTransaction struct {
	Expected []StoreRow `json:"expectedRev"`
	Writes   []StoreRow `json:"writes"`
	Remove   []StoreRow `json:"remove"`
}

// StoreAnswer answers all calls about rows.
type StoreAnswer struct {
	Rows    []StoreRow `json:"rows,omitempty"`
	HasMore bool       `json:"hasMore"`
	Version uint64     `json:"schemaVersion"`
	NowMS   int64      `json:"nowMs"`
}

// Sizes of the store.
const (
	storePage    = 500
	storeHistory = 20 * time.Second
	storeWaitMax = 30 * time.Second
)

type storeKey struct{ table, part, key string }

type storeChange struct {
	at  time.Time
	row StoreRow
}

// Store is a stand-in of the platform's metadata store: rows in tables with one
// counter of transactions, a feed of changes, and objects.
type Store struct {
	began time.Time

	mu      sync.Mutex
	version uint64
	rows    map[storeKey]StoreRow
	changes []storeChange
	lost    uint64 // changes up to this version are forgotten
	deaf    bool   // feeds that begin now hear of no change until their wait ends
	news    chan struct{}
	objects map[string][]byte
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{began: time.Now(), rows: map[storeKey]StoreRow{}, news: make(chan struct{}), objects: map[string][]byte{}}
}

// route adds the store's calls to a router.
func (s *Store) route(r *mux.Router, writing, reading mux.MiddlewareFunc) {
	r.Handle("/rows-tx", writing(http.HandlerFunc(s.transact))).Methods(http.MethodPost)
	r.Handle("/rows-get", reading(http.HandlerFunc(s.get))).Methods(http.MethodGet)
	r.Handle("/rows-feed", reading(http.HandlerFunc(s.feed))).Methods(http.MethodGet)
	r.HandleFunc("/blob-put/{id:.+}", s.putObject).Methods(http.MethodPut)
	r.HandleFunc("/blob-get/{id:.+}", s.getObject).Methods(http.MethodGet)
}

// ServeHTTP implements http.Handler for a store without limits.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	router := mux.NewRouter().UseEncodedPath()
	plain := func(next http.Handler) http.Handler { return next }
	s.route(router, plain, plain)
	router.ServeHTTP(w, r)
}

// Apply applies a transaction; ok is false, with the rows as they are, when a
// row is not as expected.
func (s *Store) Apply(t StoreTransaction) (version uint64, rows []StoreRow, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok = true
	for _, e := range t.Expected {
		have := s.rows[storeKey{e.Table, e.Part, e.Key}]
		have.Table, have.Part, have.Key = e.Table, e.Part, e.Key
		rows = append(rows, have)
		ok = ok && have.Version == e.Version
	}
	if !ok {
		return s.version, rows, false
	}
	s.version++
	now := time.Now()
	for _, row := range t.Writes {
		row.Version = s.version
		s.rows[storeKey{row.Table, row.Part, row.Key}] = row
		s.changes = append(s.changes, storeChange{now, row})
	}
	for _, row := range t.Remove {
		k := storeKey{row.Table, row.Part, row.Key}
		if _, there := s.rows[k]; there {
			delete(s.rows, k)
			s.changes = append(s.changes, storeChange{now, StoreRow{Table: row.Table, Part: row.Part, Key: row.Key, Version: s.version, Removed: true}})
		}
	}
	s.forget(now.Add(-storeHistory))
	close(s.news)
	s.news = make(chan struct{})
	return s.version, nil, true
}

// Put writes one row.
func (s *Store) Put(table, key string, value []byte) uint64 {
	version, _, _ := s.Apply(StoreTransaction{Writes: []StoreRow{{Table: table, Key: key, Value: value}}})
	return version
}

// Remove removes one row.
func (s *Store) Remove(table, key string) {
	s.Apply(StoreTransaction{Remove: []StoreRow{{Table: table, Key: key}}})
}

// Forget drops the history of changes, as the platform does at times.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(time.Now())
}

// Deafen makes feeds that begin from now on hear of no change until their wait
// ends, as the platform's do around a loss of its history.
func (s *Store) Deafen(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf = on
}

// forget drops changes of before a moment. Callers hold mu.
func (s *Store) forget(before time.Time) {
	n := 0
	for n < len(s.changes) && !s.changes[n].at.After(before) {
		s.lost = s.changes[n].row.Version
		n++
	}
	s.changes = s.changes[n:]
}

// Rows returns the rows of a table in order of key.
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

func (s *Store) answer(rows []StoreRow, version uint64) StoreAnswer {
	return StoreAnswer{Rows: rows, Version: version, NowMS: time.Since(s.began).Milliseconds()}
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var t StoreTransaction
	if !readJSON(w, r, &t) {
		return
	}
	version, rows, ok := s.Apply(t)
	if !ok {
		writeJSON(w, http.StatusPreconditionFailed, s.answer(rows, version))
		return
	}
	writeJSON(w, http.StatusOK, s.answer(nil, version))
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > storePage {
		limit = storePage
	}
	rows, version := s.Rows(q.Get("table"), q.Get("part"), q.Get("from"), q.Get("to"))
	a := s.answer(rows, version)
	if len(rows) > limit {
		a.Rows, a.HasMore = rows[:limit], true
	}
	writeJSON(w, http.StatusOK, a)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: want a number", http.StatusBadRequest)
		return
	}
	ms, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.NewTimer(min(time.Duration(ms)*time.Millisecond, storeWaitMax))
	defer deadline.Stop()
	s.mu.Lock()
	deaf := s.deaf
	s.mu.Unlock()
	for {
		rows, version, news, ok := s.since(q.Get("table"), after)
		if deaf {
			rows, news = nil, nil
		}
		if !ok {
			http.Error(w, "history lost", http.StatusGone)
			return
		}
		if len(rows) > 0 {
			writeJSON(w, http.StatusOK, s.answer(rows, version))
			return
		}
		select {
		case <-news:
		case <-deadline.C:
			if rows, version, _, ok = s.since(q.Get("table"), after); !ok {
				http.Error(w, "history lost", http.StatusGone)
				return
			}
			writeJSON(w, http.StatusOK, s.answer(append([]StoreRow{}, rows...), version))
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changes of a table after a version, and a channel that is
// closed with the next change of any.
func (s *Store) since(table string, after uint64) (rows []StoreRow, version uint64, news <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.lost {
		return nil, s.version, s.news, false
	}
	for _, c := range s.changes {
		if c.row.Table == table && c.row.Version > after {
			rows = append(rows, c.row)
		}
	}
	return rows, s.version, s.news, true
}

func (s *Store) putObject(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, there := s.objects[id]; there && r.Header.Get("If-None-Match") == "*" {
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
