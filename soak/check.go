package soak

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/chestnutstream/chestnutstream/platform"
	"github.com/chestnutstream/chestnutstream/standin"
	"github.com/chestnutstream/chestnutstream/timer"
)

// result is what a caller observed of one request.
type result struct {
	id                string
	instance          *instance
	incarnation       int // process incarnation of the instance when the request was sent
	route             string
	adapter           string
	parts             string // of the prompt
	path              string // below the route's prefix; "": any
	headers           map[string]string
	auth              *authentication // nil: in a run without workspaces
	sentAt            time.Time
	status            int
	signed            bool
	retryAfter        string
	body              string
	adapterVersion    int
	err               error
	minAdapterVersion int    // oldest version allowed: declared over versionApplyBound before sentAt without faults in effect; 0: any
	routeVersion      uint64 // configuration whose versioned route was requested; 0: none
	minConfigVersion  uint64 // configuration that had to be in force at sentAt; 0: not checked
}

// statesNotExecuted reports whether a status guarantees that the request was not
// and will not be executed.
func statesNotExecuted(status int) bool {
	return status == 404 || status == 408 || status == 421 || status == 429 || status == 503
}

const clientCount = 6

// startClients starts clients that reuse their connections for as long as the
// instances keep them open; stop ends the clients and waits for them.
func (r *run) startClients(seed uint64) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for c := range clientCount {
		rng := rand.New(rand.NewPCG(seed, uint64(100+c)))
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}}
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ctx.Err() == nil; n++ {
				request := r.requestRandomRoute
				if rng.IntN(versionedRouteInterval) == 0 {
					request = r.requestVersionedRoute
				}
				res := request(client, rng, fmt.Sprintf("c%d-%d-%d", seed, c, n))
				r.checkResult(res)
				r.takeUp(client, rng, res)
				r.repeat(client, rng, res)
				if rng.IntN(inventedNameInterval) == 0 {
					r.requestInventedName(client, rng, fmt.Sprintf("i%d-%d-%d", seed, c, n))
				}
				time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
			}
		}()
	}
	return func() { cancel(); wg.Wait() }
}

// repeat sends some requests again that may run once and were promised not to have run,
// under the same ID.
func (r *run) repeat(client *http.Client, rng *rand.Rand, res result) {
	if !res.atMostOnce() || res.err != nil || !statesNotExecuted(res.status) || rng.IntN(2) > 0 {
		return
	}
	if n := r.executions(res.id); n > 0 {
		r.reportViolation("%s: status %d promised that the request was not executed, but it was", res.id, res.status)
	}
	again := r.newResult(res.instance, res.id)
	again.route, again.adapter, again.parts, again.auth = res.route, res.adapter, res.parts, res.auth
	r.checkResult(r.send(client, again))
}

// executions returns how often a request has been executed until now.
func (r *run) executions(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, b := range r.backends {
		for _, s := range b.Backends() {
			n += s.Runs(id)
		}
	}
	return n
}

// atMostOnce reports whether the request must not run twice.
func (res result) atMostOnce() bool {
	return res.route != "look" && res.route != "ask" && res.route != routeOpen
}

// requestRandomRoute sends a request to a random route of a random instance.
func (r *run) requestRandomRoute(client *http.Client, rng *rand.Rand, id string) result {
	res := r.newResult(r.instances[rng.IntN(len(r.instances))], id)
	routes := []string{"order", "look", "ask", "ask", "once"}
	if r.workspaces != nil {
		routes = append(routes, routeOpen)
	}
	res.route = routes[rng.IntN(len(routes))]
	if res.route == "ask" || res.route == "once" {
		res.adapter = fmt.Sprintf("a%d", 1+min(rng.IntN(adapterCount), rng.IntN(adapterCount)))
		res.parts = fmt.Sprintf("first:100,caller-%d:40,%s:150", rng.IntN(30), id)
		r.mu.Lock()
		if at := r.declaredAt[res.adapter]; !at.IsZero() && time.Since(at) > versionApplyBound && r.faultFree() {
			res.minAdapterVersion = r.adapterVersions[res.adapter]
		}
		r.mu.Unlock()
	}
	return r.send(client, res)
}

// newResult returns the result of a request to inst that starts now.
func (r *run) newResult(inst *instance, id string) result {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	return result{id: id, instance: inst, incarnation: inst.incarnation, sentAt: time.Now()}
}

