package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	configurationMax = 2 * time.Second // after its acknowledgement a configuration is in force everywhere
	versionStep      = 2               // between configurations
	newsAsked        = 3               // configurations, from the newest, whose routes are asked for
	newsEvery        = 6               // requests of a client, for one to such a route
)

// newsPrefix returns the prefix of the route that only one configuration has.
func newsPrefix(version uint64) string { return fmt.Sprintf("/news-%d/", version) }

// newestDue returns the newest configuration that was acknowledged over
// configurationMax ago; 0: none. Callers hold mu.
func (s *site) newestDue() uint64 {
	for i := len(s.configured) - 1; i >= 0; i-- {
		if time.Since(s.configured[i]) > configurationMax {
			return versionStep * uint64(i+1)
		}
	}
	return 0
}

// askNews asks for the own route of one of the newest configurations.
func (r *run) askNews(client *http.Client, rng *rand.Rand, id string) result {
	res := r.newResult(r.programs[rng.IntN(len(r.programs))], id)
	res.route = "news"
	r.mu.Lock()
	res.named = r.version - versionStep*rng.Uint64N(min(newsAsked, r.version/versionStep))
	if r.calm() {
		res.due = r.newestDue()
	}
	r.mu.Unlock()
	return r.send(client, res)
}

// judgeNews checks that a request was handled by no older configuration than was
// due when it was sent. Newer ones may come while it is under way.
func (r *run) judgeNews(res result) {
	res.program.mu.Lock()
	same := res.program.run == res.run
	res.program.mu.Unlock()
	if res.due == 0 || res.err != nil || !same {
		return
	}
	r.mu.Lock()
	newest := r.version
	r.mu.Unlock()
	switch {
	case res.signed && res.named < res.due:
		r.breaks("%s: %s served by configuration %d over %v after %d was acknowledged", res.id, res.program.name, res.named, configurationMax, res.due)
	case !res.signed && res.status == http.StatusNotFound && res.named == res.due && newest == res.due:
		r.breaks("%s: %s has no route of configuration %d over %v after it was acknowledged", res.id, res.program.name, res.due, configurationMax)
	}
}
