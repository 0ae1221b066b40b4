package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream/citest"
	"github.com/chestnutstream/chestnutstream/platform"
	"github.com/chestnutstream/chestnutstream/standin"
)

// Guards against a part of a response without a length that is relayed as whole, when its server
// resets the connection while the request is written.
func TestPartsOfResetResponsesAreNotRelayed(t *testing.T) {
	const uploads, uploadBytes, part = 300, 1 << 20, "a part of the bo"
	d, r := startFaultFreeRun(t, buildProgram(t), "edge")
	defer d.close()
	address := citest.Serve(t, func(conn net.Conn, req *http.Request) { // before the body is read
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sig\r\n\r\n%s", platform.HeaderRequestID, req.Header.Get(platform.HeaderRequestID), platform.HeaderSignature, part)
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	server := standin.NewBackend(standin.BackendSettings{ID: "i-resets", Service: "upload", Zone: "zone-a", Address: address, Slots: 24}, d.store)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			server.Heartbeat()
			time.Sleep(heartbeatInterval)
		}
	}()
	d.putAsOperator("config", []byte(fmt.Sprintf(`{"version":%d,"routes":[
 {"name":"upload","host":"h.example","prefix":"/upload/","type":"non_idempotent","maxAttempts":1,"timeoutMs":2500,"targetLatencyMs":300,"service":"upload"}],
 "services":[{"name":"upload","healthPath":"/health","maxConnections":200}],"limits":{"maxBodyBytes":%d,"idleTimeoutMs":15000}}`, d.configVersion+configVersionStep, uploadBytes)))
	time.Sleep(warmUpDuration)
	statuses := map[int]int{}
	for i := range uploads {
		inst := r.instances[i%len(r.instances)]
		req, err := http.NewRequest(http.MethodPost, "http://"+inst.callerAddr+"/upload/1", strings.NewReader(strings.Repeat("x", uploadBytes)))
		assert.NilError(t, err)
		req.Host = "h.example"
		req.Header.Set(platform.HeaderRequestID, fmt.Sprint("u", i))
		req.Header.Set(platform.HeaderDeadline, "2000")
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		statuses[resp.StatusCode]++
		assert.Check(t, err != nil || resp.StatusCode != http.StatusOK, "upload %d: whole, %q", i, body)
	}
	t.Logf("statuses: %v", statuses)
	assert.Check(t, statuses[http.StatusBadGateway] > 0)
}
