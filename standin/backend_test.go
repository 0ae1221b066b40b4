package standin

import (
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
