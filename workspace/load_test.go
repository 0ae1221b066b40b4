package workspace

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
)

const (
	loadInstances  = 61
	callerRate     = 0.5              // requests per second and caller
	callerStay     = 10 * time.Second // mean time that a caller stays with an instance
	loadStep       = 100 * time.Millisecond
	meanCost       = 0.693*650 + 0.017*9190 + 0.29*200 // of tokenCost
	loadSeeds      = 3
	largeCost      = 9190                   // tokens; requests of at least this are counted apart
	connectTime    = 500 * time.Millisecond // in which the connections are established after a restart of all
	refusedAllowed = 0.01                   // of the requests of a workspace at 0.55 of its limit or less
	restartAllowed = 0.05                   // of the requests from one second after a restart of all on
	usedWanted     = 0.9                    // of a limit that is exceeded
)

// workspaceLimits are limits, in tokens per second, of the largest, a middle and the smallest of 16
// workspaces that have 840 requests per second together.
var workspaceLimits = []struct {
	name      string
	perSecond float64
}{{"largest", 360000}, {"middle", 43000}, {"smallest", 29000}}

// tokenCost draws the cost of a request.
func tokenCost(rng *rand.Rand) float64 {
	logNormal := func(mean float64) float64 { return mean * math.Exp(0.9*rng.NormFloat64()-0.9*0.9/2) }
	switch kind := rng.Float64(); {
	case kind < 0.017:
		return min(logNormal(9190), 57000)
	case kind < 0.307:
		return 200
	}
	return min(logNormal(650), 57000)
}

// callers send the requests of a workspace, each to one instance for some time.
type callers struct {
	s     *simulation
	rng   *rand.Rand
	at    []int
	rate  float64 // of each
	burst time.Duration
}

func newCallers(s *simulation, demand float64) *callers {
	rate := demand * s.quota.PerSecond / meanCost
	c := &callers{s: s, rng: rand.New(rand.NewPCG(s.rng.Uint64(), 13)), at: make([]int, int(math.Ceil(rate/callerRate)))}
	c.rate = rate / float64(len(c.at))
	for i := range c.at {
		c.at[i] = c.rng.IntN(len(s.nodes))
	}
	for _, node := range s.nodes {
		node.cost = func() float64 { return tokenCost(c.rng) }
	}
	return c
}

// run plays a time with waves of 0.27 of the mean, a period of 11 s, and bursts of twice
// the mean for a second, each ten seconds on average.
func (c *callers) run(d time.Duration) {
	for end := c.s.now + d; c.s.now < end; c.s.run(loadStep) {
		factor := 1 + 0.27*math.Sin(2*math.Pi*c.s.now.Seconds()/11)
		if c.s.now < c.burst {
			factor = 2
		} else if c.rng.Float64() < loadStep.Seconds()/10 {
			c.burst = c.s.now + time.Second
		}
		for _, node := range c.s.nodes {
			node.rate = 0
		}
		for i, at := range c.at {
			if c.rng.Float64() < loadStep.Seconds()/callerStay.Seconds() {
				c.at[i] = c.rng.IntN(len(c.s.nodes))
			}
			c.s.nodes[at].rate += c.rate * factor
		}
	}
}

func newLoad(perSecond float64, seed uint64) *simulation {
	quota := chestnutstream.Quota{Unit: chestnutstream.QuotaTokens, PerSecond: perSecond, Burst: perSecond}
	return newSimulation(loadInstances, seed, quota, Settings{Window: testWindow, Slack: 110000, Overshoot: 0.1})
}

// refusals counts the requests that arrived from a time on.
type refusals struct {
	all, below          float64 // all requests, and those refused although there was room in the window before
	large, largeRefused float64 // of at least largeCost
}

