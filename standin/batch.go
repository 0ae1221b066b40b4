package standin

import (
	"context"
	"fmt"
	"time"

	"github.com/chestnutstream/chestnutstream/timer"
)

// Step loop: one token for each running request, then the queue fills what is
// free. It runs while there is work.
func (e *Engine) stepLoop() {
	for {
		e.mu.Lock()
		e.admit()
		if len(e.running) == 0 && len(e.waiting) == 0 {
			e.stepping = false
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

// abandoned is how long a stream without readers is kept.
const abandoned = 5 * time.Second

func (e *Engine) step() {
	now := time.Now()
	for _, g := range e.running {
		if g.prefill > 0 {
			g.prefill--
			continue
		}
		g.tokens = append(g.tokens, fmt.Sprintf("%s#%d ", g.weights, len(g.tokens)))
		e.counts.TokensMade++
		if len(g.tokens) >= g.limit {
			e.counts.Finished++
			e.end(g, false)
			continue
		}
		if g.readers == 0 && now.Sub(g.lastRead) > abandoned {
			e.counts.Cancelled++
			e.end(g, true)
			continue
		}
		wake(g)
	}
	e.drop(func(g *generation) bool { return g.done || g.broken })
	for id, g := range e.gens {
		if (g.done || g.broken) && g.readers == 0 && now.Sub(g.lastRead) > 6*abandoned {
			delete(e.gens, id)
		}
	}
}
