package edge

import (
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/fleet"
	"github.com/chestnutstream/chestnutstream/instance"
	"github.com/chestnutstream/chestnutstream/platform"
)

// Connected implements instance.Handler.
func (n *Node) Connected(to instance.Member) instance.Bundle {
	n.mu.Lock()
	defer n.mu.Unlock()
	b := instance.Bundle{ConfigRequested: n.routes.Load() == nil, ConfigVersion: n.configVersion(), Versions: n.lostVersions()}
	// After a loss of this connection alone the peer does not repeat its first bundle.
	p := n.peers[to.Name]
	b.StateRequested = p == nil || p.incarnation == 0
	n.addState(&b, to.Name)
	b.SoftwareRows = n.knownSoftwareRows()
	b.Evidence = evidenceMessages(n.now(), n.quarantine.Evidence(maxFirstEvidence))
	n.log.WithField("peer", to.Name).Info("peer linked")
	n.quotas.notify()
	return b
}

// addState adds what this instance says of itself to a message to another one. Callers hold
// mu.
func (n *Node) addState(b *instance.Bundle, to string) {
	b.From, b.Incarnation = n.member, n.incarnation
	b.HasOwned, b.Owned = true, slices.Sorted(maps.Keys(n.loaders))
	b.Usage = append(b.Usage, n.usageOn(to)...)
	for id, requests := range n.sentLoads {
		b.EngineLoads = append(b.EngineLoads, instance.EngineLoad{Server: id, Requests: requests})
	}
	n.addBackpressure(b)
	b.HasCutOff, b.CutOff = true, slices.Sorted(maps.Keys(n.cutOff))
}

// Disconnected implements instance.Handler.
func (n *Node) Disconnected(to instance.Member, err error) {
	n.mu.Lock()
	if p := n.peers[to.Name]; p != nil {
		for id := range p.owned {
			n.fleet.SetTotalRequests(id, 0)
		}
	}
	delete(n.peers, to.Name)
	n.peersChangedAt = n.now()
	n.slots.Depart(n.now(), to.Name)
	n.responseTimes.Forget(to.Name)
	n.failOwnerWaits(to.Name, "owner not reachable")
	n.mu.Unlock()
	n.quotas.notify()
	n.log.WithError(err).WithField("peer", to.Name).Warn("peer lost")
}

