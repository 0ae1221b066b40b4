package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestTurnsBeginWhereReadingPausesStreams(t *testing.T) {
	const allowed = 300 * time.Millisecond
	for _, c := range []struct {
		name    string
		engines int // of twelve, on which streams pause
		pause   time.Duration
		allowed time.Duration
		streams int
		want    bool
	}{
		{"on several engines", 4, 363 * time.Millisecond, allowed, 8, true},
		{"too few streams", 4, 363 * time.Millisecond, allowed, 7, false},
		{"one engine that is slow", 1, 363 * time.Millisecond, allowed, 60, false},
		{"a zone that was cut off", 4, 1500 * time.Millisecond, allowed, 60, false},
		{"within what is allowed", 12, 299 * time.Millisecond, allowed, 60, false},
		{"no route says what is allowed", 12, 363 * time.Millisecond, 0, 60, false},
	} {
		f := engines(12)
		told := 0
		for i := range c.streams {
			if f.Streamed(start, fmt.Sprint("e", i%c.engines), c.pause, c.allowed) {
				told++
			}
		}
		assert.Equal(t, f.Paced(start, testService), c.want, c.name)
		assert.Equal(t, told > 0, c.want, "%s: told to the others", c.name)
		assert.Check(t, told <= 1, "%s: told %d times", c.name, told)
		assert.Check(t, !f.Paced(start.Add(pacedFor), testService), c.name)
	}
}

// The share of the pause that reading may fill follows the pauses, within bounds.
func TestReadShareFollowsPauses(t *testing.T) {
	f := engines(4)
	first := f.ReadShare(testService)
	for range 10 {
		f.Streamed(start, "e1", 400*time.Millisecond, 300*time.Millisecond)
	}
	fallen := f.ReadShare(testService)
	assert.Assert(t, fallen < first)
	for range 20 {
		f.Streamed(start, "e1", 100*time.Millisecond, 300*time.Millisecond)
	}
	assert.Assert(t, f.ReadShare(testService) > fallen)
	for range 10000 {
		f.Streamed(start, "e1", 400*time.Millisecond, 300*time.Millisecond)
	}
	assert.Equal(t, f.ReadShare(testService), shareLeast)
}
