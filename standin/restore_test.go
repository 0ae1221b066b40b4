package standin

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// call sends a call to a store and returns the status, 0 if there was no response.
func call(t *testing.T, server *httptest.Server, path string) (status int, era string, response StoreResponse) {
	t.Helper()
	resp, err := http.Get(server.URL + path)
	if err != nil {
		return 0, "", response
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		assert.Check(t, json.NewDecoder(resp.Body).Decode(&response))
	}
	return resp.StatusCode, resp.Header.Get(headerEra), response
}

func TestRestoredStoreServesItsCopyInTheNextEra(t *testing.T) {
	p := NewPlatform(DefaultPlatformSettings())
	for _, c := range []struct {
		name    string
		store   *Store
		handler http.Handler
	}{{name: "platform", store: p.store, handler: p}, {name: "store", store: NewStore()}} {
		t.Run(c.name, func(t *testing.T) {
			s := c.store
			if c.handler == nil {
				c.handler = s
			}
			server := httptest.NewServer(c.handler)
			defer server.Close()
			s.Put("op", "a", []byte("1"))
			s.Put("op", "b", []byte("1"))
			older := s.Copy()
			s.Put("op", "b", []byte("2"))
			s.Remove("op", "a")
			assert.Equal(t, len(s.Restore(older)), 2)
			for _, want := range []struct {
				path   string
				status int
				rows   int
			}{
				{"/rows-get?table=op", http.StatusOK, 2},
				{"/rows-feed?table=op&after=0", http.StatusOK, 2},
				{"/rows-feed?table=op&after=2", http.StatusOK, 0},
				{"/rows-feed?table=op&after=3", http.StatusGone, 0},
				{"/rows-feed?table=op&after=x", http.StatusBadRequest, 0},
				{"/blob-get/none", http.StatusNotFound, 0},
				{"/rows-get?table=instances", http.StatusOK, 0},
			} {
				status, era, response := call(t, server, want.path)
				assert.Equal(t, status, want.status, want.path)
				assert.Equal(t, era, "2", want.path)
				assert.Equal(t, len(response.Rows), want.rows, want.path)
			}
			assert.Equal(t, s.Put("op", "b", []byte("3")), uint64(3))
			status, _, _ := call(t, server, "/rows-feed?table=op&after=3")
			assert.Equal(t, status, http.StatusOK, "a version that was given out again")
			resp, err := http.Post(server.URL+"/rows-tx", "application/json", strings.NewReader(`{"writes":[{"table":"instances","part":"","key":"i","value":"e30="}]}`))
			assert.NilError(t, err)
			resp.Body.Close()
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			assert.Equal(t, resp.Header.Get(headerEra), "2")
			s.HideEra(true)
			_, era, _ := call(t, server, "/rows-get?table=op")
			assert.Equal(t, era, "")
		})
	}
}

func TestStoreThatIsAwayNeitherRespondsNorWrites(t *testing.T) {
	s := NewStore()
	server := httptest.NewServer(s)
	defer server.Close()
	watched := make(chan int)
	go func() {
		status, _, _ := call(t, server, "/rows-feed?table=op&after=0&waitMs=20000")
		watched <- status
	}()
	time.Sleep(100 * time.Millisecond)
	s.SetAway(true)
	assert.Equal(t, <-watched, 0)
	status, _, _ := call(t, server, "/rows-get?table=op")
	assert.Equal(t, status, 0)
	assert.Equal(t, s.Put("op", "a", nil), uint64(0))
	s.SetAway(false)
	rows, _ := s.Rows("op", "", "", "")
	assert.Equal(t, len(rows), 0)
}

func TestRestoreEndsWatches(t *testing.T) {
	s := NewStore()
	server := httptest.NewServer(s)
	defer server.Close()
	watched := make(chan int)
	go func() {
		status, _, _ := call(t, server, "/rows-feed?table=op&after=0&waitMs=20000")
		watched <- status
	}()
	time.Sleep(100 * time.Millisecond)
	s.Restore(s.Copy())
	assert.Equal(t, <-watched, 0)
}

func TestOperatorWritesLostRowsAgain(t *testing.T) {
	s := NewStore()
	s.Put("op", "same", []byte("1"))
	s.Put("op", "newer", []byte("1"))
	s.Put("servers", "left", []byte("1"))
	older := s.Copy()
	for _, row := range []StoreRow{{Table: "op", Key: "changed"}, {Table: "op", Key: "newer"}, {Table: "servers", Key: "joined"}, {Table: "own", Key: "lease"}} {
		s.Put(row.Table, row.Key, []byte("2"))
	}
	s.Remove("servers", "left")
	wait := s.ReturnFrom(older, 10*time.Millisecond, 100*time.Millisecond, rand.New(rand.NewPCG(1, 1)))
	s.Put("op", "newer", []byte("3")) // the rows of the first return are still being written
	again := s.ReturnFrom(older, 10*time.Millisecond, 100*time.Millisecond, rand.New(rand.NewPCG(1, 2)))
	wait()
	again()
	assert.Equal(t, s.Era(), uint64(3))
	for _, want := range []struct {
		table string
		rows  map[string]string
	}{
		{"op", map[string]string{"same": "1", "newer": "3", "changed": "2"}},
		{"servers", map[string]string{}},
		{"own", map[string]string{}},
	} {
		rows, _ := s.Rows(want.table, "", "", "")
		got := map[string]string{}
		for _, row := range rows {
			got[row.Key] = string(row.Value)
		}
		assert.DeepEqual(t, got, want.rows)
	}
}

func TestOrderViolations(t *testing.T) {
	for _, c := range []struct {
		name    string
		orders  []OrderRecord
		allowed bool
	}{
		{"one holder", []OrderRecord{{"a", 1, time.Unix(0, 0)}, {"a", 2, time.Unix(1, 0)}}, true},
		{"handover", []OrderRecord{{"a", 1, time.Unix(0, 0)}, {"b", 2, time.Unix(3, 0)}}, true},
		{"lower token", []OrderRecord{{"a", 2, time.Unix(0, 0)}, {"a", 1, time.Unix(9, 0)}}, false},
		{"token of two holders", []OrderRecord{{"a", 1, time.Unix(0, 0)}, {"b", 1, time.Unix(9, 0)}}, false},
		{"turns", []OrderRecord{{"a", 1, time.Unix(0, 0)}, {"b", 2, time.Unix(2, 0)}}, false},
	} {
		b := NewBackend(BackendSettings{ID: "i"}, NewStore())
		b.orderRecords = c.orders
		assert.Equal(t, len(b.OrderViolations(3*time.Second)) == 0, c.allowed, c.name)
	}
}
