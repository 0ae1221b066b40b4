package main

import (
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/engine"
	"github.com/chestnutstream/chestnutstream/service"
)

// endlessHead serves heads of responses that do not end, at the returned address.
func endlessHead(t *testing.T) string {
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
				_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Long: ")
				for block := strings.Repeat("x", 8<<10); err == nil; {
					_, err = io.WriteString(conn, block)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against heads of responses without end that are kept until memory runs out.
func TestUnboundedHeadsOfManyResponsesStayWithinMemory(t *testing.T) {
	const (
		calls    = 40
		maxBytes = 64 << 20
	)
	address := endlessHead(t)
	engines, services := engine.NewClient(nil), service.NewClient(nil)
	tests := []struct {
		name string
		call func(ctx context.Context) error
	}{
		{"status of an engine", func(ctx context.Context) error { _, err := engines.Status(ctx, address); return err }},
		{"order to an engine", func(ctx context.Context) error { return engines.Load(ctx, address, chestnutstream.Order{Name: "a1@1"}) }},
		{"generation", func(ctx context.Context) error {
			return engines.Generate(ctx, address, chestnutstream.Generation{RequestID: "r-1"}, func(chestnutstream.Chunk) error { return nil })
		}},
		{"call of a service", func(ctx context.Context) error {
			_, err := services.Call(ctx, address, chestnutstream.ServiceCall{Method: "POST", Path: "/x"})
			return err
		}},
		{"health of a service", func(ctx context.Context) error { _, err := services.Health(ctx, address); return err }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			runtime.GC()
			var before, m runtime.MemStats
			runtime.ReadMemStats(&before)
			var wg sync.WaitGroup
			for range calls {
				wg.Add(1)
				go func() {
					defer wg.Done()
					assert.Check(t, tt.call(ctx) != nil)
				}()
			}
			done := make(chan struct{})
			go func() { wg.Wait(); close(done) }()
			var peak uint64
			for running := true; running; {
				select {
				case <-done:
					running = false
				case <-time.After(20 * time.Millisecond):
				}
				runtime.ReadMemStats(&m)
				peak = max(peak, m.HeapAlloc)
			}
			peak -= min(before.HeapAlloc, peak)
			assert.Check(t, peak < maxBytes, "%d MB of heap", peak>>20)
		})
	}
}
