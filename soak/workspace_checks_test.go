package soak

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream/platform"
)

// Guards against a check of responses that accepts an instance which takes an unknown key,
// refuses a valid one, or discloses a key.
func TestCheckAuthentication(t *testing.T) {
	tests := []struct {
		name   string
		auth   authentication
		status int
		body   string
		err    error
		want   string // part of the violation; empty: none
	}{
		{"unknown key refused", authentication{use: keyUnknown, due: true}, http.StatusUnauthorized, "", nil, ""},
		{"unknown key served", authentication{use: keyUnknown}, http.StatusOK, "", nil, "status 200 for an unknown key"},
		{"unknown key not run, configuration out of date", authentication{use: keyUnknown}, http.StatusServiceUnavailable, "", nil, ""},
		{"unknown key not run, configuration up to date", authentication{use: keyUnknown, due: true}, http.StatusServiceUnavailable, "", nil, "status 503 for an unknown key"},
		{"unknown key, no response", authentication{use: keyUnknown, due: true}, 0, "", errors.New("reset"), ""},
		{"oversize key refused by its size", authentication{use: keyOversize, due: true}, http.StatusRequestHeaderFieldsTooLarge, "", nil, ""},
		{"long key refused by its size", authentication{use: keyUnknown, due: true}, http.StatusRequestHeaderFieldsTooLarge, "", nil, "status 431 for an unknown key"},
		{"oversize key over the quota", authentication{use: keyOversize}, http.StatusTooManyRequests, "", nil, "status 429 for an unknown key"},
		{"public route asks for a key", authentication{use: keyNotAsked}, http.StatusUnauthorized, "", nil, "a public route asked for a key"},
		{"public route without room", authentication{use: keyNotAsked}, http.StatusServiceUnavailable, "", nil, ""},
		{"valid key refused", authentication{use: keyValid, due: true}, http.StatusUnauthorized, "", nil, "was refused as unknown"},
		{"added key refused after the bound", authentication{use: keyAdded, due: true}, http.StatusUnauthorized, "", nil, "was refused as unknown"},
		{"added key refused within the bound", authentication{use: keyAdded}, http.StatusUnauthorized, "", nil, ""},
		{"valid key over the quota", authentication{use: keyValid, due: true}, http.StatusTooManyRequests, "", nil, ""},
		{"key in the response", authentication{use: keyValid}, http.StatusOK, "unknown key " + permanentKey("low"), nil, "the response contains a key"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assertViolation(t, checkAuthentication(result{id: "r-1", auth: &tt.auth, status: tt.status, body: tt.body, err: tt.err}), tt.want)
		})
	}
}

func assertViolation(t *testing.T, got, want string) {
	t.Helper()
	assert.Assert(t, strings.Contains(got, want) && (want == "") == (got == ""), "violation %q, want %q", got, want)
}

// Guards against a check of arrivals that accepts a request of another workspace, with a key,
// or of a caller whose key is unknown or removed.
func TestCheckArrival(t *testing.T) {
	sent := map[string]authentication{
		"valid":     {use: keyValid, workspace: "north"},
		"public":    {use: keyNotAsked},
		"unknown":   {use: keyUnknown},
		"oversize":  {use: keyOversize},
		"removed":   {use: keyRemoved, workspace: "north"},
		"removed-2": {use: keyRemoved, workspace: "north", due: true},
	}
	tests := []struct {
		name    string
		arrival arrival
		want    string
	}{
		{"named", arrival{id: "valid", workspaces: []string{"north"}}, ""},
		{"not named", arrival{id: "valid"}, `for workspace [] instead of ["north"]`},
		{"of another one", arrival{id: "valid", workspaces: []string{"south"}}, `["south"] instead of ["north"]`},
		{"named twice", arrival{id: "valid", workspaces: []string{"north", "forged"}}, `instead of ["north"]`},
		{"public", arrival{id: "public"}, ""},
		{"public, as the caller named it", arrival{id: "public", workspaces: []string{"forged"}}, `["forged"] instead of []`},
		{"key in a header", arrival{id: "valid", workspaces: []string{"north"}, leak: "X-Key"}, "a key reached i-1 in X-Key"},
		{"unknown key", arrival{id: "unknown", workspaces: []string{"north"}}, "with an unknown key"},
		{"oversize key", arrival{id: "oversize"}, "with an unknown key"},
		{"removed within the bound", arrival{id: "removed", workspaces: []string{"north"}}, ""},
		{"removed before the bound", arrival{id: "removed-2", workspaces: []string{"north"}}, "after the removal of its key"},
		{"not sent", arrival{id: "other"}, "no caller sent it"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.arrival.server = "i-1"
			assertViolation(t, checkArrival(tt.arrival, sent), tt.want)
		})
	}
}

