package edge

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/standin"
)

// slowOrders returns the handler of an engine that takes up orders of an era before the store's after a delay.
func (s *testSite) slowOrders(delay time.Duration, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/order" {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			var o struct {
				FencingToken uint64 `json:"fencingToken"`
			}
			assert.Check(s.t, json.Unmarshal(body, &o))
			if chestnutstream.VersionEra(o.FencingToken) < s.store.Era() {
				time.Sleep(delay)
			}
			r.Body = io.NopCloser(bytes.NewReader(body))
		}
		next.ServeHTTP(w, r)
	})
}

// slowEngine starts an engine that takes up orders late if they are of an era before the store's.
func (s *testSite) slowEngine(id string, delay time.Duration) {
	l := listen(s.t)
	b := standin.NewBackend(standin.BackendSettings{
		ID: id, Address: l.Addr().String(), Zone: "zone-a", Service: "assistant", Slots: 16, AdapterSlots: 3, Model: "m", WeightsMB: 100, ModelMB: 90, AdapterMB: 1,
		ServiceTime: 5 * time.Millisecond, Events: 5, LoadTime: 60 * time.Millisecond, ModelLoadTime: 300 * time.Millisecond,
	}, s.store)
	s.mu.Lock()
	s.addresses[l.Addr().String()] = true
	s.mu.Unlock()
	srv := b.Server()
	srv.Handler = s.slowOrders(delay, srv.Handler)
	startServer(s.t, l, srv)
	s.backends = append(s.backends, b)
	go func() {
		for {
			b.Heartbeat()
			select {
			case <-s.stop:
				return
			case <-time.After(300 * time.Millisecond):
			}
		}
	}()
}

// Guards against orders under the token of the era before that an engine takes up after one under the new token.
func TestDelayedOrdersDoNotFollowThoseOfANewerToken(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name  string
		delay time.Duration
	}{
		{"within the time limit of orders", 40 * time.Millisecond},
		{"after the time limit of orders", 100 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newTestSite(t, 0, 3)
			all := s.instances(3)
			for _, in := range all {
				eventually(t, "ready", in.Node().Ready)
			}
			older := s.store.Copy()
			s.raiseVersion()
			for i := range 3 {
				s.slowEngine(fmt.Sprintf("i-engine-%d", i), tt.delay)
			}
			s.awaitOwners(3, all...)
			c := startClients(all, 8, changingRequest)
			time.Sleep(1500 * time.Millisecond)
			away := time.Now()
			for range 3 {
				s.returnFrom(older)
				time.Sleep(3 * time.Second)
			}
			returned := time.Now().Add(-5 * time.Second)
			c.end(t)
			s.checkOrders(away, returned, all[0].cfg.MinHandoverDelay)
		})
	}
}