// Received implements instance.Handler.
func (n *Node) Received(from instance.Member, b instance.Bundle) {
	n.store.RaiseEra(newestEra(b))
	n.applySoftwareRows(b.SoftwareRows) // before responses that come with them
	n.mu.Lock()
	p := n.peers[from.Name]
	if p == nil {
		p = &peer{owned: map[string]bool{}}
		n.peers[from.Name] = p
	}
	if b.Incarnation != 0 || (b.Draining && !p.draining) {
		n.peersChangedAt = n.now()
	}
	if b.Incarnation != 0 {
		p.member, p.incarnation, p.draining = from, b.Incarnation, false
	}
	p.draining = p.draining || b.Draining
	if b.HasCutOff {
		p.cutOff = map[string]bool{}
		for _, service := range b.CutOff {
			p.cutOff[service] = true
		}
	}
	for _, l := range b.EngineLoads {
		n.fleet.SetTotalRequests(l.Server, l.Requests)
	}
	for _, r := range b.Prefills {
		n.fleet.RecordPrefill(n.now(), r.Server, r.Tokens)
	}
	n.handleSharedPrompts(b.SharedPrompts)
	if b.HasOwned {
		p.owned = make(map[string]bool, len(b.Owned))
		for _, id := range b.Owned {
			p.owned[id] = true
		}
	}
	if b.StateRequested {
		n.mesh.Send(from.Name, func(out *instance.Bundle) { n.addState(out, from.Name) })
	}
	boot := n.boot()
	for _, r := range b.LoadRequests {
		n.handleLoadRequest(boot, from.Name, r)
	}
	for _, r := range b.PrefillRequests {
		n.handlePrefillRequest(boot, from.Name, r)
	}
	for _, r := range b.PrefillResponses {
		n.handlePrefillResponse(r)
	}
	for _, service := range b.PacedServices {
		n.fleet.StartPacing(n.now(), service)
	}
	for _, u := range b.Usage {
		if e := n.loaders[u.Server]; e != nil {
			e.RecordUsage(boot, from.Name, u.Target, u.Begun, u.InProgress)
		}
	}
	for _, r := range b.LoadResponses {
		if r.Loaded {
			n.declareFromPeer(from.Name, r.Target, r.Version)
		}
		n.handleLoadResponse(r)
	}
	var changes []fleet.Change
	for _, s := range b.ServerNotices {
		changes = append(changes, n.recordPeerBackpressure(s)...)
	}
	removals := n.applyPeerRemovals(b.RemovedServers)
	view := n.viewAge(platform.TableServers)
	for _, l := range b.RateLimits {
		changes = append(changes, n.recordPeerLimit(l)...)
	}
	for _, r := range b.PermitRequests {
		n.handlePermitRequest(from.Name, r)
	}
	for _, r := range b.SlotReports {
		n.slots.RecordAbandoned(n.now(), r.Server, from.Name, r.Abandoned)
	}
	for _, r := range b.SlotRequests {
		n.handleSlotRequest(from.Name, r)
	}
	for _, r := range b.SlotReports { // now that the requests have made the sender known
		n.recordSlotReport(from.Name, r)
	}
	for _, s := range b.BrittleServices {
		n.fleet.RecordPeerBrittle(s.Service, n.now().Add(-time.Duration(s.AgeMS)*time.Millisecond), s.Brittle, s.MaxRejections)
	}
	for _, server := range b.Rejections {
		n.handleRejection(server)
	}
	for _, r := range b.SlotResponses {
		n.handleSlotResponse(r)
	}
	for _, r := range b.PermitResponses {
		n.handlePermitResponse(r)
	}
	n.handleOrigins(from.Name, b)
	verdicts := n.handleEvidence(from.Name, b)
	sendRows := n.rows.config != nil && (b.ConfigRequested || (b.ConfigVersion > 0 && b.ConfigVersion < n.configVersion()))
	var cached instance.Bundle
	if sendRows {
		cached = n.rows.bundle()
	}
	n.mu.Unlock()
	n.quotas.received(from.Name, b)
	n.logServerChanges(removals, from.Name, view)
	n.logBackpressure(changes, from.Name)
	n.logVerdicts(verdicts)
	for _, u := range b.TableUpdates {
		u.From = from.Name
		n.handleUpdate(u)
	}
	if sendRows {
		n.mesh.Send(from.Name, func(out *instance.Bundle) {
			out.Config, out.ConfigRowVersion, out.Servers, out.Versions = cached.Config, cached.ConfigRowVersion, cached.Servers, cached.Versions
		})
	}
	if own := n.configVersion(); own > 0 && own < b.ConfigVersion {
		n.mesh.Send(from.Name, func(out *instance.Bundle) { out.ConfigRequested = true })
	}
	if b.Config != nil || len(b.Versions) > 0 {
		n.applyPeerRows(from.Name, b)
	}
	if len(b.LoadRequests) > 0 {
		n.wakeControl()
	}
}

// bundle returns the rows as a message to an instance that cannot read the store.
func (r *cachedRows) bundle() instance.Bundle {
	b := instance.Bundle{Config: r.config, ConfigRowVersion: r.configRowVersion}
	for _, s := range r.servers {
		b.Servers = append(b.Servers, s)
	}
	for _, v := range r.versions {
		b.Versions = append(b.Versions, v)
	}
	return b
}

