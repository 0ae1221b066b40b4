package ingress

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A prompt that may have crashed its server would crash the next one.
func TestSuspectedPromptIsNotSentToAnotherServer(t *testing.T) {
	for _, suspect := range []bool{false, true} {
		crashes := newBackend(t, "i-crashes", func(c net.Conn, r *http.Request, _ string) bool {
			writeStreamHeader(c, r)
			return false
		})
		next := newBackend(t, "i-next", func(c net.Conn, r *http.Request, _ string) bool {
			writeStreamHeader(c, r)
			writeEvents(c, 0, 2)
			_, _ = io.WriteString(c, "0\r\n\r\n")
			return true
		})
		f := newTestServer(t, crashes, next)
		f.dispatcher.suspect = suspect
		_, _, err := f.send(t, "POST", "/ask/1", "x", "X-Chestnutstream-Prefix-Hash", "aa:1,bb:2,cc:3")
		assert.Equal(t, err != nil, suspect)
		assert.Equal(t, next.requestCount() == 0, suspect)
	}
}

// A request that is aborted because such requests crash servers may have run once it has
// been sent; before, it has not.
func TestAbortedRequestIsToldWhetherItMayHaveRun(t *testing.T) {
	tests := []struct {
		name   string
		sent   bool
		status int
	}{
		{"while it waits for a server", false, http.StatusServiceUnavailable},
		{"at a server", true, http.StatusBadGateway},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			arrived := make(chan struct{}, 1)
			b := newBackend(t, "i-1", func(net.Conn, *http.Request, string) bool {
				arrived <- struct{}{}
				time.Sleep(time.Second)
				return false
			})
			f := newTestServer(t, b)
			f.dispatcher.admitted = make(chan Admission, 1)
			f.dispatcher.placeBlocks = !tt.sent
			go func() {
				a := <-f.dispatcher.admitted
				if tt.sent {
					<-arrived
				}
				assert.Check(t, !a.Begun())
				a.Abort(&NoServerError{Reason: "such requests crash servers", RetryAfter: time.Minute})
			}()
			start := time.Now()
			resp, body, err := f.send(t, "POST", "/ask/1", "x")
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, tt.status)
			assert.Equal(t, body, "such requests crash servers\n")
			assert.Equal(t, resp.Header.Get("Retry-After") != "", !tt.sent)
			assert.Assert(t, time.Since(start) < 500*time.Millisecond)
		})
	}
}
