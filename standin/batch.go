package standin

import (
	"context"
	"fmt"
	"time"

	"github.com/chestnutstream/chestnutstream/timer"
)

// stepLoop runs the steps of continuous batching: each step generates one token
// for every running request, then queued requests fill the free batch places. It
// returns when no request is running or waiting.
func (e *Engine) stepLoop() {
	for {
		e.mu.Lock()
		e.admit()
		if len(e.running) == 0 && len(e.waiting) == 0 {
			e.stepLoopRunning = false
			e.mu.Unlock()
			return
		}
		e.counts.Steps++
		e.counts.BatchFilled += len(e.running)
		e.counts.BatchPlaces += e.cfg.BatchLimit
		d := e.cfg.Step + time.Duration(e.faults.StepDelayMS)*time.Millisecond
		e.mu.Unlock()
		timer.Sleep(context.Background(), d)
		e.mu.Lock()
		e.step()
		e.mu.Unlock()
	}
}

// admit moves waiting requests into the batch up to BatchLimit, highest priority
// first. Callers hold mu.
func (e *Engine) admit() {
	for len(e.running) < e.cfg.BatchLimit && len(e.waiting) > 0 {
		best := 0
		for i, g := range e.waiting {
			if g.priority > e.waiting[best].priority {
				best = i
			}
		}
		g := e.waiting[best]
		e.waiting = append(e.waiting[:best], e.waiting[best+1:]...)
		g.running = true
		e.running = append(e.running, g)
	}
}

// abandonAfter is how long a stream without readers runs before it is cancelled.
const abandonAfter = 5 * time.Second

// step advances each running request by one prefill step or token, and removes
// finished and abandoned ones. Callers hold mu.
func (e *Engine) step() {
	now := time.Now()
	for _, g := range e.running {
		if g.prefillSteps > 0 {
			g.prefillSteps--
			continue
		}
		g.tokens = append(g.tokens, fmt.Sprintf("%s#%d ", g.weights, len(g.tokens)))
		e.counts.TokensGenerated++
		if len(g.tokens) >= g.limit {
			e.counts.Finished++
			e.finish(g, false)
			continue
		}
		if g.readers == 0 && now.Sub(g.lastRead) > abandonAfter {
			e.counts.Cancelled++
			e.finish(g, true)
			continue
		}
		notifyReaders(g)
	}
	e.removeMatching(func(g *generation) bool { return g.done || g.broken })
	for id, g := range e.generations {
		if (g.done || g.broken) && g.readers == 0 && now.Sub(g.lastRead) > 6*abandonAfter {
			delete(e.generations, id)
		}
	}
}
