package caller

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/citest"
	"github.com/chestnutstream/chestnutstream/engine"
	"github.com/chestnutstream/chestnutstream/http1"
	"github.com/chestnutstream/chestnutstream/service"
	"github.com/chestnutstream/chestnutstream/timer"
)

// rawServer serves one response, head included, at the returned address.
func rawServer(t *testing.T, response string) string {
	return citest.Serve(t, func(conn net.Conn, _ *http.Request) { _, _ = fmt.Fprint(conn, response) })
}

// poolOf is a pool of servers that are picked in order.
type poolOf struct {
	addresses []string
	failed    []string
}

func (p *poolOf) Pick(_ string, avoid map[string]bool) (server, address string, ok bool) {
	for _, a := range p.addresses {
		if !avoid[a] {
			return a, a, true
		}
	}
	return "", "", false
}

func (p *poolOf) Done(server string, failed bool) {
	if failed {
		p.failed = append(p.failed, server)
	}
}

// Guards against a malformed response of a service that reaches the caller, ends its connection,
// or leaves no trace.
func TestMalformedResponseOfServiceIsNotRelayed(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine"
	heads := []string{"HTTP/1.1 000 Trouble", "HTTP/1.1 600 Trouble", "HTTP/1.1 200 OK\r\nX Odd: 1", "HTTP/1.1 200 OK\r\nContent-Length : 4"}
	for _, head := range heads {
		for _, idempotent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%q, idempotent %t", head, idempotent), func(t *testing.T) {
				pool := &poolOf{addresses: []string{rawServer(t, head+"\r\n\r\noops"), rawServer(t, sound)}}
				logs := memory.New()
				s := NewServer(Settings{Timer: timer.NewSystem(), Metrics: metrics.NewSet(), Log: &log.Logger{Handler: logs, Level: log.InfoLevel}}, Dependencies{
					Pool: pool, Services: service.NewClient(nil), Trace: func(chestnutstream.TraceEvent) {},
				})
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				w := httptest.NewRecorder()
				x := &Exchange{
					W: w, R: httptest.NewRequest(http.MethodPost, "/services/desk/orders", nil), Ctx: ctx, ID: "r-1", Outcome: chestnutstream.NotRun,
					Service: chestnutstream.ServiceSettings{Name: "desk"}, ServicePath: "/orders", Idempotent: idempotent,
					Config: &chestnutstream.Configuration{Limits: chestnutstream.Limits{RetryRatio: 1}},
				}
				(&callFilter{server: s}).Serve(x, func() {})
				status, outcome := http.StatusBadGateway, chestnutstream.Unknown
				if idempotent {
					status, outcome = http.StatusOK, chestnutstream.Ran
				}
				assert.Equal(t, w.Code, status, w.Body)
				assert.Equal(t, w.Header().Get(outcomeHeader), string(outcome))
				assert.DeepEqual(t, pool.failed, pool.addresses[:1])
				assert.Equal(t, len(logs.Entries), 1)
				assert.Equal(t, logs.Entries[0].Fields.Get("request-id"), "r-1")
				assert.Equal(t, logs.Entries[0].Fields.Get("server"), pool.addresses[0])
			})
		}
	}
}

// Guards against an engine that is used on though its responses are none.
func TestMalformedResponseOfEngineMakesItSuspect(t *testing.T) {
	err := fmt.Errorf("generate: %w", &http1.MalformedError{Fault: http1.FaultStatus})
	assert.Equal(t, failureOf(err), engine.Unreachable)
}