// applyPeerRows applies a peer's cached rows. An instance that started while the store is
// unavailable takes all of them. Others take a newer configuration and newer versions of
// adapters, which the store has lost since.
func (n *Node) applyPeerRows(from string, b instance.Bundle) {
	for _, v := range b.Versions {
		n.declareVersion(v.Key, v.Value, v.Version)
	}
	if b.Config == nil {
		return
	}
	if n.routes.Load() == nil {
		n.mu.Lock()
		changes := n.fleet.ApplyUpdates(n.now(), decodeServerEntries(b.Servers))
		n.observeSoftware()
		view := n.viewAge(platform.TableServers)
		n.mu.Unlock()
		n.logServerChanges(changes, from, view)
		n.log.WithFields(log.Fields{"peer": from, "servers": len(b.Servers)}).Info("servers taken from a peer")
	}
	n.adoptConfig(b.Config, b.ConfigRowVersion, from)
}

// configVersion returns the version of the configuration in force, 0 if there is none.
func (n *Node) configVersion() uint64 {
	if t := n.routes.Load(); t != nil {
		return t.Version
	}
	return 0
}

// lostVersions returns the rows with versions of adapters that were declared in an earlier
// era and that the store has not shown since. Callers hold mu.
func (n *Node) lostVersions() []chestnutstream.TableRow {
	var out []chestnutstream.TableRow
	for _, r := range n.rows.versions {
		if n.isOld(r.Version) {
			out = append(out, r)
		}
	}
	return out
}

// handleLoadRequest passes a load request to the loader of an engine that this
// instance owns, and responds that the load is pending. For other engines it responds
// that it is not the owner. Callers hold mu.
func (n *Node) handleLoadRequest(boot time.Duration, from string, r instance.LoadRequest) {
	n.declareFromPeer(from, r.Target, r.Version)
	if e := n.loaders[r.Server]; e != nil {
		e.RequestLoad(boot, from, r.Target, r.Version, r.Waiting)
		if r.Waiting <= 0 {
			return
		}
		response := instance.LoadResponse{Server: r.Server, Target: r.Target, Version: r.Version, Pending: true}
		n.mesh.Send(from, func(b *instance.Bundle) { b.LoadResponses = append(b.LoadResponses, response) })
		return
	}
	if r.Waiting <= 0 {
		return
	}
	response := instance.LoadResponse{Server: r.Server, Target: r.Target, Version: r.Version, RetryAfterMS: notOwnerRetryAfter.Milliseconds(), Reason: "not its owner"}
	n.mesh.Send(from, func(b *instance.Bundle) { b.LoadResponses = append(b.LoadResponses, response) })
}

// declareFromPeer declares an adapter's version from another instance's message: a
// version that is requested or loaded has been declared, though this instance may not
// have read the declaration yet. Callers hold mu.
func (n *Node) declareFromPeer(from string, target chestnutstream.ModelAdapter, version int) {
	if target.Adapter == "" || version <= n.fleet.Version(target) {
		return
	}
	n.fleet.DeclareVersion(target, version)
	n.log.WithFields(log.Fields{"peer": from, "adapter": target.String(), "version": version}).Info("adapter version learned from a peer")
}

// notOwnerRetryAfter is the delay that an instance responds with to a load request
// for an engine that it does not own.
const notOwnerRetryAfter = 300 * time.Millisecond

// handleLoadResponse handles an owner's load response. Callers hold mu.
func (n *Node) handleLoadResponse(r instance.LoadResponse) {
	switch {
	case r.Pending:
		if w := n.loadWaits[adapterKey{r.Server, r.Target}]; w != nil {
			w.pending = true
		}
	case r.Loaded:
		n.fleet.RecordLoaded(n.now(), r.Server, r.Target, r.Version)
		n.endWait(adapterKey{r.Server, r.Target}, placeResult{ok: true})
	case r.Unloaded:
		n.fleet.RecordNotLoaded(r.Server, r.Target)
	default:
		n.endWait(adapterKey{r.Server, r.Target}, placeResult{retryAfter: time.Duration(r.RetryAfterMS) * time.Millisecond, reason: r.Reason})
	}
}

