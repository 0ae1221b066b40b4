package edge

import (
	"time"

	"github.com/apex/log"

	"github.com/chestnutstream/chestnutstream/fleet"
	"github.com/chestnutstream/chestnutstream/instance"
	"github.com/chestnutstream/chestnutstream/platform"
)

// Sources of changes of servers that are not the name of another instance.
const (
	sourceStore   = "store"   // read by this instance
	sourceTimeout = "timeout" // an entry that did not come back
)

// broadcastLeaving sends all instances the servers that leave, as this one has just read:
// their own reads and their readers' updates may come an interval later. Those that are informed
// do not pass it on, and have no news in what they read then. Callers hold mu.
func (n *Node) broadcastLeaving(changes []fleet.Change) {
	var notices []instance.ServerNotice
	var removed []instance.RemovedServer
	for _, c := range changes {
		switch c.What {
		case fleet.ChangeDraining:
			if s := n.fleet.Server(c.Server); s != nil { // not removed by the same read
				notices = append(notices, instance.ServerNotice{Server: s.ID, Born: s.Born, Leaving: true})
			}
		case fleet.ChangeGone:
			removed = append(removed, instance.RemovedServer{Server: c.Server, RowVersion: c.RowVersion})
		}
	}
	if len(notices)+len(removed) == 0 {
		return
	}
	n.mesh.Broadcast(func(b *instance.Bundle) {
		b.ServerNotices = append(b.ServerNotices, notices...)
		b.RemovedServers = append(b.RemovedServers, removed...)
	})
}

// applyPeerRemovals applies removals of entries that another instance has read. Callers hold
// mu.
func (n *Node) applyPeerRemovals(removed []instance.RemovedServer) []fleet.Change {
	entries := make([]fleet.Entry, 0, len(removed))
	for _, r := range removed {
		entries = append(entries, fleet.Entry{Key: r.Server, RowVersion: r.RowVersion, Removed: true})
	}
	changes := n.fleet.ApplyUpdates(n.now(), entries)
	n.handleServerChanges(changes)
	return changes
}

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