// Guards against a check of quotas that misses too much in some window, or a lowered limit.
func TestCheckQuota(t *testing.T) {
	begin := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	after := func(seconds float64) time.Time { return begin.Add(time.Duration(seconds * float64(time.Second))) }
	// steady returns charges of a rate over a time.
	steady := func(from, to, perSecond float64) (list []charge) {
		for s := from; s < to; s += 0.1 {
			list = append(list, charge{after(s), perSecond / 10})
		}
		return list
	}
	always := []workspaceLimit{{perSecond: 2000, from: begin}} // 27,800 tokens in 8 s
	lowered := []workspaceLimit{{perSecond: 2000, from: begin, until: after(10)}, {perSecond: 1000, from: after(8)}}
	tests := []struct {
		name   string
		list   []charge
		limits []workspaceLimit
		want   string
	}{
		{"within the limit", steady(1, 30, 2000), always, ""},
		{"burst and slack", append([]charge{{after(0.5), 11000}}, steady(1, 30, 2000)...), always, ""},
		{"over the limit", steady(1, 30, 3600), always, "tokens of workspace low"},
		{"one instance's share twice, for a window", append(steady(1, 10, 2000), steady(10, 18, 4000)...), always, "tokens of workspace low"},
		{"many at once", append(steady(1, 20, 2000), charge{after(20), 15000}), always, "tokens of workspace low"},
		{"lowered, not binding yet", steady(1, 17.9, 2300), lowered, ""},
		{"lowered and binding", steady(1, 25, 2300), lowered, ": 17900 allowed"},
		{"lowered and obeyed", append(steady(1, 10, 2000), steady(10, 30, 1000)...), lowered, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			used, v := checkQuota("low", tt.list, tt.limits)
			assertViolation(t, v, tt.want)
			assert.Equal(t, used > 1, v != "")
		})
	}
}

// Guards against counting a request once for each server that it was sent to.
func TestChargesCountRetriesOnce(t *testing.T) {
	sent := map[string]authentication{"a": {workspace: "low", cost: 5}, "b": {workspace: "low", cost: 7}, "c": {workspace: "north", cost: 9}}
	at := time.Now()
	got := charges("low", []arrival{{id: "a", at: at}, {id: "c", at: at}, {id: "a", at: at.Add(time.Second)}, {id: "b", at: at.Add(2 * time.Second)}}, sent)
	assert.Assert(t, len(got) == 2 && got[0] == charge{at, 5} && got[1] == charge{at.Add(2 * time.Second), 7}, "%v", got)
}

// Guards against limits that stay possible after all instances must have replaced them, and
// against lowered limits that count as binding before.
func TestLimitsBindOnceInstancesKnowThem(t *testing.T) {
	w := newWorkspaces(false)
	w.setLimit(1000)()
	replaced := w.limits[0].replacedAt
	w.bindLimits(replaced, replaced)
	assert.Assert(t, w.limits[0].until.IsZero())
	w.bindLimits(replaced.Add(1), replaced.Add(time.Second))
	assert.Assert(t, w.limits[0].until.Equal(replaced.Add(time.Second)) && w.limits[1].until.IsZero())
	w.reopenLimits(replaced.Add(2 * time.Second))
	assert.Assert(t, w.limits[0].until.IsZero() && w.limits[0].replacedAt.Equal(replaced.Add(2*time.Second)) && w.limits[1].replacedAt.IsZero())
}

