package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream/platform"
	"github.com/chestnutstream/chestnutstream/standin"
)

// drainedCaller is a caller with one connection to an instance.
type drainedCaller struct {
	conn net.Conn
	in   *bufio.Reader
}

func newDrainedCaller(t *testing.T, in *testInstance) *drainedCaller {
	conn, err := net.Dial("tcp", in.cfg.CallerAddress)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &drainedCaller{conn: conn, in: bufio.NewReader(conn)}
}

// send sends a request with a time limit of 15 s, and returns its ID.
func (c *drainedCaller) send(t *testing.T, path, target string) string {
	id := newRequestID()
	_, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: 15000\r\n%s: %s\r\nContent-Length: 1\r\n\r\nx",
		path, platform.HeaderRequestID, id, platform.HeaderDeadline, platform.HeaderModel, target)
	assert.NilError(t, err)
	return id
}

// response reads the response and returns when it was complete.
func (c *drainedCaller) response(t *testing.T) (*http.Response, time.Time) {
	resp, err := http.ReadResponse(c.in, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	return resp, time.Now()
}

// Connections of requests that waited for an adapter were closed without a response at the
// end of the grace period.
func TestDrainRespondsToRequestsThatWaitForAnAdapter(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name        string
		latency     time.Duration // target of the route; streams wait for up to four of it
		grace       time.Duration
		storeOutage bool
	}{
		{"wait of 8 s, grace period of 4 s", 2 * time.Second, 4 * time.Second, false},
		{"wait of 20 s, grace period of 4 s", 5 * time.Second, 4 * time.Second, false},
		{"wait of 8 s, grace period of 1.2 s", 2 * time.Second, 1200 * time.Millisecond, false},
		{"wait of 2 s, grace period of 8 s", 500 * time.Millisecond, 8 * time.Second, false},
		{"store outage", 2 * time.Second, 4 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newTestSite(t, 0, 3)
			engine := s.backend(standin.BackendSettings{
				ID: "i-engine-0", Service: "assistant", Slots: 16, AdapterSlots: 3, Model: "m",
				ServiceTime: 5 * time.Millisecond, Events: 5, LoadTime: time.Minute, ModelLoadTime: 300 * time.Millisecond,
			})
			s.configure(fmt.Sprintf(`{"name":"ask","host":"h.example","prefix":"/ask/","type":"streaming","resumable":true,"maxAttempts":2,"timeoutMs":15000,"targetLatencyMs":%d,"service":"assistant"}`, c.latency.Milliseconds()))
			in := s.instance("edge-a")
			s.awaitOwners(1, in)
			cfg := in.cfg
			cfg.Grace = c.grace
			in.Reload(cfg)
			waiting, kept := newDrainedCaller(t, in), newDrainedCaller(t, in)
			ids := []string{waiting.send(t, "/ask/1", "m/a1")}
			time.Sleep(200 * time.Millisecond)
			if c.storeOutage {
				s.storeGate.setUnavailable(true)
				time.Sleep(300 * time.Millisecond)
			}
			begun, done := time.Now(), make(chan error, 1)
			go func() { done <- in.Drain(context.Background()) }()
			time.Sleep(c.grace / 8)
			ids = append(ids, kept.send(t, "/ask/1", "m/a2"))
			for _, caller := range []*drainedCaller{waiting, kept} {
				resp, at := caller.response(t)
				assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
				assert.Assert(t, resp.Header.Get("Retry-After") != "")
				assert.Assert(t, at.Sub(begun) < c.grace-drainMargin, "%v after the begin of the drain", at.Sub(begun))
			}
			assert.NilError(t, <-done)
			for _, id := range ids {
				assert.Equal(t, engine.Counts().Runs[id], 0)
			}
		})
	}
}

// A request that waits for an adapter when a drain begins is served if the adapter comes in
// time.
func TestDrainServesRequestWhoseAdapterComesInTime(t *testing.T) {
	t.Parallel()
	s := newTestSite(t, 0, 3)
	s.backend(standin.BackendSettings{
		ID: "i-engine-0", Service: "assistant", Slots: 16, AdapterSlots: 3, Model: "m",
		ServiceTime: 5 * time.Millisecond, Events: 5, LoadTime: 800 * time.Millisecond, ModelLoadTime: 300 * time.Millisecond,
	})
	s.configure(`{"name":"ask","host":"h.example","prefix":"/ask/","type":"streaming","resumable":true,"maxAttempts":2,"timeoutMs":15000,"targetLatencyMs":2000,"service":"assistant"}`)
	in := s.instance("edge-a")
	s.awaitOwners(1, in)
	cfg := in.cfg
	cfg.Grace = 8 * time.Second
	in.Reload(cfg)
	caller := newDrainedCaller(t, in)
	caller.send(t, "/ask/1", "m/a1")
	time.Sleep(200 * time.Millisecond)
	done := make(chan error, 1)
	go func() { done <- in.Drain(context.Background()) }()
	resp, _ := caller.response(t)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.NilError(t, <-done)
}
