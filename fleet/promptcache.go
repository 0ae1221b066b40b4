package fleet

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutstream/chestnutstream"
)

// An engine keeps the parts of the prompts that it has prefilled, for each model and adapter
// version, until it needs their memory for others. A prompt that begins with such parts needs
// less prefill there. An instance sees a small share of what an engine is sent, 1 in 60 or
// less, so it estimates what the others send: they use a part as often as this instance does,
// times the ratio of the engines' load to this instance's own requests in progress. Instances
// tell one another of the shared beginnings of large prompts, since an instance sees each of
// them too rarely for an estimate: once a minute, while engines keep them for some 10 s.
//
// By the approximation of Che for caches that evict the least recently used entry, a part
// stays if it is used again within a window that is the same for all parts of an engine: the
// time in which the distinct tokens used there add up to its memory.
//
// The estimates are hints: a wrong one costs prefill time and nothing else.

// Parameters of the model of cached prompts.
const (
	// maxCachedParts limits the parts known over all engines. With its share of the map a part
	// takes some 120 bytes, so that all of them take 2 MB of the 144 MB of a small instance. An
	// engine's share is within minEngineParts and maxEngineParts.
	maxCachedParts = 16384
	minEngineParts = 8
	maxEngineParts = 1024
	// ownPartsShare is the share of an engine's parts that belong to one request or session.
	// They are far more than the shared ones, and would replace all of them.
	ownPartsShare = 0.25
	// minOwnPart is the least size of a part of one request or session that is remembered.
	// Fewer tokens are prefilled in some 6 ms.
	minOwnPart = 256
	// minNotifiedPart is the least size of a shared part that other instances are told of.
	minNotifiedPart = 256
	// useDecay is the time over which the counts of uses and of tokens decay. An instance uses a
	// popular large part about once a minute if 60 share its traffic.
	useDecay = 2 * time.Minute
	// priorExposure is the time for which the mean of a service weighs in the rate of an engine.
	priorExposure = 20 * time.Second
	// maxCacheWindow limits the estimated window, for engines that are sent hardly anything.
	maxCacheWindow = 10 * time.Minute
	// cacheWindowInterval is the time between two updates of an engine's window, each of which
	// goes over its parts.
	cacheWindowInterval = time.Second
	// loadSampleInterval is the time between two samples of the load of a service's engines.
	loadSampleInterval = 50 * time.Millisecond
	// minCacheShare is the least share of an engine's memory that is assumed to be left for
	// cached parts beside the requests in progress.
	minCacheShare = 0.05
)

// decayingSum is a sum whose addends decay over useDecay.
type decayingSum struct {
	value float64
	at    time.Time
}

func (d *decayingSum) get(now time.Time) float64 {
	if d.value == 0 {
		return 0
	}
	return d.value * math.Exp(-max(now.Sub(d.at).Seconds(), 0)/useDecay.Seconds())
}

func (d *decayingSum) add(now time.Time, v float64) { d.value, d.at = d.get(now)+v, now }

// exposure returns the time, in seconds, over which a decaying sum that began at a moment has
// collected its addends.
func exposure(now, since time.Time) float64 {
	return useDecay.Seconds() * (1 - math.Exp(-max(now.Sub(since).Seconds(), 0)/useDecay.Seconds()))
}

// cachedPart is a part of a prompt behind all parts before it.
type cachedPart struct {
	key        uint64 // of the part and those before it, with the model and the adapter version
	target     uint64 // hash of the model and adapter
	tokens     int
	uses       decayingSum // by this instance; by all if complete
	complete   bool        // other instances tell this one of their uses
	prev, next *cachedPart
}

// partList is a set of parts in the order of their last use.
type partList struct {
	parts map[uint64]*cachedPart
	root  cachedPart // root.next is the part that was used last
}

func newPartList() partList { return partList{parts: map[uint64]*cachedPart{}} }