// ownerOf returns the instance that load requests for a server are sent to, or "". An
// instance counts as owner only when it reports so itself; the owner by the leases
// goes before others. Callers hold mu.
func (n *Node) ownerOf(server string) string {
	if n.loaders[server] != nil {
		return n.id
	}
	if name := n.leases.Owner(server); name != "" {
		if p := n.peers[name]; p != nil && p.owned[server] {
			return name
		}
	}
	for name, p := range n.peers {
		if p.owned[server] {
			return name
		}
	}
	return ""
}

// sendUsage sends the owners the changed usage of adapters on their engines. Callers
// hold mu.
func (n *Node) sendUsage(now time.Time) {
	if len(n.changedUsage) == 0 || now.Sub(n.usageSentAt) < usageInterval {
		return
	}
	n.usageSentAt = now
	boot := n.boot()
	byOwner := map[string][]instance.Usage{}
	for k := range n.changedUsage {
		u := n.usage[k]
		begun, inProgress := u.begun, u.inProgress
		u.begun = 0
		if inProgress == 0 {
			delete(n.usage, k)
		}
		if e := n.loaders[k.server]; e != nil {
			e.RecordUsage(boot, n.id, k.target, begun, inProgress)
			continue
		}
		if owner := n.ownerOf(k.server); owner != "" {
			byOwner[owner] = append(byOwner[owner], instance.Usage{Server: k.server, Target: k.target, Begun: begun, InProgress: inProgress})
		}
	}
	clear(n.changedUsage)
	for owner, usage := range byOwner {
		n.mesh.Send(owner, func(b *instance.Bundle) { b.Usage = append(b.Usage, usage...) })
	}
}

// Messages about the load of engines: sent when a load has changed by loadChangeShare
// of the engine's slots, and not more often than loadInterval. Every instance receives
// those of all others, so each sends fewer of them when there are many instances. A
// jump, as when many requests that waited for one adapter start at once, is sent after
// jumpInterval.
const (
	loadChangeShare     = 0.12
	loadInterval        = 150 * time.Millisecond
	loadIntervalPerPeer = 4 * time.Millisecond // an instance receives about 250 messages a second at most
	loadJumpFactor      = 3                    // times the least change that is sent
	jumpInterval        = 25 * time.Millisecond
)

// sendLoads sends all instances the number of requests at the engines that this one
// owns, if it has changed. Each instance sees only its own requests and the responses
// to them. Callers hold mu.
func (n *Node) sendLoads(boot time.Duration, now time.Time) {
	interval := max(loadInterval, time.Duration(len(n.peers))*loadIntervalPerPeer)
	var loads []instance.EngineLoad
	for id, e := range n.loaders {
		load, sent := e.InProgress(boot), n.sentLoads[id]
		minChange := max(int(loadChangeShare*float64(e.Server.Slots)), 1)
		change := max(load-sent, sent-load)
		if change >= loadJumpFactor*minChange {
			interval = jumpInterval
		}
		if change >= minChange {
			loads = append(loads, instance.EngineLoad{Server: id, Requests: load})
		}
	}
	for id := range n.sentLoads {
		if n.loaders[id] == nil {
			delete(n.sentLoads, id)
		}
	}
	if len(loads) == 0 || now.Sub(n.loadsSentAt) < interval {
		return
	}
	n.loadsSentAt = now
	for _, l := range loads {
		n.sentLoads[l.Server] = l.Requests
		n.fleet.SetTotalRequests(l.Server, l.Requests)
	}
	n.mesh.Broadcast(func(b *instance.Bundle) { b.EngineLoads = append(b.EngineLoads, loads...) })
}

// usageOn returns this instance's requests in progress on a peer's engines. Callers
// hold mu.
func (n *Node) usageOn(owner string) []instance.Usage {
	var out []instance.Usage
	for k, u := range n.usage {
		if u.inProgress > 0 && n.ownerOf(k.server) == owner {
			out = append(out, instance.Usage{Server: k.server, Target: k.target, InProgress: u.inProgress})
		}
	}
	return out
}
