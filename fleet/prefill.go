package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutstream/chestnutstream"
)

// Prompts differ greatly in size. An engine prefills prompts one after the other,
// at some 30 tokens a millisecond: a request behind two prompts of 9,000 tokens
// gets its first event half a second later than elsewhere, on an engine that
// appears idle by its number of requests. Placement therefore tracks the prefill
// backlog of each engine.

// Parameters of prefill estimates.
const (
	// LargePrompt is the size in tokens from which on instances notify one another
	// of a prompt. An engine prefills such a prompt for some 70 ms.
	LargePrompt = 2000
	// initialTokensPerMS is the prefill rate assumed until responses show it. The
	// estimate stays between minTokensPerMS and maxTokensPerMS.
	initialTokensPerMS = 27.0
	minTokensPerMS     = 1.0
	maxTokensPerMS     = 1000.0
	prefillRateWeight  = 0.1                   // of one response in the moving average
	firstEventOverhead = 25 * time.Millisecond // time to the first event besides the prefill
	// prefillWaitShare is the share of a request's latency target that it may wait
	// for other prompts while another engine has its adapter loaded.
	prefillWaitShare = 0.25
	// defaultPrefillWait is that time where the route names no latency target.
	defaultPrefillWait = 150 * time.Millisecond
	// adapterLoadTime is how long an adapter takes to load from the weight store.
	adapterLoadTime = 300 * time.Millisecond
	// maxPrefillWait bounds the estimated prefill backlog of an engine: notices of
	// prompts are not withdrawn when a request is refused or its engine restarts.
	maxPrefillWait = 5 * time.Second
)

// Request is a request for an engine, with what placement depends on.
type Request struct {
	Service string
	Target  chestnutstream.ModelAdapter
	Version int // of the adapter; 0: any
	Prompt  chestnutstream.Prompt
	Latency time.Duration // latency target of the route; 0: none
}

// WaitLimit returns how long a request may wait for the prefill of other prompts
// before another engine is preferred.
func (r Request) WaitLimit() time.Duration {
	if r.Latency <= 0 {
		return defaultPrefillWait
	}
	return time.Duration(prefillWaitShare * float64(r.Latency))
}

// placementHash returns the hash that orders the engines for a request. Any
// engine with the model may run a request for the base model itself; requests
// with the same beginning of the prompt go to the same engine.
func (r Request) placementHash() uint64 {
	if r.Target.Adapter == "" {
		return mix(targetHash(r.Target), xxhash.Sum64String(r.Prompt.SharedParts))
	}
	return targetHash(r.Target)
}

// prefillRate is the estimated prefill rate of the engines of a service, at the usual pace
// where they state one.
type prefillRate struct {
	tokensPerMS float64 // moving average
}

func (f *Fleet) prefillRate(service string) *prefillRate {
	r := f.prefill[service]
	if r == nil {
		r = &prefillRate{tokensPerMS: initialTokensPerMS}
		f.prefill[service] = r
	}
	return r
}

// PrefillRate returns the estimated prefill rate of an engine now, in tokens a millisecond.
func (f *Fleet) PrefillRate(now time.Time, id string) float64 {
	s := f.servers[id]
	if s == nil {
		return initialTokensPerMS
	}
	return f.prefillRate(s.Service).tokensPerMS / s.slowness(now)
}

// SetPrefillWait records that an engine prefills other prompts for the duration wait.
func (f *Fleet) SetPrefillWait(now time.Time, id string, wait time.Duration) {
	if s := f.servers[id]; s != nil {
		s.prefillUntil = now.Add(min(wait, maxPrefillWait))
	}
}

// duration returns how long the usual engine of the service takes to prefill a prompt.
func (r *prefillRate) duration(tokens int) time.Duration {
	return time.Duration(float64(tokens) / r.tokensPerMS * float64(time.Millisecond))
}

// record updates the rate by the time to the first event of a large prompt that
// did not wait for others, on an engine of the given pace.
func (r *prefillRate) record(tokens int, took time.Duration, pace float64) {
	if tokens < LargePrompt || took <= firstEventOverhead {
		return
	}
	measured := pace * float64(tokens) / (float64(took-firstEventOverhead) / float64(time.Millisecond))
	r.tokensPerMS += prefillRateWeight * (min(max(measured, minTokensPerMS), maxTokensPerMS) - r.tokensPerMS)
}

// RecordPrefill records that this or another instance has sent a prompt to an engine.
// Prompts below LargePrompt are ignored.
func (f *Fleet) RecordPrefill(now time.Time, id string, tokens int) {
	s := f.servers[id]
	if s == nil || tokens < LargePrompt {
		return
	}
	from := s.prefillUntil
	if from.Before(now) {
		from = now
	}
	s.prefillUntil = from.Add(f.prefillTime(now, s, tokens))
	if latest := now.Add(maxPrefillWait); s.prefillUntil.After(latest) {
		s.prefillUntil = latest
	}
}

// prefillTime estimates how long an engine takes to prefill a prompt now.
func (f *Fleet) prefillTime(now time.Time, s *Server, tokens int) time.Duration {
	return time.Duration(s.slowness(now) * float64(f.prefillRate(s.Service).duration(tokens)))
}

// PrefillWait estimates how long a prompt sent now waits until the engine has
// prefilled the large prompts before it.
func (s *Server) PrefillWait(now time.Time) time.Duration {
	return min(max(s.prefillUntil.Sub(now), 0), maxPrefillWait)
}

// EstimateFirstEvent estimates the time to the first event of a request sent to
// an engine now, which has to prefill a number of tokens of its prompt.
func (f *Fleet) EstimateFirstEvent(now time.Time, id string, tokens int) time.Duration {
	s := f.servers[id]
	if s == nil {
		return 0
	}
	return s.PrefillWait(now) + f.prefillTime(now, s, tokens) + firstEventOverhead
}

// RecordFirstEvent records the time to the first event of a request that, by the
// estimate, had no prompts before it. The pace that the response states is to be recorded
// before.
func (f *Fleet) RecordFirstEvent(now time.Time, id string, p chestnutstream.Prompt, took time.Duration) {
	s := f.servers[id]
	if s == nil {
		return
	}
	f.learnFirstEvent(now, s, p.Tokens, took)
	pace, _ := s.PaceAndSpeed(now)
	f.prefillRate(s.Service).record(p.Tokens, took, pace)
}
