package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store stands in for the platform's metadata store: rows in tables, with transactions
// under conditions and long polls. It forgets nothing and answers at once.
type store struct {
	mu      sync.Mutex
	start   time.Time
	version uint64
	rows    map[rowKey]*storedRow
	changed chan struct{} // closed at the next change
	beats   map[string]time.Time
}

type rowKey struct{ table, part, key string }

type storedRow struct {
	value   []byte
	version uint64
	removed bool
}

type wireRow struct {
	Table         string `json:"table"`
	Part          string `json:"part"`
	Key           string `json:"key"`
	Value         []byte `json:"value,omitempty"`
	SchemaVersion uint64 `json:"schemaVersion"`
	Removed       bool   `json:"removed,omitempty"`
}

func newStore() *store {
	return &store{start: time.Now(), version: 100, rows: map[rowKey]*storedRow{}, changed: make(chan struct{}), beats: map[string]time.Time{}}
}

// put writes a row, as the operator and the servers do.
func (s *store) put(table, key string, value any) {
	b, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowKey{table, "", key}] = &storedRow{value: b, version: s.version}
	s.wake()
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.rows[rowKey{table, "", key}]; r != nil && !r.removed {
		s.version++
		*r = storedRow{version: s.version, removed: true}
		s.wake()
	}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) listen() (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	m := http.NewServeMux()
	m.HandleFunc("POST /rows-tx", s.transact)
	m.HandleFunc("GET /rows-get", s.get)
	m.HandleFunc("GET /rows-feed", s.feed)
	go func() { _ = http.Serve(l, m) }()
	return l.Addr().String(), nil
}

func (s *store) answer(w http.ResponseWriter, status int, rows []wireRow, more bool, version uint64) {
	if rows == nil {
		rows = []wireRow{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "hasMore": more, "schemaVersion": version, "nowMs": time.Since(s.start).Milliseconds()})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		ExpectedRev, Writes, Remove []wireRow
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(3 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []wireRow
	conflict := false
	for _, c := range tx.ExpectedRev {
		row := s.rows[rowKey{c.Table, c.Part, c.Key}]
		now := wireRow{Table: c.Table, Part: c.Part, Key: c.Key}
		if row != nil && !row.removed {
			now.Value, now.SchemaVersion = row.value, row.version
		}
		current = append(current, now)
		conflict = conflict || now.SchemaVersion != c.SchemaVersion
	}
	if conflict {
		s.answer(w, http.StatusPreconditionFailed, current, false, s.version)
		return
	}
	s.version++
	for _, x := range tx.Writes {
		s.rows[rowKey{x.Table, x.Part, x.Key}] = &storedRow{value: x.Value, version: s.version}
	}
	for _, x := range tx.Remove {
		if row := s.rows[rowKey{x.Table, x.Part, x.Key}]; row != nil && !row.removed {
			*row = storedRow{version: s.version, removed: true}
		}
	}
	s.wake()
	s.answer(w, http.StatusOK, nil, false, s.version)
}

// match returns the rows of a table for which keep holds, in order of key.
func (s *store) match(table, part string, keep func(key string, r *storedRow) bool) []wireRow {
	var out []wireRow
	for k, r := range s.rows {
		if k.table == table && k.part == part && keep(k.key, r) {
			out = append(out, wireRow{Table: k.table, Part: k.part, Key: k.key, Value: r.value, SchemaVersion: r.version, Removed: r.removed})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, to := q.Get("from"), q.Get("to")
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := s.match(q.Get("table"), q.Get("part"), func(key string, r *storedRow) bool {
		return !r.removed && key >= from && (to == "" || key < to)
	})
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	s.answer(w, http.StatusOK, rows, more, s.version)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		rows := s.match(q.Get("table"), "", func(_ string, r *storedRow) bool { return r.version > after })
		sort.Slice(rows, func(i, j int) bool { return rows[i].SchemaVersion < rows[j].SchemaVersion })
		changed, version := s.changed, s.version
		s.mu.Unlock()
		if len(rows) > 0 || wait <= 0 {
			s.answer(w, http.StatusOK, rows, false, version)
			return
		}
		select {
		case <-changed:
		case <-end:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}
