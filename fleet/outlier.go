package fleet

import "time"

// Outcome is the outcome of a request to a server, as evidence of the server's
// health.
type Outcome string

// The outcomes. Refused means that the server is full or lacks what the request
// needs; it does not count as a failure, nor does Inconclusive.
const (
	Responded    Outcome = "answered"
	Failed       Outcome = "failed"      // the server's own error, a broken or foreign response, a connection reset
	Unreachable  Outcome = "unreachable" // no connection could be established
	Unresponsive Outcome = "silent"      // no response within the timeout
	Refused      Outcome = "refused"
	Inconclusive Outcome = "inconclusive" // the response to another request came first, or the connection was closed before the request
)

// Parameters of outlier detection.
const (
	failureWeight          = 0.2                    // of one outcome in the moving failure rate
	failureDecay           = 4 * time.Second        // in which the failure rate falls to a third without outcomes
	failureRateThreshold   = 0.55                   // from this rate on a server gets only probe requests
	initialBackoff         = 150 * time.Millisecond // after a failed connection; doubles up to maxBackoff
	maxBackoff             = 1500 * time.Millisecond
	probeInterval          = 250 * time.Millisecond // between probe requests to a failing server
	latencyWeight          = 0.15                   // of one response in the moving latency
	defaultMaxConnFailures = 2                      // consecutive failed connections before a server is backed off
	maxZoneConnFailures    = 4                      // the same for an availability zone
	// A server that has responded within slowEvidence, and takes at least slowServer times as
	// long as usual, exceeds timeouts because it is slow rather than because it fails.
	slowEvidence = time.Second
	slowServer   = 1.5
)

// outlierDetector tracks the health of a server by the outcomes of requests. The
// server's liveness check is not used: it may be wrong either way.
type outlierDetector struct {
	failureRate     float64 // moving average, as of updatedAt
	updatedAt       time.Time
	maxConnFailures int // consecutive failed connections before a backoff; 0: defaultMaxConnFailures
	connFailures    int // consecutive failed connections
	dialFailures    int // the same, not reset by a response on a connection that was open before
	backoffUntil    time.Time
	pickedAt        time.Time
	latency         time.Duration // moving average of the time to a response
}

// failureWeight returns the weight of an outcome in the failure rate of its server. A timeout
// of a slow server counts less, by the server's slowness, but does count: a server that
// freezes while slow is found by several of them.
func (s *Server) failureWeight(now time.Time, o Outcome) float64 {
	if o != Unresponsive || (now.Sub(s.pace.at) > slowEvidence && now.Sub(s.pace.learnedAt) > slowEvidence) {
		return failureWeight
	}
	if slowness := s.slowness(now); slowness >= slowServer {
		return failureWeight / slowness
	}
	return failureWeight
}

// record records the outcome of a request.
func (d *outlierDetector) record(now time.Time, o Outcome, took time.Duration) {
	d.recordWeighted(now, o, took, failureWeight)
}

// recordWeighted records the outcome of a request. weight is that of a failure.
func (d *outlierDetector) recordWeighted(now time.Time, o Outcome, took time.Duration, weight float64) {
	if o == Refused || o == Inconclusive {
		return
	}
	d.decay(now)
	if o == Responded {
		d.failureRate -= d.failureRate * failureWeight
		d.connFailures, d.backoffUntil = 0, time.Time{}
		if d.latency == 0 {
			d.latency = took
		}
		d.latency += time.Duration(latencyWeight * float64(took-d.latency))
		return
	}
	d.failureRate += (1 - d.failureRate) * weight
	if o != Unreachable {
		return
	}
	d.connFailures++
	d.dialFailures++
	if d.connFailures >= d.connFailureLimit() {
		d.backoffUntil = now.Add(d.backoff())
	}
}

func (d *outlierDetector) connFailureLimit() int {
	if d.maxConnFailures > 0 {
		return d.maxConnFailures
	}
	return defaultMaxConnFailures
}

// decay lowers the failure rate by the time since the latest outcome.
func (d *outlierDetector) decay(now time.Time) {
	if !d.updatedAt.IsZero() {
		d.failureRate /= 1 + 2*float64(now.Sub(d.updatedAt))/float64(failureDecay)
	}
	d.updatedAt = now
}

// currentFailureRate returns the failure rate, decayed to now.
func (d *outlierDetector) currentFailureRate(now time.Time) float64 {
	if d.updatedAt.IsZero() {
		return 0
	}
	return d.failureRate / (1 + 2*float64(now.Sub(d.updatedAt))/float64(failureDecay))
}

// reachable reports whether a connection may be tried now: always while
// connections succeed, otherwise one after each backoff.
func (d *outlierDetector) reachable(now time.Time) bool { return !now.Before(d.backoffUntil) }

// admits reports whether the server may get a request now: always while it is
// healthy, otherwise one probe request per probeInterval.
func (d *outlierDetector) admits(now time.Time) bool {
	return d.reachable(now) && (d.currentFailureRate(now) < failureRateThreshold || now.Sub(d.pickedAt) >= probeInterval)
}

// recordPick records that the server was chosen for a request. A server whose
// connections fail backs off again, so that no second connection is tried
// meanwhile.
func (d *outlierDetector) recordPick(now time.Time) {
	d.pickedAt = now
	if d.connFailures >= d.connFailureLimit() {
		d.backoffUntil = now.Add(d.backoff())
	}
}

// backoff returns how long no connection is tried after another one failed.
func (d *outlierDetector) backoff() time.Duration {
	return min(initialBackoff<<min(d.connFailures-d.connFailureLimit(), 6), maxBackoff)
}
