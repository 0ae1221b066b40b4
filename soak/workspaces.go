package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutstream/chestnutstream/platform"
)

// Settings of runs with workspaces.
const (
	revokeBound = 3 * time.Second // from the acknowledgement of a key's removal until it is not accepted
	quotaWindow = 8 * time.Second
	// quotaOvershoot and quotaSlack bear the ratios to the limit that platforms have: 0.1, and
	// 0.45 of what the limit of workspaceLow allows in a window.
	quotaOvershoot = 0.1
	quotaSlack     = 8000.0
)

// Costs of requests in tokens.
const (
	statedTokens  = "290,60"
	statedCost    = 350.0 // by statedTokens
	defaultTokens = 200   // of a request without a statement
)

// keyMarker is contained in every key, also in those that no configuration has, so that a
// disclosed key is recognized in any text.
const keyMarker = "sk-soak-"

// Workspaces. Demand of workspaceLow is several times its quota, that of the others is within
// theirs.
const (
	workspaceNorth = "north"
	workspaceSouth = "south"
	workspaceLow   = "low"
)

// lowRates are the limits of workspaceLow, in tokens per second, in ascending order; the burst
// is one second of them.
var lowRates = []float64{1000, 2000, 4000}

// routeOpen is the name of the public route.
const routeOpen = "open"

// workspaceKey is a key that some configuration has or had.
type workspaceKey struct {
	workspace      string
	text           string
	acknowledgedAt time.Time // of the configuration that has it; zero: not yet
	removing       bool
	removedAt      time.Time // acknowledgement of a configuration without it; zero: not yet
}

// workspaceLimit is a period in which a limit of workspaceLow may be in force.
type workspaceLimit struct {
	perSecond  float64
	from       time.Time
	replacedAt time.Time // acknowledgement of the next limit; zero: not yet
	until      time.Time // from then on all instances must apply the next one; zero: not yet
}

// authentication is what a request says of its workspace, and what may become of it.
type authentication struct {
	use       keyUse
	keys      []string // values of the header
	workspace string   // that servers must see; empty: none
	cost      float64
	due       bool // the key's addition or removal must be in force, or an unknown key recognized as such
}

// keyUse classifies the keys of a request.
type keyUse string

const (
	keyValid    keyUse = "valid"
	keyAdded    keyUse = "added"   // by a configuration of this run
	keyRemoved  keyUse = "removed" // by a configuration of this run
	keyUnknown  keyUse = "unknown" // or no single key
	keyOversize keyUse = "oversize"
	keyNotAsked keyUse = "not-asked" // on a public route
)

// arrival is a request at a server.
type arrival struct {
	id, server string
	at         time.Time
	workspaces []string // values of the workspace's header
	leak       string   // name of the header, or "target", that contains a key
}

// workspaces holds the workspaces of the configurations over a run, and the requests that
// callers sent and servers received.
type workspaces struct {
	strictRevoke bool

	mu       sync.Mutex
	keys     []*workspaceKey
	limits   []workspaceLimit
	sent     map[string]authentication // by request ID
	arrivals []arrival
	leaks    []string // in calls of servers that are not requests

	quotaUsed float64 // largest part that a window used of what its quota allowed
}

// newWorkspaces returns the workspaces of the first configuration. Each has one key that is
// never removed.
func newWorkspaces(strictRevoke bool) *workspaces {
	w := &workspaces{strictRevoke: strictRevoke, sent: map[string]authentication{}, limits: []workspaceLimit{{perSecond: lowRates[1], from: time.Now()}}}
	for _, name := range []string{workspaceNorth, workspaceSouth, workspaceLow} {
		w.keys = append(w.keys, &workspaceKey{workspace: name, text: permanentKey(name), acknowledgedAt: time.Now()})
	}
	return w
}

func permanentKey(workspace string) string { return keyMarker + workspace + "-0" }

// settings returns the part of an instance's settings that concerns workspaces: the contracts,
// and what follows in the bounds.
func (w *workspaces) settings() (contracts, bounds string) {
	if w == nil {
		return "", ""
	}
	return "contracts: [tenants, quota]\n", fmt.Sprintf(", revokeMs: %d, revokeStrict: %t, quotaWindowS: %g, quotaOvershoot: %g, quotaSlack: %g",
		revokeBound.Milliseconds(), w.strictRevoke, quotaWindow.Seconds(), quotaOvershoot, quotaSlack)
}

// route returns the public route, preceded by a comma.
func (w *workspaces) route() string {
	if w == nil {
		return ""
	}
	return `,
 {"name":"open","host":"h.example","prefix":"/open/","type":"idempotent","maxAttempts":2,"timeoutMs":2500,"targetLatencyMs":300,"service":"desk","public":true,"priority":2}`
}

// configuredTenant is a workspace in the configuration.
type configuredTenant struct {
	Name      string   `json:"name"`
	APIKeys   []string `json:"apiKeys"`
	Priority  int      `json:"priority"`
	Unit      string   `json:"unit"`
	RawTokens int      `json:"rawTokens"`
	RatePerS  float64  `json:"ratePerS"`
	Burst     float64  `json:"burst"`
}

