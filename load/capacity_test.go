package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/entry"
	"github.com/chestnutstream/chestnutstream/standin"
)

// controlSpec returns a deployment without traffic: 4 zones, and the ratio of
// engines to instances that is planned for two years from now.
func controlSpec(entries int) Spec {
	return Spec{
		Name: "control", Zones: 4, Entries: entries, Engines: entries * 9 / 2, Services: 4, ServiceName: "desk", Adapters: 1200, Teams: 10,
		LoadsPerSecond: 50, Step: 30 * time.Millisecond, SlotLimit: 8, BatchLimit: 8, Measures: chestnutstream.ObjectiveWeights{LoadStall: 1, BatchEfficiency: 1},
		Classes: []Class{questionClass, {Name: ClassOrder, Urgency: 90, Timeout: 5 * time.Second}},
	}
}

// cpuTime returns the CPU time that the process has used.
func cpuTime(tb testing.TB) time.Duration {
	tb.Helper()
	var u syscall.Rusage
	assert.NilError(tb, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkControlCost runs complete deployments on loopback without traffic and
// reports the cost of the control plane per instance. The CPU time is that of the
// whole process including stand-ins, divided by the number of instances.
func BenchmarkControlCost(b *testing.B) {
	for _, entries := range []int{8, 16, 32} {
		b.Run(fmt.Sprintf("%d-instances", entries), func(b *testing.B) {
			d, err := StartDeployment(context.Background(), controlSpec(entries), Options{Seed: 1, Policy: entry.PolicyDefault, Log: discardLog()})
			assert.NilError(b, err)
			defer d.Close()
			time.Sleep(3 * time.Second)
			for b.Loop() {
				const interval = 10 * time.Second
				bytes, reads, writes := d.controlCounts()
				cpu := cpuTime(b)
				time.Sleep(interval)
				cpu = cpuTime(b) - cpu
				bytesAfter, readsAfter, writesAfter := d.controlCounts()
				per := func(n int64) float64 { return float64(n) / float64(entries) / interval.Seconds() }
				b.ReportMetric(per(bytesAfter-bytes), "peer-bytes/s/instance")
				b.ReportMetric(per(readsAfter-reads), "table-reads/s/instance")
				b.ReportMetric(per(writesAfter-writes), "table-writes/s/instance")
				b.ReportMetric(100*cpu.Seconds()/float64(entries)/interval.Seconds(), "%core/instance")
			}
		})
	}
}

func (d *Deployment) controlCounts() (bytes, reads, writes int64) {
	for _, e := range d.Entries {
		b, r, w := e.Instance.ControlTraffic()
		bytes, reads, writes = bytes+b, reads+r, writes+w
	}
	return bytes, reads, writes
}

// overheadSpec returns a deployment of one instance and one engine that generates
// tokens without delay.
func overheadSpec() Spec {
	s := controlSpec(1)
	s.Zones, s.Engines, s.Services, s.Adapters, s.Teams, s.Step = 1, 1, 1, 10, 1, 0
	return s
}

// BenchmarkRelay compares a request through an instance with the same request sent
// directly to the engine: a short response for the latency, a long one for the cost
// per token.
func BenchmarkRelay(b *testing.B) {
	d, err := StartDeployment(context.Background(), overheadSpec(), Options{Seed: 1, Policy: entry.PolicyDefault, Log: discardLog()})
	assert.NilError(b, err)
	defer d.Close()
	c := newClient()
	engineAddress := d.Engines[0].Listener.Address
	response, err := c.generate(context.Background(), d.Entries[0].address(), "round-0001@v1", Class{Timeout: 20 * time.Second, Tokens: 1}, time.Now())
	assert.NilError(b, err)
	assert.Assert(b, response.complete)
	name := loadedName(b, engineAddress)
	tests := []struct {
		name    string
		address string
		model   string
		tokens  int
	}{
		{"direct/1-token", engineAddress, name, 1},
		{"entry/1-token", d.Entries[0].address(), "round-0001@v1", 1},
		{"direct/1000-tokens", engineAddress, name, 1000},
		{"entry/1000-tokens", d.Entries[0].address(), "round-0001@v1", 1000},
	}
	for _, tt := range tests {
		b.Run(tt.name, func(b *testing.B) {
			body := fmt.Appendf(nil, `{"model":%q,"prompt":"x","max_tokens":%d,"stream":true}`, tt.model, tt.tokens)
			cpu := cpuTime(b)
			times := newHistogram()
			b.ReportAllocs()
			for b.Loop() {
				start := time.Now()
				resp, err := c.send(context.Background(), http.MethodPost, tt.address, "/v1/completions", Class{}, nil, body)
				assert.NilError(b, err)
				n, err := io.Copy(io.Discard, resp.Body)
				assert.NilError(b, err)
				assert.NilError(b, resp.Body.Close())
				assert.Assert(b, n > int64(100*tt.tokens))
				_ = times.RecordValue(time.Since(start).Microseconds())
			}
			b.ReportMetric(float64(times.ValueAtQuantile(50)), "p50-µs")
			b.ReportMetric(float64(times.ValueAtQuantile(99)), "p99-µs")
			b.ReportMetric(float64(cpuTime(b)-cpu)/float64(b.N)/1000, "cpu-µs/op")
		})
	}
}

// loadedName returns the load name of the only adapter that an engine has loaded.
func loadedName(tb testing.TB, address string) string {
	tb.Helper()
	resp, err := http.Get("http://" + address + "/status")
	assert.NilError(tb, err)
	defer resp.Body.Close()
	var st standin.EngineStatus
	assert.NilError(tb, decodeJSON(resp.Body, &st))
	assert.Equal(tb, len(st.Slots), 1)
	return st.Slots[0].Name
}
