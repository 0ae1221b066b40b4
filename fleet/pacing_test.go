package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Pacing must begin only if prefill pauses streams on several engines; slow
// engines and network faults must not start it. Only one call per period may make
// the caller notify the other instances.
func TestPacingBeginsWhenPrefillPausesStreams(t *testing.T) {
	const allowed = 300 * time.Millisecond
	for _, tt := range []struct {
		name    string
		engines int // of twelve, on which streams pause
		pause   time.Duration
		allowed time.Duration
		streams int
		want    bool
	}{
		{"on several engines", 4, 363 * time.Millisecond, allowed, 8, true},
		{"too few streams", 4, 363 * time.Millisecond, allowed, 7, false},
		{"one slow engine", 1, 363 * time.Millisecond, allowed, 60, false},
		{"a zone that was cut off", 4, 1500 * time.Millisecond, allowed, 60, false},
		{"within the allowed pause", 12, 299 * time.Millisecond, allowed, 60, false},
		{"no route names an allowed pause", 12, 363 * time.Millisecond, 0, 60, false},
	} {
		f := engines(12)
		notified := 0
		for i := range tt.streams {
			if f.RecordStreamPause(start, fmt.Sprint("e", i%tt.engines), tt.pause, tt.allowed) {
				notified++
			}
		}
		assert.Equal(t, f.PrefillPaced(start, testService), tt.want, tt.name)
		assert.Equal(t, notified > 0, tt.want, "%s: other instances notified", tt.name)
		assert.Check(t, notified <= 1, "%s: notified %d times", tt.name, notified)
		assert.Check(t, !f.PrefillPaced(start.Add(pacingDuration), testService), tt.name)
	}
}

// The share of the allowed pause that prefill may fill must fall with long pauses
// and rise with short ones, within its bounds.
func TestPrefillShareFollowsPauses(t *testing.T) {
	f := engines(4)
	initial := f.PrefillShare(testService)
	for range 10 {
		f.RecordStreamPause(start, "e1", 400*time.Millisecond, 300*time.Millisecond)
	}
	lowered := f.PrefillShare(testService)
	assert.Assert(t, lowered < initial)
	for range 20 {
		f.RecordStreamPause(start, "e1", 100*time.Millisecond, 300*time.Millisecond)
	}
	assert.Assert(t, f.PrefillShare(testService) > lowered)
	for range 10000 {
		f.RecordStreamPause(start, "e1", 400*time.Millisecond, 300*time.Millisecond)
	}
	assert.Equal(t, f.PrefillShare(testService), minPauseShare)
}
