package caller

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
)

// generationRequest is what the pipeline needs to know of a generation's body.
type generationRequest struct {
	Fields map[string]json.RawMessage
	Stream bool
}

// resolve finds the adapter version that a generation names, once, under the
// configuration with which the exchange began.
type resolve struct{}

// Serve implements Filter.
func (f *resolve) Serve(x *Exchange, next func()) {
	model, err := x.Generation.parse(x.Body)
	if err != nil {
		x.refuse(http.StatusBadRequest, &RefusedError{Code: "bad-body", Reason: err.Error()})
		return
	}
	resolved, err := x.Config.Resolve(model, x.Caller)
	if err != nil {
		x.refuse(resolveStatus(err))
		return
	}
	x.Resolved = resolved
	x.W.Header().Set("Chestnutstream-Adapter", resolved.AdapterVersion.String())
	next()
}

func (g *generationRequest) parse(body []byte) (model string, err error) {
	if err := json.Unmarshal(body, &g.Fields); err != nil {
		return "", fmt.Errorf("the body is not a JSON object: %w", err)
	}
	if g.Fields == nil {
		return "", errors.New("the body is not a JSON object")
	}
	if err := json.Unmarshal(g.Fields["model"], &model); err != nil || model == "" {
		return "", errors.New(`the body has no "model": want "ADAPTER" or "ADAPTER@VERSION"`)
	}
	if raw, ok := g.Fields["stream"]; ok {
		if err := json.Unmarshal(raw, &g.Stream); err != nil {
			return "", errors.New(`"stream": want true or false`)
		}
	}
	return model, nil
}

// body returns the request as the engine gets it: the load name in place of the
// model, and always as a stream.
func (g *generationRequest) body(name chestnutstream.LoadName) ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(g.Fields)+1)
	for k, v := range g.Fields {
		fields[k] = v
	}
	model, err := json.Marshal(string(name))
	if err != nil {
		return nil, fmt.Errorf("encode model: %w", err)
	}
	fields["model"] = model
	fields["stream"] = json.RawMessage("true")
	b, err := json.Marshal(fields)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	return b, nil
}

func resolveStatus(err error) (int, *RefusedError) {
	var r *chestnutstream.ResolveError
	if !errors.As(err, &r) {
		return http.StatusBadRequest, &RefusedError{Code: "bad-model", Reason: err.Error()}
	}
	status := http.StatusNotFound
	if r.Code == "not-allowed" {
		status = http.StatusForbidden
	}
	return status, &RefusedError{Code: r.Code, Reason: r.Reason}
}
