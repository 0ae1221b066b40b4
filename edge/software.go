package edge

import (
	"maps"

	"github.com/chestnutstream/chestnutstream/fleet"
	"github.com/chestnutstream/chestnutstream/ingress"
)

// mayRun reports whether a server may run a request: one of another software version
// cannot go on with a stream.
func mayRun(s *fleet.Server, p ingress.PlacementRequest) bool {
	return !p.Continues || (p.Software != "" && s.Software == p.Software)
}

// excludedServers returns the servers that a request is not to be sent to: those to
// avoid, and those that may not run it. Callers hold mu.
func (n *Node) excludedServers(p ingress.PlacementRequest) map[string]bool {
	if !p.Continues {
		return p.Avoid
	}
	excluded := maps.Clone(p.Avoid)
	if excluded == nil {
		excluded = map[string]bool{}
	}
	for _, s := range n.fleet.Service(p.Service) {
		if !mayRun(s, p) {
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
