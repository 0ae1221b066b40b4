package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against rejections without the id of the request, which the platform's servers
// echo in every response.
func TestBackendEchoesRequestID(t *testing.T) {
	engine := BackendSettings{ID: "i-1", Slots: 1, AdapterSlots: 1, Model: "m", Events: 1}
	tests := []struct {
		name    string
		cfg     BackendSettings
		faults  BackendFaults
		headers map[string]string
		status  int
	}{
		{"executed", BackendSettings{ID: "i-1", Slots: 1}, BackendFaults{}, nil, http.StatusOK},
		{"failed", BackendSettings{ID: "i-1", Slots: 1}, BackendFaults{FailEvery: 1}, nil, http.StatusInternalServerError},
		{"full", BackendSettings{ID: "i-1"}, BackendFaults{}, nil, http.StatusServiceUnavailable},
		{"paused", BackendSettings{ID: "i-1", Slots: 1}, BackendFaults{Pause: 1}, nil, http.StatusServiceUnavailable},
		{"other server", engine, BackendFaults{}, map[string]string{"X-Chestnutstream-Expect-Instance": "i-2"}, http.StatusMisdirectedRequest},
		{"adapter not loaded", engine, BackendFaults{}, map[string]string{"X-Chestnutstream-Model": "m/a"}, http.StatusMisdirectedRequest},
		{"base model not loaded", BackendSettings{ID: "i-1", Slots: 1, AdapterSlots: 1}, BackendFaults{}, nil, http.StatusMisdirectedRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := NewBackend(tt.cfg, NewStore())
			b.SetFaults(tt.faults)
			r := httptest.NewRequest(http.MethodPost, "/order/1", nil)
			r.Header.Set("X-Chestnutstream-Request-Id", "r-1")
			for name, value := range tt.headers {
				r.Header.Set(name, value)
			}
			w := httptest.NewRecorder()
			b.ServeHTTP(w, r)
			assert.Equal(t, w.Code, tt.status)
			assert.Equal(t, w.Header().Get("X-Chestnutstream-Request-Id"), "r-1")
			notExecuted := w.Header().Get("X-Chestnutstream-Not-Executed") != ""
			assert.Equal(t, notExecuted, tt.status == http.StatusServiceUnavailable || tt.status == http.StatusMisdirectedRequest)
		})
	}
}

func TestBackendRepeatsRejections(t *testing.T) {
	b := NewBackend(BackendSettings{ID: "i-1", Slots: 1}, NewStore())
	b.SetFaults(BackendFaults{RejectEvery: 2, RepeatRejections: 1})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := b.Server()
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close() })
	conn, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	in := bufio.NewReader(conn)
	steps := []struct {
		id   string
		want []string
	}{
		{"r-1", []string{"200 r-1"}},
		{"r-2", []string{"503 r-2"}},
		{"r-3", []string{"503 r-2", "200 r-3"}},
		{"r-4", []string{"503 r-4"}},
		{"r-4", []string{"503 r-4", "200 r-4"}},
	}
	for _, step := range steps {
		_, err := fmt.Fprintf(conn, "POST /order/1 HTTP/1.1\r\nHost: h\r\nX-Chestnutstream-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", step.id)
		assert.NilError(t, err)
		for _, want := range step.want {
			resp, err := http.ReadResponse(in, nil)
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, fmt.Sprint(resp.StatusCode, " ", resp.Header.Get("X-Chestnutstream-Request-Id")), want)
		}
	}
	c := b.Counts()
	assert.Equal(t, c.RepeatedRejections, 2)
	assert.Equal(t, c.RepeatedToSameRequest, 1)
}
