package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newStreamBackend returns a backend server of a software version that breaks its streams
// off before the event breakAt, or completes them with event 5 if breakAt is 0.
func newStreamBackend(t *testing.T, id, software string, breakAt int) *backend {
	b := newBackend(t, id, func(c net.Conn, r *http.Request, _ string) bool {
		from := 0
		if _, err := fmt.Sscan(r.Header.Get("Last-Event-Id"), &from); err == nil {
			from++
		}
		writeStreamHeader(c, r)
		if breakAt > 0 {
			writeEvents(c, from, breakAt)
			time.Sleep(20 * time.Millisecond)
			return false
		}
		writeEvents(c, from, 6)
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return true
	})
	b.software = software
	return b
}

func TestLongStreamIsResumed(t *testing.T) {
	breaks := newBackend(t, "i-1", func(c net.Conn, r *http.Request, _ string) bool {
		writeStreamHeader(c, r)
		for i := range 4 {
			writeEvents(c, i, i+1)
			time.Sleep(minAbandonTime / 4)
		}
		return false
	})
	f := newTestServer(t, breaks, newStreamBackend(t, "i-2", "", 0))
	_, body, err := f.send(t, "POST", "/ask/1", "x")
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(body, "\n\n"), 6)
}

func TestStreamIsNotResumedOnAnotherSoftwareVersion(t *testing.T) {
	tests := []struct {
		name     string
		breakAt  int // before this event the first server, of v1, breaks off
		software string
		resumed  bool
	}{
		{"same version", 3, "v1", true},
		{"other version", 3, "v2", false},
		{"no version", 3, "", false},
		{"other version, no event yet", -1, "v2", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			breaks := newStreamBackend(t, "i-1", "v1", tt.breakAt)
			if tt.breakAt < 0 {
				breaks = newBackend(t, "i-1", func(c net.Conn, r *http.Request, _ string) bool {
					writeStreamHeader(c, r)
					return false
				})
			}
			other := newStreamBackend(t, "i-2", tt.software, 0)
			f := newTestServer(t, breaks, other)
			_, _, err := f.send(t, "POST", "/ask/1", "x")
			assert.Equal(t, err == nil, tt.resumed, "%v", err)
			assert.Equal(t, other.requestCount() > 0, tt.resumed)
		})
	}
}
