package ingress

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
)

// fakeQuotas charges requests until room is used up.
type fakeQuotas struct {
	room    float64
	charged float64
}

func (q *fakeQuotas) Charge(_ context.Context, w *chestnutstream.Workspace, cost float64, _ time.Duration) (func(), error) {
	if cost > q.room {
		return nil, &QuotaError{Workspace: w.Name, RetryAfter: 2 * time.Second}
	}
	q.room -= cost
	q.charged += cost
	return func() { q.room += cost; q.charged -= cost }, nil
}

func workspaceTable(d *fakeDispatcher) {
	five := &chestnutstream.Workspace{
		Name: "ws-five", Keys: []chestnutstream.KeyDigest{chestnutstream.DigestKey("key-five")},
		Quota: chestnutstream.Quota{Unit: chestnutstream.QuotaTokens, PerSecond: 100, Burst: 100, DefaultTokens: 200},
	}
	d.table.SetWorkspaces([]*chestnutstream.Workspace{five, {Name: "ws-free", Keys: []chestnutstream.KeyDigest{chestnutstream.DigestKey("key-free")}}})
}

// Guards against a request that is served without a valid key, and a key, or a workspace
// that the caller states itself, that reaches a server.
func TestRequestsNeedTheKeyOfAWorkspace(t *testing.T) {
	cases := []struct {
		name      string
		keys      []string
		public    bool
		age       time.Duration
		maxAge    time.Duration
		status    int
		workspace string
	}{
		{name: "valid", keys: []string{"key-five"}, status: 200, workspace: "ws-five"},
		{name: "another workspace", keys: []string{"key-free"}, status: 200, workspace: "ws-free"},
		{name: "none", status: 401},
		{name: "empty", keys: []string{""}, status: 401},
		{name: "unknown", keys: []string{"key-six"}, status: 401},
		{name: "two headers", keys: []string{"key-five", "key-five"}, status: 401},
		{name: "space inside", keys: []string{"key five"}, status: 401},
		{name: "two keys in one header", keys: []string{"key-five, key-free"}, status: 401},
		{name: "large", keys: []string{strings.Repeat("k", 50<<10)}, status: 401},
		{name: "public route", public: true, status: 200},
		{name: "public route with a key", keys: []string{"key-five"}, public: true, status: 200},
		{name: "valid, old configuration", keys: []string{"key-five"}, age: time.Minute, status: 200, workspace: "ws-five"},
		{name: "unknown, old configuration", keys: []string{"key-six"}, age: time.Minute, status: 503},
		{name: "none, old configuration", age: time.Minute, status: 401},
		{name: "valid, configuration too old", keys: []string{"key-five"}, age: time.Minute, maxAge: 5 * time.Second, status: 503},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBackend(t, "b1", respondOK)
			f := newTestServer(t, b)
			s, d := f.handler, f.dispatcher
			workspaceTable(d)
			s.cfg.Keys = KeySettings{ConfigAge: func() time.Duration { return c.age }, FreshAge: 3 * time.Second, MaxAge: c.maxAge}
			d.table.Match("h.example", "/look/").Public = c.public
			r := httptest.NewRequest(http.MethodPost, "http://h.example/look/x", strings.NewReader("body"))
			r.RequestURI = "/look/x"
			r.Header.Set("X-Chestnutstream-Request-Id", "r1")
			r.Header.Set("X-Chestnutstream-Tenant", "ws-of-the-caller")
			r.Header["X-Chestnutstream-Key"] = c.keys
			w := httptest.NewRecorder()
			s.ServeHTTP(w, r)
			assert.Equal(t, w.Code, c.status)
			if c.status != http.StatusOK {
				assert.Equal(t, b.requestCount(), 0)
				assert.Assert(t, !strings.Contains(w.Body.String(), "key-"))
				return
			}
			h := b.requests[0].Header
			assert.Equal(t, strings.Join(h["X-Chestnutstream-Tenant"], ","), c.workspace)
			assert.Equal(t, len(h["X-Chestnutstream-Key"]), 0)
		})
	}
}

// respondRejected responds that the request has not run.
func respondRejected(conn net.Conn, r *http.Request, _ string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Chestnutstream-Request-Id: %s\r\nX-Chestnutstream-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Chestnutstream-Request-Id"))
	return err == nil
}

// Guards against requests over the quota that run, and against charges for requests that
// reached no server.
func TestRequestsAreChargedToTheirWorkspace(t *testing.T) {
	cases := []struct {
		name    string
		tokens  string
		respond responder
		status  int
		charged float64
	}{
		{"stated tokens", "60,30", respondOK, 200, 90},
		{"no token counts", "", respondOK, 200, 200},
		{"over the quota", "900,200", respondOK, 429, 0},
		{"rejected by the server", "60,30", respondRejected, 503, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBackend(t, "b1", c.respond)
			f := newTestServer(t, b)
			s, d := f.handler, f.dispatcher
			workspaceTable(d)
			q := &fakeQuotas{room: 1000}
			s.cfg.Quotas = q
			r := httptest.NewRequest(http.MethodPost, "http://h.example/look/x", strings.NewReader("body"))
			r.RequestURI = "/look/x"
			r.Header.Set("X-Chestnutstream-Request-Id", "r1")
			r.Header.Set("X-Chestnutstream-Key", "key-five")
			if c.tokens != "" {
				r.Header.Set("X-Chestnutstream-Token-Count", c.tokens)
			}
			w := httptest.NewRecorder()
			s.ServeHTTP(w, r)
			assert.Equal(t, w.Code, c.status)
			assert.Equal(t, q.charged, c.charged)
			if c.status == http.StatusTooManyRequests {
				assert.Assert(t, w.Header().Get("Retry-After") != "")
				assert.Equal(t, b.requestCount(), 0)
			}
		})
	}
}

// Guards against a forwarded request that loses its workspace, or carries its key to another
// instance.
func TestForwardedRequestKeepsItsWorkspace(t *testing.T) {
	for _, name := range []string{"ws-five", "ws-added-since", ""} {
		t.Run(fmt.Sprintf("%q", name), func(t *testing.T) {
			b := newBackend(t, "b1", respondOK)
			f := newTestServer(t, b)
			s, d := f.handler, f.dispatcher
			workspaceTable(d)
			r := httptest.NewRequest(http.MethodPost, "http://h.example/look/x", strings.NewReader("body"))
			r.RequestURI = "/look/x"
			r.Header.Set("X-Chestnutstream-Request-Id", "r1")
			r.Header.Set(headerForwardedBy, "peer")
			r.Header.Set(headerWorkspace, name)
			w := httptest.NewRecorder()
			s.Forwarded().ServeHTTP(w, r)
			assert.Equal(t, w.Code, http.StatusOK)
			h := b.requests[0].Header
			assert.Equal(t, h.Get("X-Chestnutstream-Tenant"), name)
			assert.Equal(t, h.Get(headerWorkspace), "")
		})
	}
}
