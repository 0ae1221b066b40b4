package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutstream/chestnutstream"
)

// The load that this answers: prompts of very different sizes. An engine reads
// prompts one after the other, some 30 tokens a millisecond, so a request that
// comes behind two of 9,000 tokens gets its first event half a second later than
// elsewhere, on an engine that the number of its requests shows as idle.

// Figures of the reading of prompts.
const (
	// LargePrompt is the size from which on instances tell one another of a
	// prompt, in tokens: an engine reads it for some 70 ms.
	LargePrompt = 2000
	// readRateFirst is the reading rate that is assumed until answers show it, in
	// tokens a millisecond; it stays between readRateLeast and readRateMost.
	readRateFirst  = 27.0
	readRateLeast  = 1.0
	readRateMost   = 1000.0
	readRateWeight = 0.1                   // of one answer in the moving rate
	firstEvent     = 25 * time.Millisecond // what the first event takes beside the reading
	// waitShare is the share of a request's latency target that it may wait for
	// other prompts while another engine holds its adapter.
	waitShare = 0.25
	// waitDefault is that time where the route names no latency target.
	waitDefault = 150 * time.Millisecond
	// adapterLoad is what an adapter takes to come from the weight store.
	adapterLoad = 300 * time.Millisecond
	// readMost bounds the time that an engine is believed to read: words about
	// prompts are not taken back when a request is refused or its engine restarts.
	readMost = 5 * time.Second
)

// Request is a request for an engine, as far as placement goes by it.
type Request struct {
	Service string
	Target  chestnutstream.ModelAdapter
	Version int // of the adapter; 0: any
	Prompt  chestnutstream.Prompt
	Latency time.Duration // target of the route; 0: none
}

// WaitLimit returns how long a request may wait for other prompts before another
// engine is looked for.
func (r Request) WaitLimit() time.Duration {
	if r.Latency <= 0 {
		return waitDefault
	}
	return time.Duration(waitShare * float64(r.Latency))
}

// rank returns the hash that orders the engines for a request. Any engine with
// the model may run a request for the base model itself, and those with the
// same beginning of the prompt meet at one.
func (r Request) rank() uint64 {
	if r.Target.Adapter == "" {
		return mix(hashOf(r.Target), xxhash.Sum64String(r.Prompt.Shared))
	}
	return hashOf(r.Target)
}

// reader is how fast the engines of a service read prompts.
type reader struct {
	rate float64 // tokens a millisecond, moving
}

func (f *Fleet) reader(service string) *reader {
	r := f.readers[service]
	if r == nil {
		r = &reader{rate: readRateFirst}
		f.readers[service] = r
	}
	return r
}

// ReadRate returns how many prompt tokens an engine of a service reads in a
// millisecond, as far as is known.
func (f *Fleet) ReadRate(service string) float64 { return f.reader(service).rate }

// Busy takes the word that an engine reads other prompts for so long.
func (f *Fleet) Busy(now time.Time, id string, wait time.Duration) {
	if s := f.servers[id]; s != nil {
		s.readUntil = now.Add(min(wait, readMost))
	}
}

// takes returns how long an engine of the service reads a prompt.
func (r *reader) takes(tokens int) time.Duration {
	return time.Duration(float64(tokens) / r.rate * float64(time.Millisecond))
}

// note takes the time to the first event of a large prompt that found nothing
// before it.
func (r *reader) note(tokens int, took time.Duration) {
	if tokens < LargePrompt || took <= firstEvent {
		return
	}
	seen := float64(tokens) / (float64(took-firstEvent) / float64(time.Millisecond))
	r.rate += readRateWeight * (min(max(seen, readRateLeast), readRateMost) - r.rate)
}

// Reading notes that an engine has been sent a large prompt, by this or another
// instance.
func (f *Fleet) Reading(now time.Time, id string, tokens int) {
	s := f.servers[id]
	if s == nil || tokens < LargePrompt {
		return
	}
	from := s.readUntil
	if from.Before(now) {
		from = now
	}
	s.readUntil = from.Add(f.reader(s.Service).takes(tokens))
	if latest := now.Add(readMost); s.readUntil.After(latest) {
		s.readUntil = latest
	}
}

// ReadWait estimates how long a prompt that is sent now waits until an engine
// has read the large ones before it.
func (s *Server) ReadWait(now time.Time) time.Duration {
	return min(max(s.readUntil.Sub(now), 0), readMost)
}

// FirstEvent estimates the time to the first event of a request that is sent to
// an engine now.
func (f *Fleet) FirstEvent(now time.Time, id string, p chestnutstream.Prompt) time.Duration {
	s := f.servers[id]
	if s == nil {
		return 0
	}
	return s.ReadWait(now) + f.reader(s.Service).takes(p.Tokens) + firstEvent
}

// FirstEventTook takes the time to the first event of a request that the
// estimate said would find nothing before it.
func (f *Fleet) FirstEventTook(id string, p chestnutstream.Prompt, took time.Duration) {
	if s := f.servers[id]; s != nil {
		f.reader(s.Service).note(p.Tokens, took)
	}
}
