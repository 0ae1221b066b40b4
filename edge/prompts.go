package edge

import (
	"time"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/fleet"
	"github.com/chestnutstream/chestnutstream/ingress"
	"github.com/chestnutstream/chestnutstream/instance"
)

// setKVCapacities passes the memory of the services' engines to the fleet. old is the
// configuration before, nil for none. Callers hold mu.
func (n *Node) setKVCapacities(old, t *chestnutstream.RouteTable) {
	if old != nil {
		for name := range old.Services {
			if t.Services[name] == nil {
				n.fleet.SetKVCapacity(name, 0)
			}
		}
	}
	for name, s := range t.Services {
		tokens := 0
		if s.Engine != nil {
			tokens = s.Engine.KVCacheTokens
		}
		n.fleet.SetKVCapacity(name, tokens)
	}
}

// weighPrompt returns how many tokens of a request's prompt the engine that it is about to be
// sent to is believed to keep. Other instances are told of the shared beginning of a large
// prompt: one message to each of them for each large prompt. Callers hold mu.
func (n *Node) weighPrompt(now time.Time, s *fleet.Server, p ingress.PlacementRequest, version int) int {
	if !n.fleet.WeighsPrompts(p.Service) {
		return 0
	}
	r := fleetRequest(p, version)
	n.fleet.SamplePromptLoad(now, p.Service)
	cached := n.fleet.CachedTokens(now, s.ID, r)
	n.metrics.GetOrCreateHistogram(`chestnutstream_prompt_cached_tokens`).Update(float64(cached))
	if shared, ok := r.SharedPart(); ok && p.Prompt.Tokens >= fleet.LargePrompt {
		msg := instance.SharedPrompt{Server: s.ID, Target: shared.Target, Key: shared.Key, Tokens: shared.Tokens}
		n.mesh.Broadcast(func(b *instance.Bundle) { b.SharedPrompts = append(b.SharedPrompts, msg) })
	}
	return cached
}

// tokensToPrefill returns how many tokens of a request's prompt an engine has to prefill, less
// those that it is believed to keep. Callers hold mu.
func (n *Node) tokensToPrefill(now time.Time, server string, p ingress.PlacementRequest, version int) int {
	tokens := p.Prompt.Tokens
	if n.fleet.WeighsPrompts(p.Service) {
		tokens -= n.fleet.CachedTokens(now, server, fleetRequest(p, version))
	}
	return max(tokens, 1)
}

// recordPrompt records that an engine has responded to a request, so that it has prefilled its
// prompt. Callers hold mu.
func (n *Node) recordPrompt(now time.Time, a ingress.Assignment, target chestnutstream.ModelAdapter) {
	n.fleet.RecordPrompt(now, a.Server.ID, a.Server.Born, fleet.Request{
		Service: a.Server.Service, Target: target, Version: a.Version, Prompt: a.Prompt,
	})
}

// handleSharedPrompts records the prompts that another instance has sent to engines. Callers
// hold mu.
func (n *Node) handleSharedPrompts(list []instance.SharedPrompt) {
	for _, p := range list {
		n.fleet.RecordPeerPrompt(n.now(), p.Server, fleet.SharedPart{Target: p.Target, Key: p.Key, Tokens: p.Tokens})
	}
}
