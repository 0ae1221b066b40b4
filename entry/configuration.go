package entry

import (
	"time"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/engine"
	"github.com/chestnutstream/chestnutstream/operator"
	"github.com/chestnutstream/chestnutstream/peer"
)

// fetchRetryDelay is the time after which a request without a response for a section's
// content or a peer's configuration is repeated.
const fetchRetryDelay = time.Second

// readHead reads the head of the configuration document from the table service.
func (n *Node) readHead() {
	head, err := n.store.Head(n.ctx)
	if err != nil {
		n.log.WithError(err).Debug("failed to read configuration head")
		return
	}
	n.rewriteLost(head)
	if head.Revision > 0 {
		n.adopt(operator.HeadReceived{Head: head}, "")
	}
}

// rewriteLost writes the sections in force again that the table service has lost.
func (n *Node) rewriteLost(head chestnutstream.Head) {
	cfg := n.config.Load()
	if cfg == nil || !operator.Lost(cfg.Head, head) {
		return
	}
	err := n.store.Rewrite(n.ctx, cfg.Head, func(hash string) ([]byte, bool) {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.adoption.Content(hash)
	})
	l := n.log.WithField("revision", head.Revision)
	if err != nil {
		l.WithError(err).Warn("failed to write the configuration that the store has lost again")
		return
	}
	l.Info("configuration that the store had lost is written again")
}

// requestConfiguration requests the configuration from a peer, at most once per
// fetchRetryDelay. The caller has found that the peer's revision is newer.
func (n *Node) requestConfiguration(name string, revision uint64) {
	if revision == 0 {
		return
	}
	n.mu.Lock()
	key := "peer/" + name
	now := n.cfg.Timer.Now()
	recent := now.Sub(n.requestedAt[key]) < fetchRetryDelay
	if !recent {
		n.requestedAt[key] = now
	}
	have := []string{}
	if cfg := n.adoption.Current(); cfg != nil {
		for _, s := range cfg.Head.Sections {
			have = append(have, s.Hash)
		}
	}
	n.mu.Unlock()
	if !recent {
		n.mesh.Send(name, peer.ConfigurationRequest{Have: have})
	}
}

// BuildConfigurationUpdate implements peer.Node.
func (n *Node) BuildConfigurationUpdate(r peer.ConfigurationRequest) (peer.ConfigurationUpdate, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	cfg := n.adoption.Current()
	if cfg == nil {
		return peer.ConfigurationUpdate{}, false
	}
	have := map[string]bool{}
	for _, h := range r.Have {
		have[h] = true
	}
	update := peer.ConfigurationUpdate{Head: cfg.Head}
	for name, s := range cfg.Head.Sections {
		if b, ok := n.adoption.Content(s.Hash); ok && !have[s.Hash] {
			update.Contents = append(update.Contents, peer.SectionContent{Section: name, Bytes: b})
		}
	}
	return update, true
}

// HandleConfigurationUpdate implements peer.Node.
func (n *Node) HandleConfigurationUpdate(update peer.ConfigurationUpdate) {
	for _, c := range update.Contents {
		n.adopt(operator.ContentReceived{Section: c.Section, Bytes: c.Bytes}, "")
	}
	n.adopt(operator.HeadReceived{Head: update.Head}, "")
}

// adopt passes an event to the adoption module, activates a complete revision
// and fetches missing sections. hash is that of a content which was fetched, or
// "".
func (n *Node) adopt(event any, hash string) {
	n.mu.Lock()
	now := n.cfg.Timer.Now()
	delete(n.requestedAt, hash)
	adopted := n.adoption.Step(event)
	var fetch []operator.MissingSection
	for _, m := range adopted.Missing {
		if now.Sub(n.requestedAt[m.Hash]) >= fetchRetryDelay {
			n.requestedAt[m.Hash] = now
			fetch = append(fetch, m)
		}
	}
	if adopted.Configuration != nil {
		n.activate(now, adopted.Configuration)
	}
	n.mu.Unlock()
	if adopted.Err != nil {
		n.log.WithError(adopted.Err).Error("invalid configuration revision; keeping the active one")
	}
	if adopted.Configuration != nil {
		n.log.WithField("revision", adopted.Configuration.Revision()).Info("configuration activated")
		n.mesh.NotifyAll()
	}
	for _, m := range fetch {
		go n.fetchSection(m)
	}
}

// fetchSection fetches a section's content from the table service.
func (n *Node) fetchSection(m operator.MissingSection) {
	b, err := n.store.Content(n.ctx, m.Hash)
	if err != nil {
		n.log.WithError(err).WithField("section", m.Section).Debug("failed to fetch section")
		return
	}
	n.adopt(operator.ContentReceived{Section: m.Section, Bytes: b}, m.Hash)
}

// activate makes a configuration the active one. The caller must hold mu.
func (n *Node) activate(now time.Time, cfg *chestnutstream.Configuration) {
	n.config.Store(cfg)
	n.limits = queueLimits(cfg)
	n.recordTraceEvent(chestnutstream.TraceEvent{At: now, Subject: "configuration", Step: "adopt", Detail: formatRevision(cfg.Revision())})
	n.updateServers(now, cfg)
}

// updateServers passes the configured backend servers to the modules that use
// them. The caller must hold mu.
func (n *Node) updateServers(now time.Time, cfg *chestnutstream.Configuration) {
	var zoneEngines, engines, services []chestnutstream.ServerSettings
	for _, s := range cfg.Servers {
		switch {
		case s.Kind == chestnutstream.KindService:
			services = append(services, s)
			continue
		case s.Zone == n.self.Zone:
			zoneEngines = append(zoneEngines, s)
		}
		engines = append(engines, s)
	}
	n.ownership.Step(now, engine.ZoneServers{Servers: zoneEngines})
	n.placement.Step(now, engine.Servers{Servers: engines, Addresses: n.members.addresses, Leaving: n.members.leaving})
	n.pool.update(services, n.members.addresses, n.members.leaving)
}

// readInstances reads the platform's list of instances and links new peers.
func (n *Node) readInstances() {
	rows, err := n.platform.Instances(n.ctx)
	if err != nil {
		n.log.WithError(err).Debug("failed to read the list of instances")
		return
	}
	n.mu.Lock()
	now := n.cfg.Timer.Now()
	add, removed := n.members.update(now, rows)
	for _, name := range removed {
		n.scheduler.Step(now, engine.PeerDeparted{Peer: name})
		delete(n.notified, name)
	}
	if cfg := n.config.Load(); cfg != nil {
		n.updateServers(now, cfg)
	}
	n.mu.Unlock()
	for _, m := range add {
		n.mesh.Add(m)
	}
	for _, name := range removed {
		n.mesh.Remove(name)
	}
}
