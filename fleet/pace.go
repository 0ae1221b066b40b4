package fleet

import "time"

// Servers of one service differ in speed, for good and from one moment to the next. On some
// deployments their responses state a pace: how long work takes there now, relative to the
// usual time. It changes many times a second, so a stated pace soon loses its meaning, and the
// mean of what the server has stated is used instead. What the pace does not explain is
// learned from the times that responses take, relative to the other servers of the service.
// Services whose servers never state a pace are served as if all servers were equal.

// Parameters of paces and learned speeds.
const (
	// minPace and maxPace bound a pace in its use. With 4 instead of 3, engines that state a much
	// higher pace than they have lost requests for longer than their responses showed it.
	minPace, maxPace = 0.25, 3.0
	// paceDecay is the time over which the weight of a stated pace against the server's mean
	// falls to zero.
	paceDecay = 400 * time.Millisecond
	// meanTime is the time over which the means of a server's statements form.
	meanTime      = 3 * time.Second
	maxMeanWeight = 0.2 // of one statement in these means
	// minSpeed and maxSpeed bound a learned speed. A stated pace that is wrong by more counts
	// as not stated.
	minSpeed, maxSpeed = 0.4, 2.5
	// minSpeedWeight is the weight of one response in a learned speed; the first ones weigh
	// more, against speedPrior responses at the usual speed.
	minSpeedWeight = 0.05
	speedPrior     = 4
	// serviceWeight is the weight of one response in the means of its service.
	serviceWeight    = 0.02
	maxResponseRatio = 5.0 // by which one response may exceed or undercut the expected time
	// What is known of a server keeps its weight for evidenceTime without a new response and
	// loses it over evidenceDecay, so that a server that seemed slow is tried again.
	evidenceTime  = 10 * time.Second
	evidenceDecay = 30 * time.Second
	// initialServiceTime is the time of a request assumed until responses show it.
	initialServiceTime = 50 * time.Millisecond
	maxCounted         = 1 << 20 // of statements and responses
)

// serverPace is what is known of the time that work takes on a server. All numbers are
// relative: 1 is usual, 2 takes twice as long.
type serverPace struct {
	latest    float64 // as stated; 0: never
	mean      float64 // of what was stated
	stated    int     // number of statements
	at        time.Time
	ratio     float64 // moving average of the time of responses over the one expected at the stated pace
	learned   int     // number of these responses
	learnedAt time.Time
}

// serviceTimes is what is known of a service whose servers have stated a pace.
type serviceTimes struct {
	pace      float64 // moving average of the stated paces
	stated    int
	usual     float64 // moving average of a response's time at pace 1, in milliseconds
	ratio     float64 // moving average of the measured over the expected time to the first event
	responses int
	// Moving averages over all servers of the products of how far pace and load, and load and
	// load, are from the server's means: whether the pace follows the load.
	covariance, variance float64
}

// unstatedTimes is assumed of a service whose servers have stated no pace.
var unstatedTimes = serviceTimes{usual: float64(initialServiceTime) / float64(time.Millisecond), ratio: 1}

// RecordPace records the pace that a server's response states; 0: none. The load that the
// response states is to be recorded before.
func (f *Fleet) RecordPace(now time.Time, id string, pace float64) {
	s := f.servers[id]
	if s == nil || pace <= 0 {
		return
	}
	if s.times == nil {
		t := unstatedTimes
		s.times = &t
		f.times[s.Service] = s.times
		for _, other := range f.services[s.Service] {
			other.times = s.times
		}
	}
	p, t := &s.pace, s.times
	p.latest = min(max(pace, minPace), maxPace)
	p.stated = min(p.stated+1, maxCounted)
	p.mean += max(meanWeight(now.Sub(p.at)), 1/float64(p.stated)) * (p.latest - p.mean)
	p.at = now
	if s.doubtful(now) {
		return
	}
	t.stated = min(t.stated+1, maxCounted)
	t.pace += max(serviceWeight, 1/float64(t.stated)) * (p.latest - t.pace)
	if s.load.at.Equal(now) {
		dp, dl := p.latest-p.mean, min(float64(s.load.total), float64(max(s.Slots, 1)))-s.load.mean
		t.covariance += serviceWeight * (dp*dl - t.covariance)
		t.variance += serviceWeight * (dl*dl - t.variance)
	}
}

// StatesPace reports whether a server of a service has stated a pace.
func (f *Fleet) StatesPace(service string) bool { return f.times[service] != nil }

// meanWeight returns the weight of a statement in a server's means, by the time since the one
// before it.
func meanWeight(since time.Duration) float64 {
	return min(max(float64(since)/float64(meanTime), 0), maxMeanWeight)
}

