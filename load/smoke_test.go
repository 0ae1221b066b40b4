package load

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream/caller"
	"github.com/chestnutstream/chestnutstream/entry"
)

func discardLog() log.Interface { return &log.Logger{Handler: discard.New(), Level: log.InfoLevel} }

// TestRequestThroughDeployment sends a request through every component: entry
// instance, owner, weight store and engine.
func TestRequestThroughDeployment(t *testing.T) {
	spec, err := FindSpec("attiki")
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	d, err := StartDeployment(ctx, spec, Options{Seed: 1, Policy: entry.PolicyDefault, Log: discardLog()})
	assert.NilError(t, err)
	defer d.Close()
	for _, e := range d.Entries {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Instance.CallerAddress+"/v1/completions",
			strings.NewReader(`{"model":"round-0007@v2","prompt":"hello","max_tokens":3}`))
		assert.NilError(t, err)
		req.Header.Set("Authorization", "Bearer "+caller.Credential(CallerSecret, CallerName))
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, http.StatusOK, string(body))
		assert.Equal(t, resp.Header.Get("Chestnutstream-Outcome"), "ran")
		assert.Equal(t, resp.Header.Get("Chestnutstream-Adapter"), "round-0007@v2")
		assert.Assert(t, strings.Contains(string(body), "round-0007@v2#0 round-0007@v2#1 round-0007@v2#2 "), string(body))
	}
	loads := 0
	for _, s := range d.Engines {
		loads += s.Engine.Counts().Loads
	}
	assert.Equal(t, loads, 1, "all instances must share one load")
}
