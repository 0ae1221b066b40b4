package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	configApplyBound       = 2 * time.Second // from a configuration's acknowledgement until it is in force on all instances
	configVersionStep      = 2               // between the numbers of successive configurations
	recentConfigVersions   = 3               // newest configurations whose versioned routes are requested
	versionedRouteInterval = 6               // one in this many requests of a client goes to a versioned route
)

// versionedPrefix returns the path prefix of the versioned route, which exists only
// in the configuration of this version.
func versionedPrefix(version uint64) string { return fmt.Sprintf("/news-%d/", version) }

// newestRequiredVersion returns the version of the newest configuration that was
// acknowledged more than configApplyBound ago, 0 if there is none. Callers hold
// mu.
func (d *deployment) newestRequiredVersion() uint64 {
	for i := len(d.acknowledgedAt) - 1; i >= 0; i-- {
		if time.Since(d.acknowledgedAt[i]) > configApplyBound {
			return configVersionStep * uint64(i+1)
		}
	}
	return 0
}

// requestVersionedRoute sends a request to the versioned route of one of the newest
// configurations.
func (r *run) requestVersionedRoute(client *http.Client, rng *rand.Rand, id string) result {
	res := r.newResult(r.instances[rng.IntN(len(r.instances))], id)
	res.route = "news"
	r.mu.Lock()
	res.routeVersion = r.configVersion - configVersionStep*rng.Uint64N(min(recentConfigVersions, r.configVersion/configVersionStep))
	if r.faultFree() {
		res.minConfigVersion = r.newestRequiredVersion()
	}
	r.mu.Unlock()
	return r.send(client, res)
}

// checkConfigVersion checks that a request was not handled under a configuration
// older than the one that had to be in force when it was sent. Newer ones may be
// applied while the request is in progress.
func (r *run) checkConfigVersion(res result) {
	res.instance.mu.Lock()
	same := res.instance.incarnation == res.incarnation
	res.instance.mu.Unlock()
	if res.minConfigVersion == 0 || res.err != nil || !same {
		return
	}
	r.mu.Lock()
	newest := r.configVersion
	r.mu.Unlock()
	switch {
	case res.signed && res.routeVersion < res.minConfigVersion:
		r.reportViolation("%s: %s served configuration %d more than %v after %d was acknowledged", res.id, res.instance.name, res.routeVersion, configApplyBound, res.minConfigVersion)
	case !res.signed && res.status == http.StatusNotFound && res.routeVersion == res.minConfigVersion && newest == res.minConfigVersion:
		r.reportViolation("%s: %s lacks the route of configuration %d more than %v after it was acknowledged", res.id, res.instance.name, res.minConfigVersion, configApplyBound)
	}
}
