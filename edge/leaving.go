package edge

import (
	"time"

	"github.com/apex/log"

	"github.com/chestnutstream/chestnutstream/fleet"
	"github.com/chestnutstream/chestnutstream/platform"
)

// Sources of changes of servers that are not the name of another instance.
const (
	sourceStore   = "store"   // read by this instance
	sourceTimeout = "timeout" // an entry that did not come back
)

// logServerChanges logs changes of servers, their source, and the age that the view of the
// servers had: for no longer than that was a change unknown here.
func (n *Node) logServerChanges(changes []fleet.Change, source string, view time.Duration) {
	for _, c := range changes {
		fields := log.Fields{"server": c.Server, "change": c.What, "row": c.RowVersion, "source": source, "view-ms": view.Milliseconds()}
		if c.Err == nil {
			if c.What == fleet.ChangeGone || c.What == fleet.ChangeDraining {
				n.recordLeavingLearned(source, view)
			}
			n.log.WithFields(fields).Info("server entry changed")
			continue
		}
		if l, ok := n.rowProblem(platform.TableServers, c.Server, c.Err); ok {
			l.WithFields(fields).Warn("server entry unreadable")
		}
	}
}

// recordLeavingLearned records from where it was learned that a server leaves, and the age
// that the view of the servers had.
func (n *Node) recordLeavingLearned(source string, view time.Duration) {
	if source != sourceStore && source != sourceTimeout {
		source = "peer"
	}
	n.metrics.GetOrCreateHistogram(`chestnutstream_leaving_learned_view_age_seconds{source="` + source + `"}`).Update(view.Seconds())
}
