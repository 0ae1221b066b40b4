package loader

import (
	"sort"
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// Prefill admission limits the rate at which all instances together send prompts
// to one engine. An engine processes a part of a prompt in each step; while it
// does so in consecutive steps, its running streams stall, as one event covers
// several steps. If prompts are sent at a rate that leaves some steps free, the
// same prompts are processed in nearly the same time and no stream is late
// because of its stalls.

// PrefillRequest is a request to send a prompt to an engine when it may prefill it.
type PrefillRequest struct {
	From        string // name of the requesting instance
	ID          uint64 // chosen by that instance
	Target      chestnutstream.ModelAdapter
	Tokens      int
	Priority    int           // 0 is the most urgent
	OnTimeUntil time.Duration // boot time until which a response is on time
	UsefulUntil time.Duration // boot time after which a grant is useless
	MaxWait     time.Duration // longest accepted wait; beyond it the instance tries another engine

	Workspace    string // "": none
	OutputTokens int    // maximum output tokens; 0: unknown
}

// Limits of prefill admission.
const (
	// firstEventSlack is added to the prefill time of a prompt when estimating
	// whether its response can still be on time.
	firstEventSlack = 50 * time.Millisecond
	// largePromptShare is the share of the budget that has to be free for large prompts.
	largePromptShare = 0.5
	// priorityStep is the head start of a prefill request over one of the next
	// lower priority. With a larger step, requests of low priority would starve.
	priorityStep = 150 * time.Millisecond
)

// Pace limits how fast prompts may be sent to an engine.
type Pace struct {
	Window time.Duration // longest acceptable stall of the engine's streams; 0 disables the limit
	Rate   float64       // prompt tokens that the engine processes per millisecond
	Share  float64       // share of the window that prefill may use
	// Competing is set where requests of several workspaces or priorities compete, as
	// described in order.go.
	Competing bool
}

// budget returns how many prompt tokens may be sent in a window.
func (p Pace) budget() int { return int(p.Share * p.Rate * float64(p.Window.Milliseconds())) }

// prefillTime returns how long a prompt delays the ones behind it.
func (p Pace) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / max(p.Share*p.Rate, 1) * float64(time.Millisecond))
}

// prefillThrottle holds the prompts sent to an engine recently and the prefill
// requests that wait.
type prefillThrottle struct {
	pace  Pace
	sent  []sentPrompt     // within the window, in order of time
	queue []waitingPrefill // in order of arrival
	order prefillOrder
}

type sentPrompt struct {
	at     time.Duration
	tokens int
}

// SetPace sets the rate limit of the engine's prompts.
func (e *Engine) SetPace(p Pace) { e.throttle.pace = p }

// RequestPrefill handles a prefill request. The returned actions include its response:
// a grant, the estimated wait until one, or a refusal if that is too long.
func (e *Engine) RequestPrefill(boot time.Duration, r PrefillRequest) []Action {
	t := &e.throttle
	wait := t.estimate(boot, r)
	if wait > r.MaxWait || boot+wait > r.UsefulUntil {
		t.recordRefusal(boot, r)
		return []Action{prefillAction(RefusePrefill, r, wait)}
	}
	t.queue = append(t.queue, waitingPrefill{r, boot})
	actions := t.grant(boot)
	for _, g := range actions {
		if g.To[0] == r.From && g.PrefillID == r.ID {
			return actions
		}
	}
	return append(actions, prefillAction(DeferPrefill, r, wait))
}

// CancelPrefill removes a prefill request whose request has ended.
func (e *Engine) CancelPrefill(from string, id uint64) {
	for i, r := range e.throttle.queue {
		if r.From == from && r.ID == id {
			e.throttle.queue = append(e.throttle.queue[:i], e.throttle.queue[i+1:]...)
			return
		}
	}
}

// GrantAllPrefills grants all waiting prefill requests, because the engine's owner stops
// granting any.
func (e *Engine) GrantAllPrefills() []Action {
	var actions []Action
	for _, r := range e.throttle.queue {
		actions = append(actions, prefillAction(GrantPrefill, r.PrefillRequest, 0))
	}
	e.throttle.queue = nil
	return actions
}

// PrefillsWaiting returns the number of waiting prefill requests.
func (e *Engine) PrefillsWaiting() int { return len(e.throttle.queue) }

// waitsFor reports whether a waiting prefill request needs an adapter.
func (t *prefillThrottle) waitsFor(target chestnutstream.ModelAdapter) bool {
	for _, r := range t.queue {
		if r.Target == target {
			return true
		}
	}
	return false
}

// prefillAction returns the response to a prefill request. wait is the estimated
// time until a grant, or how long the engine still processes the prompts sent
// before.
func prefillAction(kind ActionKind, r PrefillRequest, wait time.Duration) Action {
	return Action{Kind: kind, To: []string{r.From}, Target: r.Target, PrefillID: r.ID, RetryAfter: wait}
}

