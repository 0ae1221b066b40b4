package soak

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"
)

// checkAuthentication returns how a response contradicts the keys of its request; "" if it
// does not.
func checkAuthentication(res result) string {
	auth := res.auth
	if strings.Contains(res.body, keyMarker) {
		return fmt.Sprintf("%s: the response contains a key: %.200q", res.id, res.body)
	}
	if res.err != nil || res.status == 0 {
		return ""
	}
	refused := res.status == http.StatusUnauthorized
	switch auth.use {
	case keyUnknown, keyOversize:
		allowed := refused || res.status == http.StatusServiceUnavailable && !auth.due ||
			auth.use == keyOversize && res.status == http.StatusRequestHeaderFieldsTooLarge
		if !allowed {
			return fmt.Sprintf("%s: status %d for an unknown key (%d values)", res.id, res.status, len(auth.keys))
		}
	case keyNotAsked:
		if refused {
			return fmt.Sprintf("%s: a public route asked for a key", res.id)
		}
	case keyValid, keyAdded:
		if refused && auth.due {
			return fmt.Sprintf("%s: a key of %s that is in force was refused as unknown", res.id, auth.workspace)
		}
	case keyRemoved: // by the arrivals at servers
	}
	return ""
}

// checkKeys checks the response to a request of a run with workspaces.
func (r *run) checkKeys(res result) {
	auth := *res.auth
	switch auth.use {
	case keyUnknown:
		auth.due = auth.due && !r.storeReachedSince(res.instance).After(res.sentAt)
	case keyAdded:
		auth.due = auth.due && !r.workspaces.removes(auth.keys[0])
	}
	res.auth = &auth
	if v := checkAuthentication(res); v != "" {
		r.reportViolation("%s", v)
	}
}

// removes reports whether a key is being removed or was.
func (w *workspaces) removes(key string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.keys, func(k *workspaceKey) bool { return k.text == key && k.removing })
}

// checkArrival returns how a request at a server contradicts what its caller sent; "" if it
// does not.
func checkArrival(a arrival, sent map[string]authentication) string {
	auth, ok := sent[a.id]
	switch {
	case a.leak != "":
		return fmt.Sprintf("%s: a key reached %s in %s", a.id, a.server, a.leak)
	case !ok:
		return fmt.Sprintf("%s: reached %s, but no caller sent it", a.id, a.server)
	case auth.use == keyUnknown, auth.use == keyOversize:
		return fmt.Sprintf("%s: reached %s with an unknown key", a.id, a.server)
	case auth.use == keyRemoved && auth.due:
		return fmt.Sprintf("%s: reached %s more than %v after the removal of its key was acknowledged", a.id, a.server, revokeBound)
	}
	var want []string
	if auth.workspace != "" {
		want = []string{auth.workspace}
	}
	if !slices.Equal(a.workspaces, want) {
		return fmt.Sprintf("%s: reached %s for workspace %q instead of %q", a.id, a.server, a.workspaces, want)
	}
	return ""
}

// charge is a request of workspaceLow at a server.
type charge struct {
	at   time.Time
	cost float64
}

// charges returns the first arrival of each request of a workspace, as retries by instances
// count once.
func charges(workspace string, arrivals []arrival, sent map[string]authentication) []charge {
	var out []charge
	seen := map[string]bool{}
	for _, a := range arrivals {
		if auth := sent[a.id]; auth.workspace == workspace && !seen[a.id] {
			seen[a.id] = true
			out = append(out, charge{a.at, auth.cost})
		}
	}
	return out
}

// checkQuota returns the window whose charges exceed most what the limits that may have been in
// force in it allow; "" if none do. used is the largest part that a window used of what was
// allowed.
func checkQuota(workspace string, list []charge, limits []workspaceLimit) (used float64, violation string) {
	first, sum, worst := 0, 0.0, 0.0
	for _, c := range list {
		sum += c.cost
		for c.at.Sub(list[first].at) >= quotaWindow {
			sum -= list[first].cost
			first++
		}
		begin, rate := c.at.Add(-quotaWindow), 0.0
		for _, l := range limits {
			if l.from.Before(c.at) && (l.until.IsZero() || l.until.After(begin)) {
				rate = max(rate, l.perSecond)
			}
		}
		allowed := (rate*quotaWindow.Seconds()+rate)*(1+quotaOvershoot) + quotaSlack
		used = max(used, sum/allowed)
		if sum-allowed > worst {
			worst = sum - allowed
			violation = fmt.Sprintf("%.0f tokens of workspace %s reached servers in the %v up to %s: %.0f allowed", sum, workspace, quotaWindow, c.at.Format("15:04:05.000"), allowed)
		}
	}
	return used, violation
}

