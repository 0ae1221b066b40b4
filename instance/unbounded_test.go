package instance

import (
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a response to a handshake whose head does not end.
func TestUnboundedHandshakesStayWithinMemory(t *testing.T) {
	const (
		peers    = 20
		maxBytes = 32 << 20
	)
	m, _, _ := newTestMesh(t, "edge-a")
	var before, now runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range peers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					defer conn.Close()
					_, err := io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nX-Long: ")
					for block := strings.Repeat("x", 8<<10); err == nil; {
						_, err = io.WriteString(conn, block)
					}
				}()
			}
		}()
		m.Add(Member{Name: "edge-b" + strings.Repeat("b", i), Address: l.Addr().String()})
	}
	var peak uint64
	for end := time.Now().Add(2 * dialTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		runtime.ReadMemStats(&now)
		peak = max(peak, now.HeapAlloc-min(before.HeapAlloc, now.HeapAlloc))
	}
	assert.Assert(t, peak < maxBytes, "%d MB of heap", peak>>20)
}
