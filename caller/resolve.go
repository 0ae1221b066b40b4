package caller

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
)

// generationRequest is the parsed body of a generation request.
type generationRequest struct {
	Fields map[string]json.RawMessage
	Stream bool
}

// resolveFilter resolves the requested model to an adapter version once, using
// the configuration that was active when the exchange started.
type resolveFilter struct{}

// Serve implements Filter.
func (f *resolveFilter) Serve(x *Exchange, next func()) {
	model, err := x.Generation.parse(x.Body)
	if err != nil {
		x.refuse(http.StatusBadRequest, &RefusedError{Code: "bad-body", Reason: err.Error()})
		return
	}
	resolved, err := x.Config.Resolve(model, x.Caller)
	if err != nil {
		x.refuse(resolveRefusal(err))
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

// engineBody returns the request body for the engine: with the load name as its
// model, and with streaming always enabled.
func (g *generationRequest) engineBody(loadName chestnutstream.LoadName) ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(g.Fields)+1)
	for k, v := range g.Fields {
		fields[k] = v
	}
	model, err := json.Marshal(string(loadName))
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

func resolveRefusal(err error) (int, *RefusedError) {
	var resolveErr *chestnutstream.ResolveError
	if !errors.As(err, &resolveErr) {
		return http.StatusBadRequest, &RefusedError{Code: "bad-model", Reason: err.Error()}
	}
	status := http.StatusNotFound
	if resolveErr.Code == "not-allowed" {
		status = http.StatusForbidden
	}
	return status, &RefusedError{Code: resolveErr.Code, Reason: resolveErr.Reason}
}
