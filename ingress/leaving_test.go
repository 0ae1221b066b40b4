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

func TestPlannedStopRefusesWhatCannotEnd(t *testing.T) {
	t.Parallel()
	var l lasting
	l.note("seen", chestnutstream.Prompt{Output: 100}, 2*time.Second)
	for _, c := range []struct {
		name  string
		leave Leave
		route string
		p     chestnutstream.Prompt
		most  time.Duration
		want  bool
	}{
		{"its deadline comes first", Leave{3 * time.Second, 4600 * time.Millisecond}, "new", chestnutstream.Prompt{}, 4 * time.Second, true},
		{"late, and may last longer than is left", Leave{3 * time.Second, 4600 * time.Millisecond}, "seen", chestnutstream.Prompt{Output: 100}, 15 * time.Second, false},
		{"early, and such answers are short", Leave{time.Second, 6600 * time.Millisecond}, "seen", chestnutstream.Prompt{Output: 100}, 15 * time.Second, true},
		{"early, and such answers are long", Leave{time.Second, 6600 * time.Millisecond}, "seen", chestnutstream.Prompt{Output: 400}, 15 * time.Second, false},
		{"early, and nothing is known", Leave{time.Second, 6600 * time.Millisecond}, "new", chestnutstream.Prompt{}, 15 * time.Second, true},
		{"late, and nothing is known", Leave{3 * time.Second, 4600 * time.Millisecond}, "new", chestnutstream.Prompt{}, 15 * time.Second, false},
		{"late, without a bound of its own", Leave{3 * time.Second, 4600 * time.Millisecond}, "new", chestnutstream.Prompt{}, longestAnswer, false},
	} {
		assert.Equal(t, l.fits(c.leave, c.route, c.p, c.most), c.want, c.name)
	}
}

func TestPlannedStopAnswersAtOnce(t *testing.T) {
	t.Parallel()
	s := newBackend(t, "a", ok)
	f := newFront(t, s)
	f.desk.leave = Leave{Since: 3060 * time.Millisecond, Left: 1500 * time.Millisecond}
	for _, path := range []string{"/ask/1", "/once/1", "/order/1"} {
		resp, _, err := f.ask(t, "POST", path, "")
		assert.NilError(t, err, path)
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable, path)
		assert.Check(t, resp.Header.Get("Retry-After") != "", path)
	}
	assert.Equal(t, s.seen(), 0)
	f.desk.leave = Leave{Since: 3060 * time.Millisecond, Left: 4500 * time.Millisecond}
	resp, _, err := f.ask(t, "POST", "/order/1", "")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK, "an order ends within its time-out")
}

// stopPlay is a planned stop under the streams of a deployment.
type stopPlay struct {
	name     string
	tokens   float64       // of an answer, mean
	most     float64       // and the largest
	perToken time.Duration // on a quiet engine; on a full one twice that
	deadline time.Duration
}

const (
	playGrace   = 8 * time.Second
	playEnd     = 7600 * time.Millisecond // after the signal answers are cut off
	playUntil   = 3200 * time.Millisecond // and so long requests come
	playStops   = 40
	playPerStop = 200
	lateSend    = 3 * time.Second
)

// stream draws one request: what it allows, and how long its answer lasts.
func (p stopPlay) stream(r *rand.Rand) (prompt chestnutstream.Prompt, lasts time.Duration) {
	tokens := min(p.tokens*math.Exp(0.8*r.NormFloat64()-0.32), p.most)
	lasts = time.Duration(tokens * float64(p.perToken) * (1 + r.Float64()))
	return chestnutstream.Prompt{Output: max(int(tokens), 1)}, min(lasts, p.deadline)
}

// The load: a planned stop while the longest streams of each deployment come.
// Before, all that came was taken: what was sent late and lasted long was cut.
func TestPlannedStopCutsNoLateStream(t *testing.T) {
	t.Parallel()
	for _, p := range []stopPlay{
		{"attiki questions", 70, 300, 6 * time.Millisecond, 6 * time.Second},
		{"nz-south later questions", 70, 300, 6 * time.Millisecond, 8 * time.Second},
		{"tejo narratives", 172, 594, 10 * time.Millisecond, 15 * time.Second},
		{"tejo narratives, grown", 170, 594, 10 * time.Millisecond, 15 * time.Second},
		{"attiki substitutions, large", 70, 280, 6 * time.Millisecond, 10 * time.Second},
	} {
		r := rand.New(rand.NewPCG(20261204, 1))
		var l lasting
		for range lastingKept {
			prompt, lasts := p.stream(r)
			l.note("route", prompt, lasts)
		}
		var cutBefore, cutLateBefore, cut, cutLate, needless, fit int
		for range playStops {
			for i := range playPerStop {
				since := playUntil * time.Duration(i) / playPerStop
				prompt, lasts := p.stream(r)
				late, ends := since > lateSend, since+lasts <= playEnd
				if !ends {
					cutBefore++
					if late {
						cutLateBefore++
					}
				}
				if taken := l.fits(Leave{since, playEnd - since}, "route", prompt, p.deadline); taken && !ends {
					cut++
					if late {
						cutLate++
					}
				} else if ends && since < provenAfter {
					fit++
					if !taken {
						needless++
					}
				}
			}
		}
		t.Logf("%s: cut %d (sent late %d), before %d (%d); refused without need in the first %v %d of %d", p.name, cut, cutLate, cutBefore, cutLateBefore, provenAfter, needless, fit)
		assert.Equal(t, cutLate, 0, p.name)
		assert.Check(t, cut*10 <= cutBefore, "%s: %d of %d", p.name, cut, cutBefore)
		assert.Check(t, needless*10 <= fit, "%s: %d of %d", p.name, needless, fit)
	}
	assert.Check(t, playEnd < playGrace)
}
