package service

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
)

// TestCallDistinguishesNotSentFromUnknownOutcome guards against reporting a call
// as not sent when the server ran it and closed the connection, and against
// sending such a call twice.
func TestCallDistinguishesNotSentFromUnknownOutcome(t *testing.T) {
	var requests atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	call := chestnutstream.ServiceCall{Method: http.MethodPost, Path: "/orders/1", Body: []byte("x")}
	_, err := NewClient(nil).Call(context.Background(), address, call)
	assert.Assert(t, err != nil && !errors.Is(err, ErrNotSent), "%v", err)
	assert.Equal(t, requests.Load(), int32(1), "number of requests sent")
	_, err = NewClient(nil).Call(context.Background(), "127.0.0.1:1", call)
	assert.Assert(t, errors.Is(err, ErrNotSent), "%v", err)
}

// TestIdempotentCallTimesOutWaitingForResponse guards against an idempotent call
// that waits without limit for an unresponsive server instead of being retried.
func TestIdempotentCallTimesOutWaitingForResponse(t *testing.T) {
	release := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer srv.Close()
	defer close(release)
	call := chestnutstream.ServiceCall{Method: http.MethodGet, Path: "/stock/1", Idempotent: true, ResponseTimeout: 20 * time.Millisecond}
	_, err := NewClient(nil).Call(context.Background(), strings.TrimPrefix(srv.URL, "http://"), call)
	assert.Assert(t, errors.Is(err, ErrResponseTimeout), "%v", err)
}

func TestForwardedHeadersRemovesConnectionHeaders(t *testing.T) {
	h := http.Header{"Connection": {"X-Hop, close"}, "X-Hop": {"1"}, "Authorization": {"Bearer x"}, "Transfer-Encoding": {"chunked"}, "X-Kept": {"1"}}
	assert.DeepEqual(t, ForwardedHeaders(h), http.Header{"X-Kept": {"1"}})
}
