package entry

import (
	"time"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/engine"
	"github.com/chestnutstream/chestnutstream/operator"
	"github.com/chestnutstream/chestnutstream/peer"
)

// fetchAgainAfter is how long a content that was asked for is waited for.
const fetchAgainAfter = time.Second

// readHead polls the document's head in the table service.
func (n *Node) readHead() {
	head, err := n.store.Head(n.ctx)
	if err != nil {
		n.log.WithError(err).Debug("configuration head not read")
		return
	}
	if head.Revision > 0 {
		n.adopt(operator.HeadSeen{Head: head}, "")
	}
}

// askPeer asks a peer for a revision that is newer than the one in force.
func (n *Node) askPeer(name string, revision uint64) {
	if revision == 0 {
		return
	}
	n.mu.Lock()
	key := "peer/" + name
	now := n.cfg.Timer.Now()
	recent := now.Sub(n.asked[key]) < fetchAgainAfter
	if !recent {
		n.asked[key] = now
	}
	have := []string{}
	if cfg := n.adoption.Current(); cfg != nil {
		for _, s := range cfg.Head.Sections {
			have = append(have, s.Hash)
		}
	}
	n.mu.Unlock()
	if !recent {
		n.mesh.Send(name, peer.ConfigurationWanted{Have: have})
	}
}

// AnswerConfiguration implements peer.Node.
func (n *Node) AnswerConfiguration(w peer.ConfigurationWanted) (peer.ConfigurationTold, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	cfg := n.adoption.Current()
	if cfg == nil {
		return peer.ConfigurationTold{}, false
	}
	have := map[string]bool{}
	for _, h := range w.Have {
		have[h] = true
	}
	told := peer.ConfigurationTold{Head: cfg.Head}
	for name, s := range cfg.Head.Sections {
		if b, ok := n.adoption.Content(s.Hash); ok && !have[s.Hash] {
			told.Contents = append(told.Contents, peer.SectionContent{Section: name, Bytes: b})
		}
	}
	return told, true
}

// ConfigurationTold implements peer.Node.
func (n *Node) ConfigurationTold(m peer.ConfigurationTold) {
	for _, c := range m.Contents {
		n.adopt(operator.ContentSeen{Section: c.Section, Bytes: c.Bytes}, "")
	}
	n.adopt(operator.HeadSeen{Head: m.Head}, "")
}

// adopt hands an event to the adoption and fetches what is missing.
func (n *Node) adopt(event any, hash string) {
	n.mu.Lock()
	now := n.cfg.Timer.Now()
	delete(n.asked, hash)
	a := n.adoption.Step(event)
	var fetch []operator.MissingSection
	for _, m := range a.Missing {
		if now.Sub(n.asked[m.Hash]) >= fetchAgainAfter {
			n.asked[m.Hash] = now
			fetch = append(fetch, m)
		}
	}
	if a.Configuration != nil {
		n.inForce(now, a.Configuration)
	}
	n.mu.Unlock()
	if a.Err != nil {
		n.log.WithError(a.Err).Error("configuration revision refused; the one in force stays")
	}
	if a.Configuration != nil {
		n.log.WithField("revision", a.Configuration.Revision()).Info("configuration in force")
		n.mesh.NotifyAll()
	}
	for _, m := range fetch {
		go n.fetchSection(m)
	}
}

func (n *Node) fetchSection(m operator.MissingSection) {
	b, err := n.store.Content(n.ctx, m.Hash)
	if err != nil {
		n.log.WithError(err).WithField("section", m.Section).Debug("section not fetched")
		return
	}
	n.adopt(operator.ContentSeen{Section: m.Section, Bytes: b}, m.Hash)
}

// inForce puts a configuration in force. Callers hold mu.
func (n *Node) inForce(now time.Time, cfg *chestnutstream.Configuration) {
	n.config.Store(cfg)
	n.limits = queueLimits(cfg)
	n.note(chestnutstream.Decision{At: now, Subject: "configuration", Step: "adopt", Detail: formatRevision(cfg.Revision())})
	n.useServers(now, cfg)
}

// useServers tells the parts which backend servers there are. Callers hold mu.
func (n *Node) useServers(now time.Time, cfg *chestnutstream.Configuration) {
	var zone, engines, services []chestnutstream.ServerSettings
	for _, s := range cfg.Servers {
		switch {
		case s.Kind == chestnutstream.KindService:
			services = append(services, s)
			continue
		case s.Zone == n.self.Zone:
			zone = append(zone, s)
		}
		engines = append(engines, s)
	}
	n.ownership.Step(now, engine.ZoneServers{Servers: zone})
	n.placement.Step(now, engine.Servers{Servers: engines, Addresses: n.members.addresses, Leaving: n.members.leaving})
	n.pool.set(services, n.members.addresses, n.members.leaving)
}

// readList reads the platform's list of instances.
func (n *Node) readList() {
	rows, err := n.platform.Instances(n.ctx)
	if err != nil {
		n.log.WithError(err).Debug("list of instances not read")
		return
	}
	n.mu.Lock()
	now := n.cfg.Timer.Now()
	add, gone := n.members.list(now, rows)
	for _, name := range gone {
		n.scheduler.Step(now, engine.PeerGone{Peer: name})
		delete(n.told, name)
	}
	if cfg := n.config.Load(); cfg != nil {
		n.useServers(now, cfg)
	}
	n.mu.Unlock()
	for _, m := range add {
		n.mesh.Add(m)
	}
	for _, name := range gone {
		n.mesh.Remove(name)
	}
}