// add counts the requests of a play.
func (c *refusals) add(s *simulation, from time.Duration) {
	for _, r := range s.passed {
		if r.at >= from.Seconds() {
			c.all++
			if r.cost >= largeCost {
				c.large++
			}
		}
	}
	limit, used, first, next := s.quota.PerSecond*testWindow.Seconds()+s.quota.Burst, 0.0, 0, 0
	for _, r := range s.refused {
		if r.at < from.Seconds() {
			continue
		}
		c.all++
		if r.cost >= largeCost {
			c.large++
			c.largeRefused++
		}
		end := r.at + simWait.Seconds()
		for ; next < len(s.passed) && s.passed[next].at <= end; next++ {
			used += s.passed[next].cost
		}
		for ; first < next && s.passed[first].at <= end-testWindow.Seconds(); first++ {
			used -= s.passed[first].cost
		}
		if used+r.cost <= limit {
			c.below++
		}
	}
}

// Guards against requests refused below the limit, of workspaces whose callers are spread over
// many instances, with costs of very different size.
func TestRequestsBelowTheLimitAreServed(t *testing.T) {
	for _, w := range workspaceLimits {
		for _, demand := range []float64{0.3, 0.55, 0.8, 1} {
			var count refusals
			messages := 0.0
			for seed := range uint64(loadSeeds) {
				s := newLoad(w.perSecond, seed)
				c := newCallers(s, demand)
				c.run(10 * time.Second)
				from, sent := s.now, s.sent
				c.run(30 * time.Second)
				count.add(s, from)
				messages += float64(s.sent-sent) / 30 / loadSeeds
				assert.Check(t, s.largestWindow(testWindow) <= bound(s.quota, s.cfg))
			}
			refused := count.below / count.all
			t.Logf("%s at %.2f of its limit: %.4f refused below it, %.3f of %.0f large ones, %.0f messages per second", w.name, demand, refused, count.largeRefused/count.large, count.large, messages)
			assert.Check(t, demand > 0.55 || refused <= refusedAllowed, "%s at %.2f: %.4f refused", w.name, demand, refused)
		}
	}
}

// Guards against a limit of which a part is held by instances that don't use it while others
// refuse requests.
func TestExceededLimitIsUsed(t *testing.T) {
	for _, w := range workspaceLimits {
		for _, demand := range []float64{1.5, 5} {
			used, messages := 0.0, 0.0
			for seed := range uint64(2) {
				s := newLoad(w.perSecond, seed)
				c := newCallers(s, demand)
				c.run(10 * time.Second)
				from, sent := s.now, s.sent
				c.run(20 * time.Second)
				for _, r := range s.passed {
					if r.at >= from.Seconds() {
						used += r.cost / w.perSecond / 20 / 2
					}
				}
				messages += float64(s.sent-sent) / 20 / 2
				assert.Check(t, s.largestWindow(testWindow) <= bound(s.quota, s.cfg))
			}
			t.Logf("%s at %.2f of its limit: %.3f of it used, %.0f messages per second", w.name, demand, used, messages)
			assert.Check(t, used >= usedWanted, "%s at %.2f: %.3f used", w.name, demand, used)
		}
	}
}

// Guards against requests refused for seconds after all instances restarted at the same time,
// while their connections are established one after the other.
func TestRestartOfAllIsShort(t *testing.T) {
	for _, w := range workspaceLimits {
		var refused [6]float64 // by half second after the restart
		for seed := range uint64(loadSeeds) {
			s := newLoad(w.perSecond, seed)
			c := newCallers(s, 1/1.8)
			c.run(10 * time.Second)
			s.restartAll(connectTime)
			from := s.now
			c.run(3*time.Second + 2*simWait)
			for i := range refused {
				at := from + time.Duration(i)*500*time.Millisecond
				refused[i] += s.refusedBetween(at, at+500*time.Millisecond) / loadSeeds
			}
			assert.Check(t, s.largestWindow(testWindow) <= bound(s.quota, s.cfg))
		}
		t.Logf("%s: refused by half second after the restart: %.3f", w.name, refused)
		later := (refused[2] + refused[3] + refused[4] + refused[5]) / 4
		assert.Check(t, later <= restartAllowed, "%s: %.3f refused from a second after the restart on", w.name, later)
	}
}