// use returns a part, added if it is new, as the one used last.
func (l *partList) use(key uint64) (p *cachedPart, isNew bool) {
	if l.root.next == nil {
		l.root.next, l.root.prev = &l.root, &l.root
	}
	p = l.parts[key]
	if p == nil {
		p, isNew = &cachedPart{key: key}, true
		l.parts[key] = p
	} else {
		p.prev.next, p.next.prev = p.next, p.prev
	}
	p.prev, p.next = &l.root, l.root.next
	p.next.prev, l.root.next = p, p
	return p, isNew
}

func (l *partList) remove(p *cachedPart) {
	p.prev.next, p.next.prev = p.next, p.prev
	delete(l.parts, p.key)
}

// shrink removes the parts used longest ago until n are left.
func (l *partList) shrink(n int) {
	for len(l.parts) > n {
		l.remove(l.root.prev)
	}
}

// removeTarget removes the parts of a model or adapter.
func (l *partList) removeTarget(target uint64) {
	for _, p := range l.parts {
		if p.target == target {
			l.remove(p)
		}
	}
}

// promptCache is what one start of an engine is believed to keep.
type promptCache struct {
	since    time.Time
	shared   partList
	own      partList    // parts of one request or session
	single   decayingSum // tokens that this instance has sent and that nobody is known to use again
	window   time.Duration
	windowAt time.Time
}

// promptService is what the model knows of the engines of a service.
type promptService struct {
	capacity  int // tokens that one engine keeps, for cached parts and requests in progress
	since     time.Time
	load      decayingSum // samples of the requests in progress at the engines
	inFlight  decayingSum // samples of those of this instance
	sampledAt time.Time
	single    decayingSum // as of promptCache, over all engines
	requests  decayingSum
	tokens    decayingSum // that those requests occupy while they are in progress
}

// SetKVCapacity sets the tokens that an engine of a service keeps, for cached parts and requests
// in progress together; 0: unknown, what engines cache is not estimated.
func (f *Fleet) SetKVCapacity(service string, tokens int) {
	switch p := f.prompts[service]; {
	case tokens <= 0:
		delete(f.prompts, service)
	case p == nil:
		f.prompts[service] = &promptService{capacity: tokens}
	default:
		p.capacity = tokens
	}
}

// promptService returns what is known of a service's engines, or nil if cached prompts do not
// count in its placement.
func (f *Fleet) promptService(service string) *promptService {
	if !f.StatesPace(service) {
		return nil
	}
	return f.prompts[service]
}

// sample records the load of the service's engines before a request is sent, so that the
// request itself does not count.
func (p *promptService) sample(now time.Time, servers []*Server) {
	if now.Sub(p.sampledAt) < loadSampleInterval {
		return
	}
	p.sampledAt = now
	load, inFlight := 0.0, 0
	for _, s := range servers {
		if s.Usable() {
			load += s.Load(now)
			inFlight += s.InFlight
		}
	}
	p.load.add(now, load)
	p.inFlight.add(now, float64(inFlight))
}

// SamplePromptLoad records the load of a service's engines, for the share of their requests
// that this instance sends.
func (f *Fleet) SamplePromptLoad(now time.Time, service string) {
	if p := f.promptService(service); p != nil {
		p.sample(now, f.services[service])
	}
}

// WeighsPrompts reports whether what engines keep of prompts counts in the placement for a service.
func (f *Fleet) WeighsPrompts(service string) bool { return f.promptService(service) != nil }

// multiple returns how many requests all instances send for one of this instance.
func (p *promptService) multiple(now time.Time) float64 {
	return max((p.load.get(now)+1)/(p.inFlight.get(now)+1), 1)
}