// send sends a request and reads the whole response.
func (r *run) send(client *http.Client, res result) result {
	method, prefix := http.MethodPost, "/"+res.route+"/"
	switch res.route {
	case "look", routeOpen:
		method = http.MethodGet
	case "news":
		prefix = versionedPrefix(res.routeVersion)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("x") // net/http does not retry a request with a body that it cannot rewind
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+res.instance.callerAddr+prefix+cmp.Or(res.path, "1"), body)
	if err != nil {
		res.err = err
		return res
	}
	req.GetBody = nil
	req.Host = "h.example"
	req.Header.Set(platform.HeaderRequestID, res.id)
	req.Header.Set(platform.HeaderDeadline, "4000")
	if res.adapter != "" {
		req.Header.Set(platform.HeaderModel, "m/"+res.adapter)
		req.Header.Set(platform.HeaderPromptParts, res.parts)
	}
	for name, value := range res.headers {
		req.Header.Set(name, value)
	}
	if r.workspaces != nil {
		r.workspaces.setHeaders(req.Header, &res)
	}
	resp, err := client.Do(req)
	if err != nil {
		res.err = err
		return res
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	res.status, res.body, res.err = resp.StatusCode, string(b), err
	res.signed, res.retryAfter = resp.Header.Get(platform.HeaderSignature) != "", resp.Header.Get("Retry-After")
	res.adapterVersion, _ = strconv.Atoi(resp.Header.Get(platform.HeaderWeightVersions))
	return res
}

// isPlainResponse reports whether a body is that of a plain server: METHOD TARGET by ID.
func isPlainResponse(body string) bool {
	words := strings.Split(body, " ")
	return len(words) == 4 && strings.HasPrefix(words[1], "/") && words[2] == "by"
}

// isFinal reports whether a status is one of a final response.
func isFinal(status int) bool { return status >= 200 && status < 600 }

// checkResult checks what a single result shows and stores it for
// checkServerCounts.
func (r *run) checkResult(res result) {
	if res.status != 0 && !isFinal(res.status) {
		r.reportViolation("%s: status %d is not that of a final response", res.id, res.status)
	}
	if res.err == nil && res.status == http.StatusOK {
		switch {
		case !res.signed:
			r.reportViolation("%s: response without a server's signature", res.id)
		case res.adapter != "" && (!beginsExpectedStream(res.body, res.adapter) || strings.Count(res.body, "\n\n") != eventsPerStream):
			r.reportViolation("%s: response body is not the whole stream of %s: %.200q", res.id, res.adapter, res.body)
		case res.adapter == "" && !isPlainResponse(res.body):
			r.reportViolation("%s: response body is not that of a plain server: %.200q", res.id, res.body)
		case res.adapter != "" && res.adapterVersion < res.minAdapterVersion:
			r.reportViolation("%s: version %d of %s served more than %v after version %d was declared", res.id, res.adapterVersion, res.adapter, versionApplyBound, res.minAdapterVersion)
		}
	}
	if res.routeVersion > 0 {
		r.checkConfigVersion(res)
	}
	if res.auth != nil {
		r.checkKeys(res)
	}
	r.recordResult(res)
}

// recordResult stores a result for checkServerCounts.
func (r *run) recordResult(res result) {
	r.resultsMu.Lock()
	defer r.resultsMu.Unlock()
	r.results = append(r.results, res)
}

// expectedStream returns the complete response body of an adapter by a software version.
func expectedStream(adapter, software string) string {
	var b strings.Builder
	for i := range eventsPerStream {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d of m/%s by %s\n\n", i, i, adapter, software)
	}
	return b.String()
}

// watchConfigVersions checks until ctx ends that no process goes back to an older
// configuration.
func (r *run) watchConfigVersions(ctx context.Context) {
	type observation struct {
		incarnation int
		version     uint64
	}
	newest := map[*instance]observation{}
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		timer.Sleep(ctx, 150*time.Millisecond)
		for _, inst := range r.instances {
			inst.mu.Lock()
			incarnation := inst.incarnation
			inst.mu.Unlock()
			v, ok := fetchConfigVersion(client, inst)
			inst.mu.Lock()
			same := incarnation == inst.incarnation
			inst.mu.Unlock()
			if !ok || !same {
				continue
			}
			if old := newest[inst]; old.incarnation == incarnation && v < old.version {
				r.reportViolation("%s went back from configuration %d to %d", inst.name, old.version, v)
			}
			newest[inst] = observation{incarnation, v}
		}
	}
}

// fetchConfigVersion returns the configuration version in an instance's dump, and
// false if the dump cannot be read.
func fetchConfigVersion(client *http.Client, inst *instance) (uint64, bool) {
	d, ok := fetchDump(client, inst)
	return d.Version, ok
}

// stateDump is what the checks read of an instance's dump.
type stateDump struct {
	Version uint64         `json:"configuration-version"`
	Servers []dumpedServer `json:"servers"`
}

