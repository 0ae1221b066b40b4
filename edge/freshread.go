package edge

import (
	"context"
	"sync"
)

// freshRead is a read of the store on behalf of all that wait for it. Nobody gets the
// result of a read that began before it asked.
type freshRead struct {
	read func() error

	mu      sync.Mutex
	running bool
	next    *readResult // of the read that begins when the running one has ended
}

// readResult is the result of a read, once done is closed.
type readResult struct {
	done chan struct{}
	err  error
}

// start returns the result of a read that begins from now on.
func (f *freshRead) start() *readResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next == nil {
		f.next = &readResult{done: make(chan struct{})}
	}
	r := f.next
	if !f.running {
		f.running = true
		go f.run()
	}
	return r
}

func (f *freshRead) run() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.next != nil {
		r := f.next
		f.next = nil
		f.mu.Unlock()
		r.err = f.read()
		close(r.done)
		f.mu.Lock()
	}
	f.running = false
}

// wait waits for the result until ctx ends.
func (r *readResult) wait(ctx context.Context) (ok bool) {
	select {
	case <-r.done:
		return r.err == nil
	case <-ctx.Done():
		return false
	}
}
