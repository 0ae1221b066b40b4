package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/chestnutstream/chestnutstream/standin"
)

// serverPace is how fast a server works and what it states of that.
type serverPace struct {
	slowdown float64 // of its work; 0: none
	stated   string  // fourth number of its load, and what follows; empty: missing
	isNumber bool    // stated begins with a valid number
}

// paces are what servers state: correct, constantly wrong, missing, malformed, or followed by a
// fifth number.
var paces = []serverPace{
	{0, "100", true},
	{0.6, "60", true},
	{1.3, "130", true},
	{2.5, "250", true},
	{2.5, "100", true},
	{0, "1000", true},
	{2.5, "1000", true},
	{0, "", false},
	{2.5, "", false},
	{0, "quick", false},
	{0, "0", false},
	{0, "-80", false},
	{2.5, "1e400", false},
	{0, "NaN", false},
	{0, " ,7", false},
	{0, "100,7", true},
	{1.3, "130,busy", true},
}

// drawPace returns a pace for a server; stated is false for a service whose servers never state
// a valid number.
func drawPace(rng *rand.Rand, stated bool) serverPace {
	for {
		if p := paces[rng.IntN(len(paces))]; stated || !p.isNumber {
			return p
		}
	}
}

// apply adds the pace to the faults of a server.
func (p serverPace) apply(f standin.BackendFaults) standin.BackendFaults {
	f.Slowdown, f.Pace = p.slowdown, p.stated
	return f
}

// paceFaults returns the faults of runs whose servers state their pace.
func (r *run) paceFaults() []partFault {
	return []partFault{{"server-pace", r.changePace}}
}

// changePace changes what a server states.
func (r *run) changePace(_ context.Context, rng *rand.Rand) {
	r.mu.Lock()
	b := r.backends[rng.IntN(len(r.backends))]
	r.mu.Unlock()
	next := drawPace(rng, r.parts.statesPace(b.service))
	if !r.markBackpressured(b) {
		return
	}
	defer r.clearBackpressured(b)
	b.setPace(next)
	b.setFaults(standin.BackendFaults{})
}

// setPace sets what the server states from the next setFaults on.
func (b *backend) setPace(p serverPace) {
	b.paceMu.Lock()
	defer b.paceMu.Unlock()
	b.pace = p
}

// checkPaces returns the servers for which a dump shows another pace or speed than the usual
// one, of services whose servers never stated a valid number.
func checkPaces(d stateDump, statesPace func(service string) bool) []string {
	var ids []string
	for _, s := range d.Servers {
		if !statesPace(s.Service) && (s.Pace != 1 || s.Speed != 1) {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// checkUnstatedPaces checks that instances assume no pace of servers whose service has never
// stated a valid number.
func (r *run) checkUnstatedPaces() {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for _, inst := range r.instances {
		d, _ := fetchDump(client, inst)
		if ids := checkPaces(d, r.parts.statesPace); len(ids) > 0 {
			r.reportViolation("%s assumes a pace of %s, whose service never stated a valid number", inst.name, strings.Join(ids, ", "))
		}
	}
}
