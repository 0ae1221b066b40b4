package oncall

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// buffer is a bytes.Buffer for concurrent use.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) lines() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Split(strings.TrimSpace(b.b.String()), "\n")
}

func TestLinesAreJSON(t *testing.T) {
	var out buffer
	h := NewHandler(&out, func() time.Time { return time.Unix(0, 0) })
	l := &log.Logger{Handler: h, Level: log.InfoLevel}
	l.WithField("request-id", "r-1").WithError(errors.New("no place")).Warn("request failed")
	l.Debug("not written")
	h.Close()
	var m map[string]any
	assert.Equal(t, len(out.lines()), 1)
	assert.NilError(t, json.Unmarshal([]byte(out.lines()[0]), &m))
	assert.Equal(t, m["request-id"], "r-1")
	assert.Equal(t, m["error"], "no place")
	assert.Equal(t, m["level"], "warn")
	assert.Equal(t, m["time"], "1970-01-01T00:00:00.000Z")
}

// A flood of information must not displace the lines of failures or block the
// caller. Dropped lines are counted and reported.
func TestInfoFloodDoesNotDisplaceWarnings(t *testing.T) {
	var out buffer
	now := time.Unix(100, 0)
	var mu sync.Mutex
	h := NewHandler(&out, func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		return now
	})
	l := &log.Logger{Handler: h, Level: log.InfoLevel}
	for range 10 * InfoLinesPerSecond {
		l.Info("chatter")
	}
	for range 100 {
		l.Warn("request failed")
	}
	assert.Equal(t, h.Dropped(), int64(9*InfoLinesPerSecond))
	mu.Lock()
	now = now.Add(2 * time.Second)
	mu.Unlock()
	l.Info("later")
	h.Close()
	failures, reported := 0, false
	for _, line := range out.lines() {
		if strings.Contains(line, "request failed") {
			failures++
		}
		reported = reported || strings.Contains(line, "log lines dropped")
	}
	assert.Equal(t, failures, 100)
	assert.Assert(t, reported, "dropped lines were not reported")
}

// blockedWriter blocks each write until it is closed.
type blockedWriter chan struct{}

func (s blockedWriter) Write(p []byte) (int, error) { <-s; return len(p), nil }

func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	out := make(blockedWriter)
	h := NewHandler(out, time.Now)
	l := &log.Logger{Handler: h, Level: log.InfoLevel}
	done := make(chan struct{})
	go func() {
		for range 5000 {
			l.Warn("x")
		}
		close(done)
	}()
	<-done
	assert.Assert(t, h.Dropped() > 0)
	close(out)
	h.Close()
}