// checkWorkspaceRecords checks the arrivals at servers and the instances' logs.
func (r *run) checkWorkspaceRecords() {
	w := r.workspaces
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, leak := range w.leaks {
		r.reportViolation("%s", leak)
	}
	for _, a := range w.arrivals {
		if v := checkArrival(a, w.sent); v != "" {
			r.reportViolation("%s", v)
		}
	}
	used, v := checkQuota(workspaceLow, charges(workspaceLow, w.arrivals, w.sent), w.limits)
	if v != "" {
		r.reportViolation("%s", v)
	}
	w.quotaUsed = used
	for _, inst := range r.instances {
		f, err := os.Open(inst.logPath)
		if err != nil {
			r.reportViolation("open log of %s: %v", inst.name, err)
			continue
		}
		if line := lineWithKey(f); line != "" {
			r.reportViolation("the log of %s contains a key: %.300s", inst.name, line)
		}
		_ = f.Close()
	}
}

// lineWithKey returns the first line that contains a key, "" if there is none.
func lineWithKey(text io.Reader) string {
	lines := bufio.NewReader(text)
	for {
		line, err := lines.ReadString('\n')
		if strings.Contains(line, keyMarker) {
			return line
		}
		if err != nil {
			return ""
		}
	}
}

// checkPages checks that no key is in what an instance shows to operators.
func (r *run) checkPages(client *http.Client, inst *instance) {
	for _, page := range []string{"/metrics", "/dump"} {
		resp, err := client.Get("http://" + inst.metricsAddr + page)
		if err != nil {
			continue // the instance is paused or starts
		}
		if line := lineWithKey(resp.Body); line != "" {
			r.reportViolation("%s of %s contains a key: %.300s", page, inst.name, line)
		}
		_ = resp.Body.Close()
	}
}

// servedCount counts the requests of a group of callers.
type servedCount struct {
	group            string
	requests, served int
}

// Requests of each group of callers after the last fault, and the part of the best served
// group's share that each must be served.
const (
	requestsPerGroup = 30
	minServedPart    = 0.9
)

// checkServedAlike returns the groups that are served clearly less often than the one that is
// served best.
func checkServedAlike(counts []servedCount) []string {
	share := func(c servedCount) float64 { return float64(c.served) / float64(max(c.requests, 1)) }
	best := slices.MaxFunc(counts, func(a, b servedCount) int { return cmp.Compare(share(a), share(b)) })
	var violations []string
	for _, c := range counts {
		if share(c) < minServedPart*share(best) {
			violations = append(violations, fmt.Sprintf("%d of %d requests of %s served after the last fault, %d of %d of %s", c.served, c.requests, c.group, best.served, best.requests, best.group))
		}
	}
	return violations
}

// checkWorkspacesServed checks that workspaces within their quota are served as the callers of
// the public route are.
func (r *run) checkWorkspacesServed() {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 11))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	counts := []servedCount{{group: "the public route"}, {group: "workspace " + workspaceNorth}, {group: "workspace " + workspaceSouth}}
	for n := range requestsPerGroup {
		for i, auth := range []authentication{
			{use: keyNotAsked},
			{use: keyValid, keys: []string{permanentKey(workspaceNorth)}, workspace: workspaceNorth, due: true},
			{use: keyValid, keys: []string{permanentKey(workspaceSouth)}, workspace: workspaceSouth, due: true},
		} {
			res := r.newResult(r.instances[rng.IntN(len(r.instances))], fmt.Sprintf("%sgroup-%d-%d-%d", recoveryIDPrefix, r.cfg.Seed, i, n))
			res.route, res.auth = "look", &auth
			if i == 0 {
				res.route = routeOpen
			}
			res = r.send(client, res)
			r.checkResult(res)
			counts[i].requests++
			if res.err == nil && res.status == http.StatusOK {
				counts[i].served++
			}
		}
	}
	for _, v := range checkServedAlike(counts) {
		r.reportViolation("%s", v)
	}
}
