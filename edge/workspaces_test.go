package edge

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream/platform"
)

// Guards against a limit that holds on each instance instead of on all of them together, against a
// workspace below its limit that is refused, and against keys in logs and dumps.
func TestWorkspaceLimitHoldsOverAllInstances(t *testing.T) {
	t.Parallel()
	site := newTestSite(t, 0, 0)
	site.store.Put(platform.TableOperator, "config", []byte(`{"version":50,"routes":[
		{"name":"look","host":"h.example","prefix":"/look/","type":"idempotent","maxAttempts":2,"timeoutMs":2000,"targetLatencyMs":200,"service":"desk"}],
		"services":[{"name":"desk","healthPath":"/health","maxConnections":100}],
		"tenants":[{"name":"small","apiKeys":["secret-of-small"],"unit":"request","ratePerS":10,"burst":5},{"name":"free","apiKeys":["secret-of-free"]}]}`))
	instances := site.instances(3)
	send := func(in *testInstance, key string) (int, http.Header) {
		status, _, header, err := sendHeaders(in, http.MethodGet, "/look/x", newRequestID(), map[string]string{platform.HeaderKey: key})
		assert.Check(t, err)
		return status, header
	}
	eventually(t, "the instances are connected and have a share", func() bool {
		for _, in := range instances {
			if len(in.Node().mesh.Peers()) != 2 || !in.Node().Ready() {
				return false
			}
			if status, _ := send(in, "secret-of-small"); status != http.StatusOK {
				time.Sleep(200 * time.Millisecond)
				return false
			}
		}
		return true
	})
	time.Sleep(2 * time.Second) // the shares settle
	refused, served, free := 0, 0, 0
	start := time.Now()
	const requests, interval = 240, 25 * time.Millisecond // four times the limit
	for i := range requests {
		in := instances[i%3]
		if i%8 == 0 {
			if status, _ := send(in, "secret-of-free"); status == http.StatusOK {
				free++
			}
		}
		switch status, header := send(in, "secret-of-small"); status {
		case http.StatusOK:
			served++
		case http.StatusTooManyRequests:
			refused++
			assert.Check(t, header.Get("Retry-After") != "")
		}
		time.Sleep(time.Until(start.Add(time.Duration(i+1) * interval)))
	}
	seconds := time.Since(start).Seconds()
	t.Logf("%d served, %d refused in %.1f s; without a limit %d of %d", served, refused, seconds, free, requests/8)
	assert.Check(t, float64(served) <= 10*seconds+5+10, "served %d", served) // rate, burst, and the debt that is allowed: a second's rate
	assert.Check(t, float64(served) >= 0.6*10*seconds, "served %d", served)
	assert.Check(t, free == requests/8, "without a limit: %d", free)
	site.checkQuotaDumps(instances)
	for _, in := range instances {
		lines := in.log.with("workspaces changed")
		assert.Equal(t, len(lines), 1)
		assert.Check(t, !strings.Contains(fmt.Sprint(lines), "secret-of"), "%v", lines)
	}
}

// checkQuotaDumps checks that exactly one instance has the shares of all.
func (s *testSite) checkQuotaDumps(instances []*testInstance) {
	s.t.Helper()
	allocators := 0
	for _, in := range instances {
		resp, err := http.Get("http://" + in.cfg.MetricsAddress + "/dump")
		assert.NilError(s.t, err)
		var d wireDump
		assert.NilError(s.t, json.NewDecoder(resp.Body).Decode(&d))
		assert.NilError(s.t, resp.Body.Close())
		assert.Equal(s.t, len(d.Workspaces), 1)
		w := d.Workspaces[0]
		assert.Check(s.t, w.Name == "small" && w.PerSecond == 10 && w.Burst == 5 && w.Used > 0 && w.Refused > 0 && w.Allocator != "" && w.Standby != "", "%+v", w)
		if w.Shares != nil {
			allocators++
			assert.Check(s.t, len(w.Shares) == 3 && w.Allocator == in.Node().id, "%+v", w)
		}
	}
	assert.Equal(s.t, allocators, 1)
}

// Guards against a deployment without limits that sends further messages or wakes up for them.
func TestQuotasAreUnusedWithoutLimits(t *testing.T) {
	t.Parallel()
	n := idleNode(t, "a")
	n.adoptConfig([]byte(`{"version":5,"routes":[],"services":[],"tenants":[{"name":"free","apiKeys":["k"]}]}`), 5, "test")
	assert.Equal(t, n.quotas.step(), quotaUnusedInterval)
	refund, err := n.quotas.Charge(t.Context(), n.routes.Load().Workspaces["free"], 1000, 0)
	assert.NilError(t, err)
	refund()
	assert.Equal(t, n.quotas.step(), quotaUnusedInterval)
}
