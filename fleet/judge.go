package fleet

import "time"

// Outcome is what became of a request at a server, as far as it tells of the
// server.
type Outcome string

// The outcomes. Refused is a server's word that it is full or lacks what was
// asked for: no fault.
const (
	Answered    Outcome = "answered"
	Failed      Outcome = "failed"      // an error of the server's own, a broken or foreign answer, a reset
	Unreachable Outcome = "unreachable" // no connection was had
	Silent      Outcome = "silent"      // no answer in time
	Refused     Outcome = "refused"
)

// Figures of the judgement by outcomes.
const (
	failureWeight = 0.2                    // of one outcome in the moving share of failures
	failureFade   = 4 * time.Second        // in which the share falls to a third without outcomes
	badShare      = 0.55                   // from this share on a server gets only trials
	firstPause    = 150 * time.Millisecond // after a failed connection; doubles up to longestPause
	longestPause  = 1500 * time.Millisecond
	trialPause    = 250 * time.Millisecond // between trials of a server that fails its work
	latencyWeight = 0.15                   // of one answer in the moving latency
	unreached     = 2                      // failed connections in a row before a server is paused
	zoneUnreached = 4                      // and before an availability zone is
)

// judge keeps what the outcomes of requests say of a server. Its liveness check
// is not asked: it may be false either way.
type judge struct {
	share    float64 // moving share of failures
	at       time.Time
	patience int // failed connections in a row before a pause; 0: unreached
	refused  int // connections that failed, in a row
	pausedTo time.Time
	trialAt  time.Time
	latency  time.Duration // moving time to an answer
}

func (j *judge) note(now time.Time, o Outcome, took time.Duration) {
	if o == Refused {
		return
	}
	j.fade(now)
	if o == Answered {
		j.share -= j.share * failureWeight
		j.refused, j.pausedTo = 0, time.Time{}
		if j.latency == 0 {
			j.latency = took
		}
		j.latency += time.Duration(latencyWeight * float64(took-j.latency))
		return
	}
	j.share += (1 - j.share) * failureWeight
	if o != Unreachable {
		return
	}
	j.refused++
	if j.refused >= j.limit() {
		j.pausedTo = now.Add(j.pause())
	}
}

func (j *judge) limit() int {
	if j.patience > 0 {
		return j.patience
	}
	return unreached
}

// fade lets the share of failures fall while nothing is heard.
func (j *judge) fade(now time.Time) {
	if !j.at.IsZero() {
		j.share /= 1 + 2*float64(now.Sub(j.at))/float64(failureFade)
	}
	j.at = now
}

// failing returns the share of failures as of now.
func (j *judge) failing(now time.Time) float64 {
	if j.at.IsZero() {
		return 0
	}
	return j.share / (1 + 2*float64(now.Sub(j.at))/float64(failureFade))
}

// reachable reports whether a connection may be tried now: always while the
// last ones came about, and one after each pause while they did not.
func (j *judge) reachable(now time.Time) bool { return !now.Before(j.pausedTo) }

// open reports whether the server may get a request now: always while it is
// good, and one trial after a pause while it is not.
func (j *judge) open(now time.Time) bool {
	return j.reachable(now) && (j.failing(now) < badShare || now.Sub(j.trialAt) >= trialPause)
}

// chosen notes that the server gets a request.
func (j *judge) chosen(now time.Time) {
	j.trialAt = now
	if j.refused >= j.limit() {
		j.pausedTo = now.Add(j.pause())
	}
}

// pause returns how long a server is left alone after a connection to it failed
// again.
func (j *judge) pause() time.Duration {
	return min(firstPause<<min(j.refused-j.limit(), 6), longestPause)
}
