package permit

import (
	"cmp"
	"time"
)

// Limits of the time to wait for an issuer's response.
const (
	minResponseTimeout = 40 * time.Millisecond
	firstTimeout       = 100 * time.Millisecond // while no issuer has responded yet
	maxResponseTimeout = 250 * time.Millisecond
	maxResponseTime    = time.Second // after which a response counts as lost
)

// ResponseTimes estimates how long issuers take to respond, and from that how long to wait
// for them, as TCP does for acknowledgements. Responses that come later than that count,
// too.
type ResponseTimes struct {
	issuers map[string]*responseTime
	all     *responseTime          // of all issuers; nil: none has responded
	sent    map[uint64]sentRequest // by ID of the request
}

type responseTime struct{ mean, deviation time.Duration }

type sentRequest struct {
	issuer string
	at     time.Time
}

// NewResponseTimes returns an empty record.
func NewResponseTimes() *ResponseTimes {
	return &ResponseTimes{issuers: map[string]*responseTime{}, sent: map[uint64]sentRequest{}}
}

// RecordRequest records that a request is sent to an issuer.
func (r *ResponseTimes) RecordRequest(now time.Time, id uint64, issuer string) {
	r.sent[id] = sentRequest{issuer, now}
}

// RecordResponse records the response to a request and returns the time that it took.
func (r *ResponseTimes) RecordResponse(now time.Time, id uint64) (took time.Duration, ok bool) {
	sent, ok := r.sent[id]
	if !ok {
		return 0, false
	}
	delete(r.sent, id)
	took = now.Sub(sent.at)
	r.issuers[sent.issuer] = r.issuers[sent.issuer].update(took)
	r.all = r.all.update(took)
	return took, true
}

func (t *responseTime) update(took time.Duration) *responseTime {
	if t == nil {
		return &responseTime{mean: took, deviation: took / 2}
	}
	t.deviation += ((t.mean - took).Abs() - t.deviation) / 4
	t.mean += (took - t.mean) / 8
	return t
}

// Expire drops the requests whose responses count as lost.
func (r *ResponseTimes) Expire(now time.Time) {
	for id, sent := range r.sent {
		if now.Sub(sent.at) > maxResponseTime {
			delete(r.sent, id)
		}
	}
}

// Forget drops what is known of an issuer.
func (r *ResponseTimes) Forget(issuer string) { delete(r.issuers, issuer) }

// Mean returns the mean time that an issuer takes to respond, 0 if it is not known.
func (r *ResponseTimes) Mean(issuer string) time.Duration {
	if t := r.issuers[issuer]; t != nil {
		return t.mean
	}
	return 0
}

// Timeout returns how long to wait for an issuer's response. One that has not responded yet
// is taken for one like the others.
func (r *ResponseTimes) Timeout(issuer string) time.Duration {
	t := cmp.Or(r.issuers[issuer], r.all)
	if t == nil {
		return firstTimeout
	}
	return min(max(t.mean+4*t.deviation, minResponseTimeout), maxResponseTimeout)
}
