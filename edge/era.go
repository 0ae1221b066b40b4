package edge

import (
	"github.com/apex/log"

	"github.com/chestnutstream/chestnutstream"
)

// watchEra registers what happens, and what is counted, when the store returns from a copy.
func (n *Node) watchEra() {
	n.store.OnRestore(n.recordRestore)
	n.metrics.GetOrCreateCounter(`chestnutstream_store_restores_total`)
	n.metrics.NewGauge(`chestnutstream_store_era`, func() float64 { return float64(n.store.Era()) })
}

// recordRestore records that the store has returned from a copy.
func (n *Node) recordRestore(old, era uint64) {
	n.metrics.GetOrCreateCounter(`chestnutstream_store_restores_total`).Inc()
	fields := log.Fields{"old": old, "era": era}
	n.mu.Lock()
	for table, v := range n.views {
		fields["version-"+table] = chestnutstream.VersionCounter(v.version)
	}
	n.mu.Unlock()
	n.log.WithFields(fields).Warn("store returned from a copy")
}