// tenants returns the configuration's field of workspaces, preceded by a comma.
func (w *workspaces) tenants() string {
	if w == nil {
		return ""
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	low := w.limits[len(w.limits)-1].perSecond
	list := []configuredTenant{
		{Name: workspaceNorth, Priority: 1, Unit: "token", RawTokens: defaultTokens, RatePerS: 60000, Burst: 60000},
		{Name: workspaceSouth, Priority: 0, Unit: "request", RatePerS: 300, Burst: 300},
		{Name: workspaceLow, Priority: 2, Unit: "token", RawTokens: defaultTokens, RatePerS: low, Burst: low},
	}
	for i := range list {
		for _, k := range w.keys {
			if k.workspace == list[i].Name && !k.removing {
				list[i].APIKeys = append(list[i].APIKeys, k.text)
			}
		}
	}
	text, err := json.Marshal(list)
	if err != nil {
		panic(fmt.Sprintf("encode workspaces: %v", err)) // cannot happen: all fields are encodable
	}
	return `,"tenants":` + string(text)
}

// addKey adds a key to a workspace and returns the function that records the acknowledgement
// of the configuration.
func (w *workspaces) addKey(workspace string) (acknowledged func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := &workspaceKey{workspace: workspace, text: fmt.Sprintf("%s%s-%d", keyMarker, workspace, len(w.keys))}
	w.keys = append(w.keys, k)
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		k.acknowledgedAt = time.Now()
	}
}

// removeKey removes the oldest key that may be removed and returns the function that records
// the acknowledgement of the configuration; nil if there is no such key.
func (w *workspaces) removeKey() (acknowledged func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.keys {
		if k.text == permanentKey(k.workspace) || k.removing || k.acknowledgedAt.IsZero() {
			continue
		}
		k.removing = true
		return func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			k.removedAt = time.Now()
		}
	}
	return nil
}

// setLimit changes the limit of workspaceLow and returns the function that records the
// acknowledgement of the configuration.
func (w *workspaces) setLimit(perSecond float64) (acknowledged func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limits = append(w.limits, workspaceLimit{perSecond: perSecond, from: time.Now()})
	n := len(w.limits) - 1
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		for i := range w.limits[:n] {
			if w.limits[i].replacedAt.IsZero() {
				w.limits[i].replacedAt = time.Now()
			}
		}
	}
}

// bindLimits ends the periods of limits that were replaced before a time, now that all
// instances must have applied the next one.
func (w *workspaces) bindLimits(replacedBefore, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.limits {
		if l := &w.limits[i]; l.until.IsZero() && !l.replacedAt.IsZero() && l.replacedAt.Before(replacedBefore) {
			l.until = now
		}
	}
}

// reopenLimits makes all limits so far possible again, until bindLimits ends them.
func (w *workspaces) reopenLimits(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.limits {
		w.limits[i].until = time.Time{}
		if !w.limits[i].replacedAt.IsZero() {
			w.limits[i].replacedAt = now
		}
	}
}

// authenticate sets what a request of an ordinary client says of its workspace. Requests for
// the same stream are of the same workspace; those after the last fault are of a workspace
// that is within its quota.
func (w *workspaces) authenticate(res *result) {
	if res.auth != nil {
		return
	}
	first, _, _ := strings.Cut(res.id, "-again-")
	hash := xxhash.Sum64String(first)
	names := []string{workspaceNorth, workspaceSouth, workspaceLow}
	if strings.HasPrefix(res.id, recoveryIDPrefix) {
		names = names[:2]
	}
	name := names[hash%uint64(len(names))]
	res.auth = &authentication{use: keyValid, keys: []string{permanentKey(name)}, workspace: name, due: true}
	if res.route == routeOpen {
		res.auth.use, res.auth.workspace = keyNotAsked, ""
		if hash%5 > 0 {
			res.auth.keys = nil
		}
	}
}

// setHeaders sets the headers of a request and records that it is sent. Some callers name a
// workspace themselves, which instances must not believe.
func (w *workspaces) setHeaders(h http.Header, res *result) {
	w.authenticate(res)
	res.auth.cost = defaultTokens
	if res.adapter != "" {
		h.Set(platform.HeaderTokens, statedTokens)
		res.auth.cost = statedCost
	}
	for _, key := range res.auth.keys {
		h.Add(platform.HeaderKey, key)
	}
	if xxhash.Sum64String(res.id)%3 == 0 {
		h.Set(platform.HeaderTenant, "forged")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent[res.id] = *res.auth
}

// observe records a request or another call at a server.
func (w *workspaces) observe(server string, r *http.Request) {
	a := arrival{id: r.Header.Get(platform.HeaderRequestID), server: server, at: time.Now(), workspaces: slices.Clone(r.Header.Values(platform.HeaderTenant))}
	if strings.Contains(r.RequestURI, keyMarker) {
		a.leak = "target"
	}
	for name, values := range r.Header {
		if strings.Contains(name+strings.Join(values, ","), keyMarker) {
			a.leak = name
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case a.id != "":
		w.arrivals = append(w.arrivals, a)
	case a.leak != "":
		w.leaks = append(w.leaks, fmt.Sprintf("a key reached %s in %s of %s", server, a.leak, r.URL.Path))
	}
}

// dueUses returns the numbers of requests by the use of their keys, of those whose keys must
// have been known for what they are, and quotaUsed in percent.
func (w *workspaces) dueUses() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	uses := map[string]int{"quota-used-percent": int(100 * w.quotaUsed)}
	for _, auth := range w.sent {
		if auth.due {
			uses["key-"+string(auth.use)]++
		}
	}
	return uses
}