// RecordPrompt records that a start of an engine has responded to a request of this instance,
// so that it has prefilled its prompt.
func (f *Fleet) RecordPrompt(now time.Time, id string, born int64, r Request) {
	s, p := f.servers[id], f.promptService(r.Service)
	if s == nil || p == nil || s.Born != born || r.Prompt.Tokens <= 0 {
		return
	}
	if p.since.IsZero() {
		p.since = now
	}
	c := s.promptCacheAt(now)
	p.requests.add(now, 1)
	p.tokens.add(now, float64(r.Prompt.Tokens)+float64(r.Prompt.MaxOutputTokens)/2)
	single, rest := 0, r.Prompt.Tokens
	key, target := r.chainStart(), targetHash(r.Target)
	for _, part := range r.Prompt.Parts {
		key = chainKey(key, part)
		rest -= part.Tokens
		list := &c.shared
		if part.Own {
			single += part.Tokens
			if part.Tokens < minOwnPart {
				break
			}
			list = &c.own
		}
		known, isNew := list.use(key)
		if isNew && !part.Own {
			single += part.Tokens // it stands for the parts of other instances that this one has not seen
		}
		known.target, known.tokens = target, part.Tokens
		known.uses.add(now, 1)
	}
	single += max(rest, 0)
	c.single.add(now, float64(single))
	p.single.add(now, float64(single))
	limit := f.engineParts()
	c.own.shrink(int(ownPartsShare * float64(limit)))
	c.shared.shrink(limit - len(c.own.parts))
	f.updateCacheWindow(now, s, p)
}

// SharedPart names the last shared part of a prompt, with all parts before it, to other
// instances. Target and Key are hashes.
type SharedPart struct {
	Target uint64 // model and adapter
	Key    uint64 // those, the adapter version and the IDs of the parts
	Tokens int    // of the last one
}

// SharedPart returns the last shared part of a prompt that is worth a message to other
// instances; ok is false if there is none.
func (r Request) SharedPart() (p SharedPart, ok bool) {
	key := r.chainStart()
	for _, part := range r.Prompt.Parts {
		if part.Own {
			break
		}
		key = chainKey(key, part)
		if part.Tokens >= minNotifiedPart {
			p, ok = SharedPart{targetHash(r.Target), key, part.Tokens}, true
		}
	}
	return p, ok
}

// RecordPeerPrompt records that another instance has sent an engine a prompt with a shared part.
func (f *Fleet) RecordPeerPrompt(now time.Time, id string, shared SharedPart) {
	s := f.servers[id]
	if s == nil || shared.Tokens <= 0 {
		return
	}
	p := f.promptService(s.Service)
	if p == nil {
		return
	}
	c := s.promptCacheAt(now)
	part, _ := c.shared.use(shared.Key)
	part.target, part.tokens = shared.Target, min(shared.Tokens, p.capacity)
	part.complete = shared.Tokens >= LargePrompt // smaller ones are also used in prompts without a message
	part.uses.add(now, 1)
	c.shared.shrink(f.engineParts() - len(c.own.parts))
	f.updateCacheWindow(now, s, p)
}

// promptCacheAt returns what an engine is believed to keep, which is nothing at first.
func (s *Server) promptCacheAt(now time.Time) *promptCache {
	if s.prompts == nil {
		s.prompts = &promptCache{since: now, shared: newPartList(), own: newPartList()}
	}
	return s.prompts
}

// engineParts returns how many parts are remembered of an engine.
func (f *Fleet) engineParts() int {
	return min(max(maxCachedParts/max(len(f.servers), 1), minEngineParts), maxEngineParts)
}

// chainStart returns the key before the first part of a prompt. Prompts of other models,
// adapters and versions have other keys.
func (r Request) chainStart() uint64 { return mix(targetHash(r.Target), uint64(r.Version)) }

// chainKey returns the key of a part behind the parts with a key.
func chainKey(before uint64, part chestnutstream.PromptPart) uint64 {
	return mix(before, xxhash.Sum64String(part.ID))
}

