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

// Servers break streams off anywhere, also within an event. What the caller gets
// is a prefix of the whole answer, each piece once and in order; and if it looks
// complete, it is.
func TestStreamPiecesComeOnceInOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const pieces = 8
		event := func(i int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i) }
		whole := ""
		for i := range pieces {
			whole += event(i)
		}
		var servers []*backend
		for s := range 3 {
			after := rapid.IntRange(0, len(whole)).Draw(rt, "bytes before the break")
			ends := rapid.Bool().Draw(rt, "ends well")
			chunk := rapid.IntRange(1, 40).Draw(rt, "chunk")
			servers = append(servers, newBackend(t, fmt.Sprintf("i-%d", s), func(c net.Conn, r *http.Request, _ string) bool {
				from := 0
				if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
					from = last + 1
				}
				answer := ""
				for i := from; i < pieces; i++ {
					answer += event(i)
				}
				if !ends {
					answer = answer[:min(after, len(answer))]
				}
				streamHead(c, r)
				for len(answer) > 0 {
					n := min(chunk, len(answer))
					_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", n, answer[:n])
					answer = answer[n:]
				}
				if ends {
					_, _ = io.WriteString(c, "0\r\n\r\n")
				}
				return ends
			}))
		}
		f := newFront(t, servers...)
		resp, body, err := f.ask(t, "POST", "/ask/1", "x")
		if resp == nil {
			return // broken off before anything
		}
		if resp.StatusCode != http.StatusOK {
			rt.Fatalf("status %d: %q", resp.StatusCode, body)
		}
		if !strings.HasPrefix(whole, body) {
			rt.Fatalf("not a beginning of the answer: %q", body)
		}
		if err == nil && body != whole {
			rt.Fatalf("looks complete: %q", body)
		}
	})
}