// Guards against a server's observer that overlooks a key in a header or target.
func TestObserverFindsKeys(t *testing.T) {
	tests := []struct{ target, id, header, value, leak string }{
		{"/order/1", "r-1", platform.HeaderTenant, "north", ""},
		{"/order/1", "r-1", platform.HeaderKey, permanentKey("north"), platform.HeaderKey},
		{"/order/1", "r-1", "X-Other", "Bearer " + permanentKey("north"), "X-Other"},
		{"/order/1?key=" + permanentKey("north"), "r-1", "X-Other", "", "target"},
		{"/report", "", platform.HeaderKey, permanentKey("north"), platform.HeaderKey},
	}
	for _, tt := range tests {
		w := newWorkspaces(false)
		r := httptest.NewRequest(http.MethodGet, tt.target, nil)
		r.Header.Set(tt.header, tt.value)
		if tt.id != "" {
			r.Header.Set(platform.HeaderRequestID, tt.id)
		}
		w.observe("i-1", r)
		if tt.id != "" {
			assert.Equal(t, w.arrivals[0].leak, tt.leak)
			continue
		}
		assert.Assert(t, len(w.leaks) == 1 && strings.Contains(w.leaks[0], tt.leak), "%q", w.leaks)
	}
}

// Guards against checks that overlook a key in a log, metric or dump.
func TestKeysInLogsAndPagesAreReported(t *testing.T) {
	key := permanentKey("north")
	tests := []struct{ log, metrics, dump, want string }{
		{"ready\n", "requests 1\n", "{}", ""},
		{"ready\nunknown key " + key + "\n", "", "", "the log of edge-a contains a key"},
		{"last line without an end " + key, "", "", "the log of edge-a contains a key"},
		{"", `requests{key="` + key + `"} 1`, "", "/metrics of edge-a contains a key"},
		{"", "", `{"keys":["` + key + `"]}`, "/dump of edge-a contains a key"},
	}
	for _, tt := range tests {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = fmt.Fprint(w, map[string]string{"/metrics": tt.metrics, "/dump": tt.dump}[r.URL.Path])
		}))
		inst := &instance{name: "edge-a", metricsAddr: srv.Listener.Addr().String(), logPath: filepath.Join(t.TempDir(), "log")}
		assert.NilError(t, os.WriteFile(inst.logPath, []byte(tt.log), 0o600))
		r := &run{deployment: &deployment{instances: []*instance{inst}, workspaces: newWorkspaces(false)}}
		r.checkPages(http.DefaultClient, inst)
		r.checkWorkspaceRecords()
		srv.Close()
		assertViolation(t, strings.Join(r.violations, "\n"), tt.want)
	}
}

// Guards against a check after the last fault that accepts a workspace within its quota, or the
// public route, that is served less than others.
func TestCheckServedAlike(t *testing.T) {
	public := servedCount{"the public route", 30, 30}
	assert.Equal(t, len(checkServedAlike([]servedCount{public, {"a", 30, 28}, {"b", 30, 30}})), 0)
	assert.Equal(t, len(checkServedAlike([]servedCount{public, {"a", 30, 20}, {"b", 30, 30}})), 1)
	assert.Equal(t, len(checkServedAlike([]servedCount{public, {"a", 30, 0}, {"b", 30, 10}})), 2)
	assert.Equal(t, len(checkServedAlike([]servedCount{{"the public route", 30, 20}, {"a", 30, 30}})), 1)
	assert.Equal(t, len(checkServedAlike([]servedCount{{"the public route", 30, 20}, {"a", 30, 19}})), 0) // others fail alike
}

// Guards against checks that are not applied to what a run observes: an instance that knows
// nothing of workspaces breaks most of their rules.
func TestWorkspaceChecksFindPlantedFaults(t *testing.T) {
	tests := []struct {
		mutant string
		want   []string
	}{
		{"passes-keys-on", []string{": a key reached i-", "status 200 for an unknown key", "tokens of workspace low reached servers"}},
		{"drops-keys", []string{"with an unknown key", `for workspace ["forged"] instead of ["north"]`, `for workspace [] instead of ["south"]`, `for workspace ["forged"] instead of []`}},
	}
	for _, tt := range tests {
		t.Run(tt.mutant, func(t *testing.T) {
			t.Parallel()
			d, r := startRun(t, parts{workspaces: true}, mutantProgram(t, tt.mutant))
			stopClients := r.startClients(1)
			stopFaults, stopPartClients := r.startParts(1)
			time.Sleep(quotaWindow)
			stopFaults()
			stopPartClients()
			stopClients()
			r.checkPartRecords()
			d.close()
			got := strings.Join(r.violations, "\n")
			for _, want := range tt.want {
				assert.Check(t, strings.Contains(got, want), "no violation %q", want)
			}
		})
	}
}
