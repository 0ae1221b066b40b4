package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"

	"github.com/chestnutstream/chestnutstream/platform"
)

// inventedNameInterval is the mean number of requests of a client between those for models
// and adapters that the configuration does not list.
const inventedNameInterval = 25

// requestInventedName sends a request for a model or adapter that the configuration has never
// listed, and checks that it is not run.
func (r *run) requestInventedName(client *http.Client, rng *rand.Rand, id string) {
	res := r.newResult(r.instances[rng.IntN(len(r.instances))], id)
	res.route = []string{"ask", "once"}[rng.IntN(2)]
	n := rng.IntN(1000)
	target := []string{fmt.Sprintf("nosuch%d", n), fmt.Sprintf("nosuch%d/a1", n), fmt.Sprintf("m/a%d", adapterCount+1+n), "m/"}[rng.IntN(4)]
	res.headers = map[string]string{platform.HeaderModel: target}
	res = r.send(client, res)
	switch {
	case r.executions(id) > 0:
		r.reportViolation("%s: %s was executed, though the configuration does not list it", id, target)
	case res.err == nil && (res.status < http.StatusBadRequest || res.status >= http.StatusInternalServerError && !statesNotExecuted(res.status)):
		r.reportViolation("%s: status %d for %s, which the configuration does not list", id, res.status, target)
	case res.err == nil && res.status == http.StatusNotFound && res.retryAfter != "":
		r.reportViolation("%s: Retry-After %s for %s, which the configuration does not list", id, res.retryAfter, target)
	}
}