// dumpedServer is a server in an instance's dump.
type dumpedServer struct {
	ID       string  `json:"id"`
	Service  string  `json:"service"`
	InFlight int     `json:"in-flight"`
	Pace     float64 `json:"pace"`
	Speed    float64 `json:"speed"`
}

func fetchDump(client *http.Client, inst *instance) (d stateDump, ok bool) {
	resp, err := client.Get("http://" + inst.metricsAddr + "/dump")
	if err != nil {
		return d, false
	}
	defer resp.Body.Close()
	err = json.NewDecoder(resp.Body).Decode(&d)
	return d, err == nil
}

// checkNothingInProgress checks that no instance counts requests as in progress after all
// have ended.
func (r *run) checkNothingInProgress() {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for _, inst := range r.instances {
		d, _ := fetchDump(client, inst)
		for _, s := range d.Servers {
			if s.InFlight > 0 {
				r.reportViolation("%s counts %d requests as in progress at %s after all have ended", inst.name, s.InFlight, s.ID)
			}
		}
	}
}

// recoveryIDPrefix begins the IDs of requests after the last fault.
const recoveryIDPrefix = "again-"

// checkRecovery checks that after the last fault at least 9 of 10 requests are
// served.
func (r *run) checkRecovery() {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 99))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	served := 0
	const requests = 60
	for n := range requests {
		res := r.requestRandomRoute(client, rng, fmt.Sprintf("%s%d-%d", recoveryIDPrefix, r.cfg.Seed, n))
		r.checkResult(res)
		if res.err == nil && res.status == http.StatusOK {
			served++
		}
	}
	if served < requests*9/10 {
		r.reportViolation("%d of %d requests served after the last fault", served, requests)
	}
}

// checkServerCounts checks the results and the instances' logs against what the
// backend servers counted. It is called once, after the last request.
func (r *run) checkServerCounts() {
	executions := map[string]int{}
	r.mu.Lock()
	backends := append([]*backend(nil), r.backends...)
	r.mu.Unlock()
	for _, b := range backends {
		for _, s := range b.Backends() {
			c := s.Counts()
			for id, n := range c.Runs {
				executions[id] += n
			}
			r.checkOrders(b.id, s)
		}
	}
	loggedFailures := r.loggedFailures()
	mayHaveRun := map[string]bool{} // by ID: some result does not promise that the request was not executed
	for _, res := range r.results {
		mayHaveRun[res.id] = mayHaveRun[res.id] || res.err != nil || res.signed || !statesNotExecuted(res.status)
	}
	for _, res := range r.results {
		n := executions[res.id]
		switch {
		case res.atMostOnce() && n > 1:
			r.reportViolation("%s: %s was executed %d times", res.id, res.route, n)
		case n > 0 && res.atMostOnce() && !mayHaveRun[res.id]:
			r.reportViolation("%s: status %d promised that the request was not executed, but it was", res.id, res.status)
		case res.status >= 500 && !res.signed && !loggedFailures[res.id] && !r.killedBeforeLogging(res):
			r.reportViolation("%s: status %d without a log line that gives the reason", res.id, res.status)
		}
	}
}

// checkOrders checks the orders that a server received.
func (r *run) checkOrders(id string, s *standin.Backend) {
	c := s.Counts()
	if c.SlotsExceeded {
		r.reportViolation("%s received orders to load more adapters than it has slots", id)
	}
	if c.WeightsExceeded {
		r.reportViolation("%s received orders to load more weights than it holds", id)
	}
	if v := s.OrderViolations(minHandover); len(v) > 0 {
		r.reportViolation("%s received %d orders against its lease, the first: %s", id, len(v), v[0])
	}
}

// killedBeforeLogging reports whether the process that received a request ended so
// soon after it that its log line may be missing.
func (r *run) killedBeforeLogging(res result) bool {
	res.instance.mu.Lock()
	defer res.instance.mu.Unlock()
	exitedAt, exited := res.instance.exits[res.incarnation]
	return exited && exitedAt.Sub(res.sentAt) < 6*time.Second
}

// loggedFailures returns the ids of the requests for which a log line gives a
// reason.
func (r *run) loggedFailures() map[string]bool {
	ids := map[string]bool{}
	for _, inst := range r.instances {
		f, err := os.Open(inst.logPath)
		if err != nil {
			r.reportViolation("open log of %s: %v", inst.name, err)
			continue
		}
		lines := bufio.NewScanner(f)
		lines.Buffer(make([]byte, 64<<10), 1<<20)
		for lines.Scan() {
			var line struct {
				ID     string `json:"request-id"`
				Reason string `json:"reason"`
			}
			if json.Unmarshal(lines.Bytes(), &line) == nil && line.Reason != "" {
				ids[line.ID] = true
			}
		}
		_ = f.Close()
	}
	return ids
}