// grant grants the prefill requests that are due, and refuses those whose
// UsefulUntil has passed.
func (t *prefillThrottle) grant(boot time.Duration) []Action {
	var actions []Action
	for i := 0; i < len(t.queue); {
		if r := t.queue[i]; boot > r.UsefulUntil {
			t.queue = append(t.queue[:i], t.queue[i+1:]...)
			t.recordRefusal(boot, r.PrefillRequest)
			actions = append(actions, prefillAction(RefusePrefill, r.PrefillRequest, t.pace.Window))
			continue
		}
		i++
	}
	t.prune(boot)
	for len(t.queue) > 0 {
		i := t.next(boot)
		r := t.queue[i]
		if !t.fits(r.Tokens) {
			break
		}
		t.queue = append(t.queue[:i], t.queue[i+1:]...)
		t.recordGrant(boot, r)
		actions = append(actions, prefillAction(GrantPrefill, r.PrefillRequest, t.pace.prefillTime(t.tokensInWindow())))
		t.sent = append(t.sent, sentPrompt{boot, t.charge(r.Tokens)})
	}
	return actions
}

// prune drops the prompts that were sent before the window.
func (t *prefillThrottle) prune(boot time.Duration) {
	i := sort.Search(len(t.sent), func(i int) bool { return boot-t.sent[i].at < t.pace.Window })
	t.sent = t.sent[i:]
}

// tokensInWindow returns the prompt tokens that were sent within the window.
func (t *prefillThrottle) tokensInWindow() int {
	n := 0
	for _, s := range t.sent {
		n += s.tokens
	}
	return n
}

// fits reports whether a prompt may be sent now.
func (t *prefillThrottle) fits(tokens int) bool {
	return t.pace.Window <= 0 || len(t.sent) == 0 || t.tokensInWindow()+t.requiredBudget(tokens) <= t.pace.budget()
}

// charge returns how many tokens of the window's budget a prompt uses.
func (t *prefillThrottle) charge(tokens int) int { return min(tokens, t.pace.budget()) }

// requiredBudget returns how many tokens of the budget have to be free for a
// prompt. A prompt over the budget stalls the streams whenever it is processed,
// so it does not wait for an empty window. Where requests compete, nor does a large one while
// few others wait: small ones that are sent at once keep the window from getting as empty, and it
// waited until it was late and then, as a late one, for half of its useful time.
func (t *prefillThrottle) requiredBudget(tokens int) int {
	budget := t.pace.budget()
	most := int(largePromptShare * float64(budget))
	if tokens > budget || t.pace.Competing && tokens > most && !t.scarce() {
		return most
	}
	return tokens
}

// scarce reports whether the waiting requests need more than one budget. With as many, at 1.4
// times the load that fits, large prompts displaced the others.
func (t *prefillThrottle) scarce() bool {
	left := t.pace.budget()
	for _, r := range t.queue {
		if left -= r.Tokens; left < 0 {
			return true
		}
	}
	return false
}

// next returns the index of the prefill request to grant next: those that can
// still be on time first, then by on-time limit and priority. order.go has the order where
// requests compete.
func (t *prefillThrottle) next(boot time.Duration) int {
	if t.pace.Competing && competing(t.queue) {
		return t.nextCompeting(boot)
	}
	best := 0
	for i := range t.queue {
		if t.before(boot, t.queue[i].PrefillRequest, t.queue[best].PrefillRequest) {
			best = i
		}
	}
	return best
}

// before reports whether a prefill request is granted before an earlier one.
func (t *prefillThrottle) before(boot time.Duration, r, earlier PrefillRequest) bool {
	if x, y := t.inTime(boot, r), t.inTime(boot, earlier); x != y {
		return x
	}
	return rank(r) < rank(earlier)
}

// rank returns the on-time limit of a request, later for those of lower priority.
func rank(r PrefillRequest) time.Duration {
	return r.OnTimeUntil + time.Duration(r.Priority)*priorityStep
}

// inTime reports whether the response to a request that is granted now can be on
// time.
func (t *prefillThrottle) inTime(boot time.Duration, r PrefillRequest) bool {
	return boot+t.pace.prefillTime(r.Tokens)+firstEventSlack <= r.OnTimeUntil
}

// estimate returns the expected wait of a new prefill request.
func (t *prefillThrottle) estimate(boot time.Duration, r PrefillRequest) time.Duration {
	t.prune(boot)
	if len(t.queue) == 0 && t.fits(r.Tokens) {
		return 0
	}
	ahead := t.tokensInWindow() + t.requiredBudget(r.Tokens) - t.pace.budget() + t.tokensAhead(boot, r)
	return t.pace.prefillTime(max(ahead, 1))
}

// nextAt returns when the next grant may be due without a further event.
func (t *prefillThrottle) nextAt(boot time.Duration) (at time.Duration, ok bool) {
	if len(t.queue) == 0 {
		return 0, false
	}
	need := t.tokensInWindow() + t.requiredBudget(t.queue[t.next(boot)].Tokens) - t.pace.budget()
	for _, s := range t.sent {
		at, need = s.at+t.pace.Window, need-s.tokens
		if need <= 0 {
			break
		}
	}
	return max(at, boot), true
}
