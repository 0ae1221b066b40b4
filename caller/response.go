package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/chestnutstream/chestnutstream"
)

// outcomeHeader is the response header, or the trailer of a stream, that states
// the request's outcome.
const outcomeHeader = "Chestnutstream-Outcome"

type errorResponse struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code      string `json:"code"`
	Message   string `json:"message"`
	Outcome   string `json:"outcome"`
	RequestID string `json:"request-id,omitempty"`
}

// refuse writes an error response for a request that did not run.
func (x *Exchange) refuse(status int, e *RefusedError) {
	x.Outcome = chestnutstream.NotRun
	if e.RetryAfter > 0 {
		x.W.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	x.fail(status, e.Code, e.Reason)
}

// fail writes an error response with the exchange's outcome.
func (x *Exchange) fail(status int, code, message string) {
	x.Status = status
	h := x.W.Header()
	h.Set("Content-Type", "application/json")
	h.Set(outcomeHeader, string(x.Outcome))
	x.W.WriteHeader(status)
	_ = json.NewEncoder(x.W).Encode(x.errorBody(code, message))
}

func (x *Exchange) errorBody(code, message string) errorResponse {
	return errorResponse{errorDetail{Code: code, Message: message, Outcome: string(x.Outcome), RequestID: x.ID}}
}

// models lists the adapter versions that the caller may use.
func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	x, ok := s.begin(w, r)
	if !ok {
		return
	}
	(&authenticateFilter{secret: s.cfg.Secret}).Serve(x, func() {
		type modelEntry struct {
			ID      string `json:"id"`
			Object  string `json:"object"`
			OwnedBy string `json:"owned_by"`
		}
		models := struct {
			Object string       `json:"object"`
			Data   []modelEntry `json:"data"`
		}{Object: "list", Data: []modelEntry{}}
		for _, a := range x.Config.Adapters {
			if !a.Allows(x.Caller) {
				continue
			}
			for _, v := range a.Versions {
				av := chestnutstream.AdapterVersion{Adapter: a.Name, Version: v}
				models.Data = append(models.Data, modelEntry{av.String(), "model", a.BaseModel})
			}
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(models)
	})
}

// refusalStatus returns the HTTP status for a RefusedError's code.
func refusalStatus(code string) int {
	switch code {
	case "deadline":
		return http.StatusGatewayTimeout
	case "queue-full", "shed":
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}

// bearerToken returns the bearer token of the Authorization header, or "".
func bearerToken(r *http.Request) string {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return token
}
