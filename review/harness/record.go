package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to a file, with the time since the start.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return &recorder{start: time.Now(), file: f}, nil
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// summary writes a line to the file and to standard output.
func (r *recorder) summary(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}
