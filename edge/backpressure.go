package edge

import (
	"github.com/apex/log"

	"github.com/chestnutstream/chestnutstream/fleet"
)

// logSaid logs and counts what servers' answers have changed.
func (n *Node) logSaid(changes []fleet.Change) {
	for _, c := range changes {
		n.metrics.GetOrCreateCounter(`chestnutstream_backpressure_total{change="` + c.What + `"}`).Inc()
		n.log.WithFields(log.Fields{"server": c.Server, "change": c.What, "limit-per-s": c.Limit, "pause-ms": c.Pause.Milliseconds()}).Info("server backpressure")
	}
}