// paceFollowsLoad returns how far the paces that a service's servers state contain the effect
// of their load: 1 if they rise by at least half of their mean when all of so many slots are in
// use, 0 if they do not change with the load.
func (t *serviceTimes) paceFollowsLoad(slots float64) float64 {
	if t.variance <= 0 || t.pace <= 0 {
		return 0
	}
	return min(max(2*t.covariance/t.variance*slots/t.pace, 0), 1)
}

// evidence returns the weight of what was learned some time ago.
func evidence(age time.Duration) float64 {
	if age <= evidenceTime {
		return 1
	}
	return max(1-float64(age-evidenceTime)/float64(evidenceDecay), 0)
}

// statedPace returns how long work takes on a server now by what it states. A pace stated some
// time ago counts less than the server's mean, which includes its permanent speed; without one
// it is the mean of its service.
func (s *Server) statedPace(now time.Time) float64 {
	age := now.Sub(s.pace.at)
	mean := s.meanPace(age)
	if age >= paceDecay || s.pace.latest == 0 {
		return mean
	}
	return mean + (s.pace.latest-mean)*(1-float64(max(age, 0))/float64(paceDecay))
}

// meanPace returns the mean of the paces that a server has stated, the latest of them some time
// ago.
func (s *Server) meanPace(age time.Duration) float64 {
	if s.pace.latest == 0 {
		return s.times.pace
	}
	return s.times.pace + (s.pace.mean-s.times.pace)*evidence(age)
}

// timeRatio returns the mean of the times of a server's responses over the ones expected at
// its stated pace.
func (s *Server) timeRatio(now time.Time) float64 {
	if s.pace.learned == 0 {
		return 1
	}
	return 1 + (s.pace.ratio-1)*evidence(now.Sub(s.pace.learnedAt))
}

// doubtful reports whether the responses of a server contradict the pace that it states.
func (s *Server) doubtful(now time.Time) bool {
	ratio := s.timeRatio(now)
	return ratio < minSpeed || ratio > maxSpeed
}

// PaceAndSpeed returns how long work takes on a server now by its stated pace, and by what its
// responses show beyond that, both relative to the usual time. Both are 1 if no server of its
// service has stated a pace. A pace that the responses contradict is replaced by the mean of
// the service.
func (s *Server) PaceAndSpeed(now time.Time) (pace, speed float64) {
	if s.times == nil {
		return 1, 1
	}
	ratio := s.timeRatio(now)
	if ratio >= minSpeed && ratio <= maxSpeed {
		return s.statedPace(now), ratio
	}
	return s.times.pace, s.usualTime(now, ratio) / s.times.pace
}

// usualTime returns the time that work takes on a server in the mean, bounded by what the
// service's mean pace and a learned speed allow.
func (s *Server) usualTime(now time.Time, ratio float64) float64 {
	return min(max(ratio*s.meanPace(now.Sub(s.pace.at)), minSpeed*s.times.pace), maxSpeed*s.times.pace)
}

// slowness returns how long work takes on a server now, relative to the usual time.
func (s *Server) slowness(now time.Time) float64 {
	pace, speed := s.PaceAndSpeed(now)
	return pace * speed
}

// learn updates what is known of a server, and the mean of its service, by the time of a
// response in multiples of the expected one at the server's stated pace.
func (s *Server) learn(now time.Time, multiple float64, serviceMean *float64) {
	multiple = min(max(multiple, 1/maxResponseRatio), maxResponseRatio)
	p, t := &s.pace, s.times
	if !s.doubtful(now) {
		t.responses = min(t.responses+1, maxCounted)
		*serviceMean += max(serviceWeight, 1/float64(t.responses)) * (multiple - 1) * *serviceMean
	}
	ratio := s.timeRatio(now)
	p.learned = min(p.learned+1, maxCounted)
	p.ratio = ratio + max(minSpeedWeight, 1/float64(p.learned+speedPrior))*(multiple-ratio)
	p.learnedAt = now
}

// RecordServiceTime records how long a response of a plain service took, and how many requests
// waited for a slot by then. Responses that waited are not left out: a server that states a low
// pace and is swamped would never be found out. The pace that the response states is to be
// recorded before.
func (f *Fleet) RecordServiceTime(now time.Time, id string, took time.Duration, waiting int) {
	s := f.servers[id]
	if s == nil || took <= 0 || s.times == nil {
		return
	}
	wait := 1 + float64(max(waiting, 0))/float64(max(s.Slots, 1))
	s.learn(now, milliseconds(took)/(wait*s.times.usual*s.statedPace(now)), &s.times.usual)
}

// learnFirstEvent learns from the time to the first event of a request to an engine that had
// no prompts before it.
func (f *Fleet) learnFirstEvent(now time.Time, s *Server, tokens int, took time.Duration) {
	if s.times == nil || took <= 0 || tokens <= 0 {
		return
	}
	expected := float64(firstEventOverhead) + float64(f.prefillRate(s.Service).duration(tokens))*s.statedPace(now)
	s.learn(now, float64(took)/(expected*s.times.ratio), &s.times.ratio)
}
