package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the metadata store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"schemaVersion"`
	Removed bool   `json:"removed,omitempty"`
}

type rowKey struct{ table, part, key string }

func (r row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

type transaction struct {
	Expected []row `json:"expectedRev"`
	Writes   []row `json:"writes"`
	Remove   []row `json:"remove"`
}

type storeResponse struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"hasMore"`
	Version uint64 `json:"schemaVersion"`
	NowMS   int64  `json:"nowMs"`
}

// Times and limits of the store, as in the users' pages.
const (
	transactionTime = 3 * time.Millisecond
	pageRows        = 500
	historyTime     = 20 * time.Second
)

// store is a stand-in for the platform's metadata store: linearizable, without faults.
type store struct {
	mu      sync.Mutex
	start   time.Time
	version uint64
	rows    map[rowKey]row
	changes []change
	dropped uint64
	changed chan struct{}
}

type change struct {
	at  time.Time
	row row
}

func newStore() *store {
	return &store{start: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{})}
}

// put writes a row, as the operator and the servers do.
func (s *store) put(table, key string, value []byte) {
	s.apply(transaction{Writes: []row{{Table: table, Key: key, Value: value}}})
}

func (s *store) remove(table, key string) {
	s.apply(transaction{Remove: []row{{Table: table, Key: key}}})
}

// apply applies a transaction; ok is false if a row does not have the expected version.
func (s *store) apply(t transaction) (resp storeResponse, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok = true
	for _, e := range t.Expected {
		current := s.rows[e.id()]
		current.Table, current.Part, current.Key = e.Table, e.Part, e.Key
		resp.Rows = append(resp.Rows, current)
		ok = ok && current.Version == e.Version
	}
	if ok {
		resp.Rows = nil
		s.version++
		for _, r := range t.Writes {
			r.Version, r.Removed = s.version, false
			s.rows[r.id()] = r
			s.changes = append(s.changes, change{time.Now(), r})
		}
		for _, r := range t.Remove {
			if _, present := s.rows[r.id()]; present {
				delete(s.rows, r.id())
				s.changes = append(s.changes, change{time.Now(), row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Removed: true}})
			}
		}
		for len(s.changes) > 0 && time.Since(s.changes[0].at) > historyTime {
			s.dropped, s.changes = s.changes[0].row.Version, s.changes[1:]
		}
		close(s.changed)
		s.changed = make(chan struct{})
	}
	resp.Version, resp.NowMS = s.version, time.Since(s.start).Milliseconds()
	return resp, ok
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "POST /rows-tx":
		s.serveTransaction(w, r)
	case "GET /rows-get":
		s.serveGet(w, r)
	case "GET /rows-feed":
		s.serveFeed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var t transaction
	if json.Unmarshal(body, &t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, row := range append(append([]row(nil), t.Writes...), t.Remove...) {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	time.Sleep(transactionTime)
	resp, ok := s.apply(t)
	status := http.StatusOK
	if !ok {
		status = http.StatusPreconditionFailed
	}
	writeJSON(w, status, resp)
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > pageRows {
		limit = pageRows
	}
	s.mu.Lock()
	resp := storeResponse{Rows: []row{}, Version: s.version, NowMS: time.Since(s.start).Milliseconds()}
	for k, row := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			resp.Rows = append(resp.Rows, row)
		}
	}
	s.mu.Unlock()
	sort.Slice(resp.Rows, func(i, j int) bool { return resp.Rows[i].Key < resp.Rows[j].Key })
	if len(resp.Rows) > limit {
		resp.Rows, resp.HasMore = resp.Rows[:limit], true
	}
	writeJSON(w, http.StatusOK, resp)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.dropped {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		resp := storeResponse{Rows: []row{}, Version: s.version, NowMS: time.Since(s.start).Milliseconds()}
		for _, c := range s.changes {
			if c.row.Version > after && c.row.Table == q.Get("table") {
				resp.Rows = append(resp.Rows, c.row)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(resp.Rows) > 0 || wait <= 0 {
			writeJSON(w, http.StatusOK, resp)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
