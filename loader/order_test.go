package loader

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// earlierOrder is the order of prefill requests in the release before order.go.
type earlierOrder struct{ t *prefillThrottle }

func (o earlierOrder) inTime(boot time.Duration, r PrefillRequest) bool {
	return boot+o.t.pace.prefillTime(r.Tokens)+50*time.Millisecond <= r.OnTimeUntil
}

func (o earlierOrder) before(boot time.Duration, r, earlier PrefillRequest) bool {
	if x, y := o.inTime(boot, r), o.inTime(boot, earlier); x != y {
		return x
	}
	return r.OnTimeUntil+time.Duration(r.Priority)*150*time.Millisecond < earlier.OnTimeUntil+time.Duration(earlier.Priority)*150*time.Millisecond
}

func (o earlierOrder) next(boot time.Duration) int {
	best := 0
	for i := range o.t.queue {
		if o.before(boot, o.t.queue[i].PrefillRequest, o.t.queue[best].PrefillRequest) {
			best = i
		}
	}
	return best
}

func (o earlierOrder) estimate(boot time.Duration, r PrefillRequest) time.Duration {
	o.t.prune(boot)
	if len(o.t.queue) == 0 && o.t.fits(r.Tokens) {
		return 0
	}
	ahead := o.t.tokensInWindow() + o.t.requiredBudget(r.Tokens) - o.t.pace.budget()
	for _, q := range o.t.queue {
		if !o.before(boot, r, q.PrefillRequest) {
			ahead += q.Tokens
		}
	}
	return o.t.pace.prefillTime(max(ahead, 1))
}

// Guards deployments without workspaces and with one priority against any change of the
// order and of the estimated waits; also those with several priorities while the new order
// is not enabled.
func TestOrderWithoutCompetitionIsUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &Engine{}
		enabled := rapid.Bool().Draw(t, "enabled")
		e.SetPace(Pace{Window: 300 * time.Millisecond, Rate: 20, Share: 0.8, Competing: enabled})
		earlier := earlierOrder{&e.throttle}
		priority := rapid.IntRange(0, 3).Draw(t, "priority")
		now := time.Second
		for id := range uint64(rapid.IntRange(1, 80).Draw(t, "steps")) {
			now += time.Duration(rapid.IntRange(0, 90).Draw(t, "ms")) * time.Millisecond
			e.throttle.grant(now)
			if !enabled {
				priority = rapid.IntRange(0, 3).Draw(t, "priority")
			}
			r := PrefillRequest{
				From: "n", ID: id, Tokens: rapid.IntRange(1, 10000).Draw(t, "tokens"), Priority: priority,
				OnTimeUntil: now + time.Duration(rapid.IntRange(-100, 2000).Draw(t, "on time"))*time.Millisecond,
				UsefulUntil: now + 3*time.Second, MaxWait: 3 * time.Second,
			}
			assert.Equal(t, e.throttle.estimate(now, r), earlier.estimate(now, r))
			e.RequestPrefill(now, r)
			for later := now; e.PrefillsWaiting() > 0 && later < now+time.Second; later += 250 * time.Millisecond {
				assert.Equal(t, e.throttle.next(later), earlier.next(later))
			}
		}
	})
}

// Guards against a large prompt that small urgent ones, which need all that an engine
// prefills, keep waiting until a grant is useless.
func TestLateLargePromptAges(t *testing.T) {
	e := &Engine{}
	e.SetPace(Pace{Window: 300 * time.Millisecond, Rate: 44, Share: 0.8, Competing: true})
	start, granted := 10*time.Second, time.Duration(0)
	for now := time.Duration(0); now < start+3*time.Second; now += 10 * time.Millisecond {
		requests := []PrefillRequest{{From: "n", ID: uint64(now), Tokens: 600, OnTimeUntil: now + 800*time.Millisecond, UsefulUntil: now + time.Second, MaxWait: time.Second}}
		if now == start {
			requests = append(requests, PrefillRequest{From: "n", ID: 1, Tokens: 9190, Priority: 1, OnTimeUntil: now, UsefulUntil: now + 2800*time.Millisecond, MaxWait: 5 * time.Second})
		}
		for _, r := range requests {
			for _, a := range e.RequestPrefill(now, r) {
				if a.PrefillID == 1 {
					assert.Assert(t, a.Kind != RefusePrefill)
				}
				if a.PrefillID == 1 && a.Kind == GrantPrefill {
					granted = now - start
				}
			}
		}
	}
	assert.Assert(t, granted >= 1400*time.Millisecond && granted < 2800*time.Millisecond, "granted after %v", granted)
}
