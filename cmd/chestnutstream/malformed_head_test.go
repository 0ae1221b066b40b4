package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/citest"
	"github.com/chestnutstream/chestnutstream/engine"
	"github.com/chestnutstream/chestnutstream/http1"
	"github.com/chestnutstream/chestnutstream/platform"
	"github.com/chestnutstream/chestnutstream/service"
)

// serveHead serves responses with a head and a body at the returned address.
func serveHead(t *testing.T, head, body string) string {
	return citest.Serve(t, func(conn net.Conn, _ *http.Request) {
		_, _ = fmt.Fprintf(conn, "%s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", head, len(body), body)
	})
}

// responseReaders are the clients' calls, with the body that each takes for a success.
func responseReaders() []struct {
	name, body string
	call       func(ctx context.Context, address string) error
} {
	ignored := func(chestnutstream.Backend, time.Duration, chestnutstream.Backpressure) {}
	engines, services := engine.NewClient(nil), service.NewClient(nil)
	control := platform.NewEngineClient(func() time.Duration { return 0 }, ignored)
	server := func(address string) chestnutstream.Backend {
		return chestnutstream.Backend{ID: "i-1", Address: address}
	}
	store := func(address string) *platform.Store { return platform.NewStore(address, time.Second, nil) }
	return []struct {
		name, body string
		call       func(ctx context.Context, address string) error
	}{
		{"status of an engine", "{}", func(ctx context.Context, address string) error { _, err := engines.Status(ctx, address); return err }},
		{"order to an engine", "", func(ctx context.Context, address string) error {
			return engines.Load(ctx, address, chestnutstream.Order{Name: "a1@1"})
		}},
		{"generation", "id: 0\ndata: [DONE]\n\n", func(ctx context.Context, address string) error {
			return engines.Generate(ctx, address, chestnutstream.Generation{RequestID: "r-1"}, func(chestnutstream.Chunk) error { return nil })
		}},
		{"call of a service", "", func(ctx context.Context, address string) error {
			_, err := services.Call(ctx, address, chestnutstream.ServiceCall{Method: "POST", Path: "/x"})
			return err
		}},
		{"health of a service", "{}", func(ctx context.Context, address string) error { _, err := services.Health(ctx, address); return err }},
		{"report", "{}", func(ctx context.Context, address string) error {
			_, err := control.Report(ctx, server(address))
			return err
		}},
		{"order", "", func(ctx context.Context, address string) error {
			_, err := control.Order(ctx, server(address), chestnutstream.BackendOrder{Kind: chestnutstream.OrderLoad})
			return err
		}},
		{"poll of an order", "", func(ctx context.Context, address string) error {
			_, err := control.Order(ctx, server(address), chestnutstream.BackendOrder{Kind: chestnutstream.OrderLoad, Poll: true})
			return err
		}},
		{"rows of the store", "{}", func(ctx context.Context, address string) error {
			_, _, err := store(address).Rows(ctx, "servers")
			return err
		}},
		{"transaction of the store", "{}", func(ctx context.Context, address string) error {
			_, err := store(address).Apply(ctx, chestnutstream.RowTransaction{})
			return err
		}},
		{"object of the store", "x", func(ctx context.Context, address string) error {
			_, err := store(address).GetObject(ctx, "x")
			return err
		}},
	}
}

// Guards against responses that are none and are believed: by each client, not only by those of
// callers' requests.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	heads := []struct {
		name, head string
		fault      http1.Fault // "": well-formed
	}{
		{"sound", "HTTP/1.1 200 OK", ""},
		{"no reason phrase", "HTTP/1.1 200", ""},
		{"status 000", "HTTP/1.1 000 Trouble", http1.FaultStatus},
		{"status +20", "HTTP/1.1 +20 OK", http1.FaultStatus},
		{"status 101", "HTTP/1.1 101 Switching Protocols", http1.FaultStatus},
		{"status 600", "HTTP/1.1 600 Trouble", http1.FaultStatus},
		{"another protocol", "HTTP/2.0 200 OK", http1.FaultVersion},
		{"control byte in the reason", "HTTP/1.1 200 O\x00K", http1.FaultReason},
		{"any token as a name", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~: 1", ""},
		{"blank in a name", "HTTP/1.1 200 OK\r\nX Odd: 1", http1.FaultField},
		{"blank behind a name", "HTTP/1.1 200 OK\r\nX-Odd : 1", http1.FaultField},
		{"blank behind a name that frames", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked", http1.FaultField},
		{"transfer coding in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked", http1.FaultFraming},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nX\x01: 1", http1.FaultField},
	}
	for _, r := range responseReaders() {
		for _, tt := range heads {
			t.Run(r.name+", "+tt.name, func(t *testing.T) {
				t.Parallel()
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				defer cancel()
				err := r.call(ctx, serveHead(t, tt.head, r.body))
				if tt.fault == "" {
					assert.NilError(t, err)
					return
				}
				assert.Assert(t, err != nil)
				assert.Check(t, !engine.DidNotRun(err) && !errors.Is(err, service.ErrNotSent), "taken for not run: %v", err)
				var malformed *http1.MalformedError
				if assert.Check(t, errors.As(err, &malformed), "%v", err) {
					assert.Equal(t, malformed.Fault, tt.fault)
				}
			})
		}
	}
}
