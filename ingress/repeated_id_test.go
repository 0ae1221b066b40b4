package ingress

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// copiesFirstRejection returns a server that rejects the first arrival of r-1 and requests
// whose ID ends with "-full", runs all else, and sends the rejection once more where it runs r-1 on the same connection.
func copiesFirstRejection(t *testing.T, status int, header string) *backend {
	var mu sync.Mutex
	var rejectedOn net.Conn
	return newBackend(t, "i-1", func(c net.Conn, r *http.Request, _ string) bool {
		requestID := r.Header.Get(requestIDHeader)
		mu.Lock()
		first := requestID == "r-1" && rejectedOn == nil
		if first {
			rejectedOn = c
		}
		copied := requestID == "r-1" && rejectedOn == c
		mu.Unlock()
		if copied {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nX-Chestnutstream-Not-Executed: 1\r\n%s: r-1\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), requestIDHeader, header)
		}
		if first {
			return true
		}
		if strings.HasSuffix(requestID, "-full") {
			writeRejection(c, status, requestID)
			return true
		}
		if copied {
			time.Sleep(20 * time.Millisecond)
		}
		return writeResponse(c, r, "200 OK", "ran "+requestID)
	})
}

func TestLateCopyUnderRepeatedIDIsNotBelieved(t *testing.T) {
	between := []struct {
		name     string
		requests int
		suffix   string
	}{
		{"at once", 0, ""},
		{"after another request", 1, ""},
		{"after more than are remembered", maxRecentRequests + 1, ""},
		{"after many", 100, ""},
		{"after a rejection", 1, "-full"},
		{"after more rejections than are remembered", maxRejections + 1, "-full"},
	}
	for _, tt := range between {
		for _, path := range []string{"/order/1", "/once/1"} {
			for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests} {
				t.Run(fmt.Sprintf("%s %s %d", tt.name, path, status), func(t *testing.T) {
					b := copiesFirstRejection(t, status, "")
					f := newTestServer(t, b)
					resp, body, err := f.send(t, "POST", path, "x")
					assert.NilError(t, err)
					assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable, body)
					for i := range tt.requests {
						_, _, err := f.send(t, "POST", path, "x", requestIDHeader, fmt.Sprintf("r-1-%d%s", i, tt.suffix))
						assert.NilError(t, err)
					}
					resp, body, err = f.send(t, "POST", path, "x")
					assert.NilError(t, err)
					assert.Equal(t, resp.StatusCode, http.StatusOK, body)
					assert.Equal(t, body, "ran r-1")
					assert.Equal(t, b.requestCount(), 2+tt.requests)
				})
			}
		}
	}
}

// A server has started again under another ID: i-1 and i-2 have one address.
func TestLateCopyOfMisdirectedResponseIsNotBelievedUnderTheNewServerID(t *testing.T) {
	for _, path := range []string{"/order/1", "/once/1"} {
		t.Run(path, func(t *testing.T) {
			b := copiesFirstRejection(t, http.StatusMisdirectedRequest, "X-Chestnutstream-Instance-Id: i-2\r\n")
			f := newTestServer(t, b, &backend{id: "i-2", l: b.l}, newBackend(t, "i-3", respondOK))
			resp, body, err := f.send(t, "POST", path, "x")
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusOK, body)
			assert.Equal(t, body, "ran r-1")
			assert.Equal(t, b.requestCount(), 2)
		})
	}
}
