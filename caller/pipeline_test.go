package caller

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/table"
	"github.com/chestnutstream/chestnutstream/timer"
)

type filterFunc func(x *Exchange)

func (f filterFunc) Serve(x *Exchange, _ func()) { f(x) }

// A caller that closes only its sending side still reads, and must not take an empty response
// for its answer when the request is given up.
func TestHalfClosedConnectionGetsNoEmptyAnswer(t *testing.T) {
	tests := []struct {
		name string
		give func(x *Exchange)
	}{
		{"generation", func(x *Exchange) { (&generateFilter{}).respondFailure(x, newRelay(x), errors.New("given up")) }},
		{"call", func(x *Exchange) { (&callFilter{}).respondFailure(x, errors.New("given up")) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewServer(Settings{Timer: timer.NewSystem(), Metrics: metrics.NewSet()}, Dependencies{
				Configuration: func() *chestnutstream.Configuration { return &chestnutstream.Configuration{} },
				Ready:         func() bool { return true },
				Trace:         func(chestnutstream.TraceEvent) {},
			})
			srv := httptest.NewServer(s.handler(Pipeline{filterFunc(func(x *Exchange) {
				<-x.R.Context().Done()
				x.Outcome = chestnutstream.Unknown
				tt.give(x)
			})}))
			defer srv.Close()
			conn, err := net.Dial("tcp", srv.Listener.Addr().String())
			assert.NilError(t, err)
			defer conn.Close()
			_, err = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n")
			assert.NilError(t, err)
			time.Sleep(20 * time.Millisecond)
			assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
			answer, err := io.ReadAll(conn)
			assert.NilError(t, err)
			assert.Equal(t, string(answer), "")
		})
	}
}

type unsettledClaims struct{ Claimer }

func (unsettledClaims) Claim(context.Context, string, string, string) (table.ClaimVerdict, table.ClaimTicket, table.Claim, error) {
	return table.ClaimUnsettled, table.ClaimTicket{}, table.Claim{}, nil
}

func (unsettledClaims) SettleDelay() time.Duration { return 12500 * time.Millisecond }

func TestOrderWhoseClaimMayBeLostIsNotSentAndUnknown(t *testing.T) {
	s := NewServer(Settings{Timer: timer.NewSystem(), Metrics: metrics.NewSet()}, Dependencies{
		Claims: unsettledClaims{},
		Trace:  func(chestnutstream.TraceEvent) {},
	})
	w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/orders", nil)
	r.Header.Set("Idempotency-Key", "k")
	x := &Exchange{W: w, R: r, Ctx: t.Context(), Outcome: chestnutstream.NotRun, Service: chestnutstream.ServiceSettings{Name: "desk"}}
	(&claimFilter{server: s}).Serve(x, func() { t.Error("the order was sent") })
	assert.Equal(t, w.Code, http.StatusConflict)
	assert.Equal(t, w.Header().Get("Retry-After"), "13")
	assert.Equal(t, w.Header().Get(outcomeHeader), string(chestnutstream.Unknown))
}