// updateCacheWindow updates the window of an engine: the time in which the distinct tokens used
// there add up to the memory left for cached parts. Their number grows ever more slowly with the
// time, so that each Newton step ends at or below the solution.
func (f *Fleet) updateCacheWindow(now time.Time, s *Server, p *promptService) {
	c := s.prompts
	if !c.windowAt.IsZero() && now.Sub(c.windowAt) < cacheWindowInterval {
		return
	}
	steps := 1
	if c.windowAt.IsZero() {
		steps = 4
	}
	c.windowAt = now
	m, exposed := p.multiple(now), exposure(now, c.since)
	free := max(float64(p.capacity)-s.Load(now)*p.tokens.get(now)/max(p.requests.get(now), 1), minCacheShare*float64(p.capacity))
	prior := priorExposure.Seconds()
	mean := p.single.get(now) / max(exposure(now, p.since), 1) / float64(max(len(f.services[s.Service]), 1))
	rate := m * (c.single.get(now) + prior*mean) / (exposed + prior)
	for range steps {
		window := c.window.Seconds()
		used, slope := rate*window, rate
		for _, part := range c.shared.parts {
			perSecond := part.uses.get(now) / (exposed + 1)
			if !part.complete {
				perSecond *= m
			}
			missing := math.Exp(-perSecond * window)
			used += float64(part.tokens) * (1 - missing)
			slope += float64(part.tokens) * perSecond * missing
		}
		window = min(max(window+(free-used)/max(slope, 1), 0), maxCacheWindow.Seconds())
		c.window = time.Duration(window * float64(time.Second))
	}
}

// chance returns how likely it is that an engine still keeps a part: because of its last use by
// this instance, or because another instance has used it within the window. The number of their
// uses follows from those of this instance, which are a small sample: of a Poisson process whose
// rate may have any order of magnitude, and that may have fallen since the last use.
func (c *promptCache) chance(now time.Time, part *cachedPart, multiple float64, shared bool) float64 {
	if c.window <= 0 {
		return 0
	}
	windows := float64(now.Sub(part.uses.at)) / float64(c.window)
	evicted := min(max(windows-0.5, 0), 1) // the window is known to about half of it
	if shared && !part.complete && evicted > 0 {
		exposed := exposure(now, c.since) + 1
		uses := min(part.uses.get(now), exposed/now.Sub(part.uses.at).Seconds())
		evicted *= math.Pow(1+multiple*c.window.Seconds()/exposed, -uses)
	}
	return 1 - evicted
}

// cachedTokens returns the tokens of the unbroken beginning of a request's prompt that an engine
// is believed to keep, times the chance that they are still there. It changes no state.
func (f *Fleet) cachedTokens(now time.Time, s *Server, r Request) int {
	p, c := f.promptService(r.Service), s.prompts
	if p == nil || c == nil || !s.hasModel(r.Target.Model) {
		return 0
	}
	m, key := p.multiple(now), r.chainStart()
	chances := make([]float64, 0, 8)
	for _, part := range r.Prompt.Parts {
		key = chainKey(key, part)
		list := &c.shared
		if part.Own {
			list = &c.own
		}
		chance := 0.0
		if known := list.parts[key]; known != nil {
			chance = c.chance(now, known, m, !part.Own) * float64(min(known.tokens, part.Tokens)) / float64(max(part.Tokens, 1))
		}
		chances = append(chances, chance)
	}
	// The parts before one that is kept are kept too.
	sum, chance := 0.0, 0.0
	for i := len(chances) - 1; i >= 0; i-- {
		chance = max(chance, chances[i])
		sum += chance * float64(r.Prompt.Parts[i].Tokens)
	}
	return min(int(sum), r.Prompt.Tokens)
}

// CachedTokens is cachedTokens for a server ID; 0 if it is not known.
func (f *Fleet) CachedTokens(now time.Time, id string, r Request) int {
	s := f.servers[id]
	if s == nil {
		return 0
	}
	return f.cachedTokens(now, s, r)
}

// dropPrompts forgets what an engine keeps of a model or adapter that was unloaded.
func (s *Server) dropPrompts(target chestnutstream.ModelAdapter) {
	if s.prompts == nil {
		return
	}
	h := targetHash(target)
	s.prompts.shared.removeTarget(h)
	s.prompts.own.removeTarget(h)
}
