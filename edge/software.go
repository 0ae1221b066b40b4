package edge

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/fleet"
	"github.com/chestnutstream/chestnutstream/ingress"
	"github.com/chestnutstream/chestnutstream/platform"
)

// Assumed times of streams.
const (
	minStreamRetention = 30 * time.Second // for which the origin of a stream is kept, at least
	unlimitedStream    = 10 * time.Minute // length of a stream without a time limit
)

// streamRetention returns how long after its first event a stream may be taken up: until
// the end of the caller's requests, of which the last one may last as long as the first.
func streamRetention(t *chestnutstream.RouteTable) time.Duration {
	if t == nil {
		return minStreamRetention
	}
	return max(2*cmp.Or(t.MaxStreamTime, unlimitedStream), minStreamRetention)
}

// mayRun reports whether a server may run a request. One of another software version
// cannot go on with a stream, and a resumable stream does not begin on a version that is
// not registered, unless there is no other. Callers hold mu.
func (n *Node) mayRun(s *fleet.Server, p ingress.PlacementRequest) bool {
	switch {
	case p.Continues:
		return p.Software != "" && s.Software == p.Software
	case p.Resumable:
		return n.versions.Registered(s.Service, s.Software) || !n.hasRegistered(s.Service)
	}
	return true
}

// hasRegistered reports whether a service has a usable server of a registered software
// version. Callers hold mu.
func (n *Node) hasRegistered(service string) bool {
	return slices.ContainsFunc(n.fleet.Service(service), func(s *fleet.Server) bool {
		return s.Usable() && n.versions.Registered(service, s.Software)
	})
}

// excludedServers returns the servers that a request is not to be sent to: those to
// avoid, and those that may not run it. Callers hold mu.
func (n *Node) excludedServers(p ingress.PlacementRequest) map[string]bool {
	if !p.Continues && (!p.Resumable || n.versions.AllRegistered(p.Service)) {
		return p.Avoid
	}
	excluded := maps.Clone(p.Avoid)
	if excluded == nil {
		excluded = map[string]bool{}
	}
	for _, s := range n.fleet.Service(p.Service) {
		if !n.mayRun(s, p) {
			excluded[s.ID] = true
		}
	}
	return excluded
}

// hasSoftware reports whether a service has a usable server of a software version.
// Callers hold mu.
func (n *Node) hasSoftware(service, software string) bool {
	for _, s := range n.fleet.Service(service) {
		if software != "" && s.Software == software && s.Usable() {
			return true
		}
	}
	return false
}

// mayFindSoftware reports whether a request that continues a stream may soon find a server
// of its software version: the list of servers is older than the request, and is about to
// be read. Callers hold mu.
func (n *Node) mayFindSoftware(p ingress.PlacementRequest) bool {
	return p.Continues && p.Software != "" && !n.hasSoftware(p.Service, p.Software) &&
		!n.storeState.down && n.view(platform.TableServers).asOf().Before(p.Start)
}

// observeSoftware records the software versions of the listed servers. Callers hold mu.
func (n *Node) observeSoftware() {
	listed := map[string]map[string]bool{}
	for _, s := range n.fleet.Servers() {
		if listed[s.Service] == nil {
			listed[s.Service] = map[string]bool{}
		}
		listed[s.Service][s.Software] = true
	}
	n.versions.Observe(n.boot(), listed)
	n.sendEarlierOrigins()
}

// sendEarlierOrigins sends the origins of the streams that began before a service had
// several software versions. Callers hold mu.
func (n *Node) sendEarlierOrigins() {
	boot := n.boot()
	mixed := n.versions.MixedServices(boot)
	if mixed > n.mixedServices {
		for _, o := range n.origins.All(boot) {
			n.sendOrigin(o)
		}
	}
	n.mixedServices = mixed
}
