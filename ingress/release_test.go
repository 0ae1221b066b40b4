package ingress

import (
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Assignments of streams that were broken off were never released, so that their servers
// counted as busier from then on.
func TestAssignmentsAreReleasedOnEachWayOut(t *testing.T) {
	t.Parallel()
	breaks := func(c net.Conn, r *http.Request, _ string) bool {
		writeStreamHeader(c, r)
		writeEvents(c, 0, 2)
		return false
	}
	fails := func(c net.Conn, r *http.Request, _ string) bool { return writeResponse(c, r, "500 Oops", "") }
	closes := func(net.Conn, *http.Request, string) bool { return false }
	for _, c := range []struct {
		name     string
		path     string
		respond  responder
		backends int
	}{
		{"stream that may not be resumed breaks off", "/once/1", breaks, 1},
		{"resumed stream breaks off", "/ask/1", breaks, 2},
		{"no server resumes the stream", "/ask/1", breaks, 1},
		{"no response", "/order/1", closes, 1},
		{"complete", "/order/1", respondOK, 1},
		{"server error, retried", "/look/1", fails, 2},
		{"server error, retried without a response", "/ask/1", fails, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var backends []*backend
			for i := range c.backends {
				backends = append(backends, newBackend(t, string(rune('a'+i)), c.respond))
			}
			f := newTestServer(t, backends...)
			_, _, _ = f.send(t, "POST", c.path, "x") // its outcome does not matter
			awaitDone(t, f.handler)
			f.dispatcher.mu.Lock()
			defer f.dispatcher.mu.Unlock()
			assert.Equal(t, f.dispatcher.openPlacements, 0)
		})
	}
}
