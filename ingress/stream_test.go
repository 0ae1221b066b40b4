package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/chestnutstream/chestnutstream/citest"
)

func TestMain(m *testing.M) { os.Exit(citest.Run(m)) }

// Servers break streams off anywhere, also within an event. The caller receives a
// prefix of the full response, each event once and in order; if it appears complete,
// it is.
func TestResumedStreamDeliversEventsOnceInOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const eventCount = 8
		event := func(i int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i) }
		full := ""
		for i := range eventCount {
			full += event(i)
		}
		var servers []*backend
		for s := range 3 {
			breakAfter := rapid.IntRange(0, len(full)).Draw(rt, "bytes before the break")
			ends := rapid.Bool().Draw(rt, "ends well")
			chunk := rapid.IntRange(1, 40).Draw(rt, "chunk")
			servers = append(servers, newBackend(t, fmt.Sprintf("i-%d", s), func(c net.Conn, r *http.Request, _ string) bool {
				from := 0
				if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
					from = last + 1
				}
				response := ""
				for i := from; i < eventCount; i++ {
					response += event(i)
				}
				if !ends {
					response = response[:min(breakAfter, len(response))]
				}
				writeStreamHeader(c, r)
				for len(response) > 0 {
					n := min(chunk, len(response))
					_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", n, response[:n])
					response = response[n:]
				}
				if ends {
					_, _ = io.WriteString(c, "0\r\n\r\n")
				}
				return ends
			}))
		}
		f := newTestServer(t, servers...)
		resp, body, err := f.send(t, "POST", "/ask/1", "x")
		if resp == nil {
			return // broken off before the first event
		}
		if resp.StatusCode != http.StatusOK {
			rt.Fatalf("status %d: %q", resp.StatusCode, body)
		}
		if !strings.HasPrefix(full, body) {
			rt.Fatalf("not a prefix of the response: %q", body)
		}
		if err == nil && body != full {
			rt.Fatalf("looks complete: %q", body)
		}
	})
}
