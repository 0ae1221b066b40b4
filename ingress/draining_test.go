package ingress

import (
	"math"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
)

func TestDrainAdmission(t *testing.T) {
	t.Parallel()
	var h durationHistory
	h.record("seen", chestnutstream.Prompt{MaxOutputTokens: 100}, 2*time.Second)
	for _, c := range []struct {
		name  string
		drain Drain
		route string
		p     chestnutstream.Prompt
		limit time.Duration
		want  bool
	}{
		{"time limit before the cut-off", Drain{3 * time.Second, 4600 * time.Millisecond}, "new", chestnutstream.Prompt{}, 4 * time.Second, true},
		{"late, may exceed the time left", Drain{3 * time.Second, 4600 * time.Millisecond}, "seen", chestnutstream.Prompt{MaxOutputTokens: 100}, 15 * time.Second, false},
		{"early, recorded responses are short", Drain{time.Second, 6600 * time.Millisecond}, "seen", chestnutstream.Prompt{MaxOutputTokens: 100}, 15 * time.Second, true},
		{"early, recorded responses are long", Drain{time.Second, 6600 * time.Millisecond}, "seen", chestnutstream.Prompt{MaxOutputTokens: 400}, 15 * time.Second, false},
		{"early, no recorded response", Drain{time.Second, 6600 * time.Millisecond}, "new", chestnutstream.Prompt{}, 15 * time.Second, true},
		{"late, no recorded response", Drain{3 * time.Second, 4600 * time.Millisecond}, "new", chestnutstream.Prompt{}, 15 * time.Second, false},
		{"late, without a time limit of its own", Drain{3 * time.Second, 4600 * time.Millisecond}, "new", chestnutstream.Prompt{}, maxResponseTime, false},
	} {
		assert.Equal(t, h.endsInTime(c.drain, c.route, c.p, c.limit), c.want, c.name)
	}
}

func TestDrainRejectsRequestsThatCannotEndInTime(t *testing.T) {
	t.Parallel()
	s := newBackend(t, "a", respondOK)
	f := newTestServer(t, s)
	f.dispatcher.drain = Drain{Since: 3060 * time.Millisecond, Remaining: 1500 * time.Millisecond}
	for _, path := range []string{"/ask/1", "/once/1", "/order/1"} {
		resp, _, err := f.send(t, "POST", path, "")
		assert.NilError(t, err, path)
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable, path)
		assert.Check(t, resp.Header.Get("Retry-After") != "", path)
	}
	assert.Equal(t, s.requestCount(), 0)
	f.dispatcher.drain = Drain{Since: 3060 * time.Millisecond, Remaining: 4500 * time.Millisecond}
	resp, _, err := f.send(t, "POST", "/order/1", "")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK, "the request ends within its timeout")
}

// drainSimulation describes the streams of a deployment during a drain.
type drainSimulation struct {
	name      string
	tokens    float64       // mean output tokens of a response
	maxTokens float64       // maximum output tokens
	perToken  time.Duration // on an idle engine; twice that on a saturated one
	deadline  time.Duration
}

const (
	simGracePeriod      = 8 * time.Second
	simCutOff           = 7600 * time.Millisecond // from the signal until responses are cut off
	simArrivals         = 3200 * time.Millisecond // from the signal until the last request arrives
	simDrains           = 40
	simRequestsPerDrain = 200
	simLateAfter        = 3 * time.Second // after the signal: a cut-off response counts as lost
)

// drawRequest draws one request: its maximum of output tokens and the duration of
// its response.
func (p drainSimulation) drawRequest(r *rand.Rand) (prompt chestnutstream.Prompt, duration time.Duration) {
	tokens := min(p.tokens*math.Exp(0.8*r.NormFloat64()-0.32), p.maxTokens)
	duration = time.Duration(tokens * float64(p.perToken) * (1 + r.Float64()))
	return chestnutstream.Prompt{MaxOutputTokens: max(int(tokens), 1)}, min(duration, p.deadline)
}

// Streams that are too long for the rest of a drain were admitted and then cut off.
// The simulation drains an instance under the longest streams of each deployment
// and compares endsInTime with admitting every request.
func TestDrainCutsOffNoLateStream(t *testing.T) {
	t.Parallel()
	for _, p := range []drainSimulation{
		{"attiki questions", 70, 300, 6 * time.Millisecond, 6 * time.Second},
		{"nz-south later questions", 70, 300, 6 * time.Millisecond, 8 * time.Second},
		{"tejo narratives", 172, 594, 10 * time.Millisecond, 15 * time.Second},
		{"tejo narratives, grown", 170, 594, 10 * time.Millisecond, 15 * time.Second},
		{"attiki substitutions, large", 70, 280, 6 * time.Millisecond, 10 * time.Second},
	} {
		r := rand.New(rand.NewPCG(20261204, 1))
		var h durationHistory
		for range durationsPerRoute {
			prompt, duration := p.drawRequest(r)
			h.record("route", prompt, duration)
		}
		var cutWithout, cutLateWithout, cut, cutLate, needlessRejections, endInTime int
		for range simDrains {
			for i := range simRequestsPerDrain {
				since := simArrivals * time.Duration(i) / simRequestsPerDrain
				prompt, duration := p.drawRequest(r)
				late, ends := since > simLateAfter, since+duration <= simCutOff
				if !ends {
					cutWithout++
					if late {
						cutLateWithout++
					}
				}
				if taken := h.endsInTime(Drain{since, simCutOff - since}, "route", prompt, p.deadline); taken && !ends {
					cut++
					if late {
						cutLate++
					}
				} else if ends && since < strictAdmissionAfter {
					endInTime++
					if !taken {
						needlessRejections++
					}
				}
			}
		}
		t.Logf("%s: cut off %d (sent late %d), without admission control %d (%d); rejected needlessly in the first %v %d of %d", p.name, cut, cutLate, cutWithout, cutLateWithout, strictAdmissionAfter, needlessRejections, endInTime)
		assert.Equal(t, cutLate, 0, p.name)
		assert.Check(t, cut*10 <= cutWithout, "%s: %d of %d", p.name, cut, cutWithout)
		assert.Check(t, needlessRejections*10 <= endInTime, "%s: %d of %d", p.name, needlessRejections, endInTime)
	}
	assert.Check(t, simCutOff < simGracePeriod)
}
