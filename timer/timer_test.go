package timer

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Advance must run all due calls in order of time, without the stopped ones.
func TestManualRunsDueCallsInOrder(t *testing.T) {
	start := time.Unix(0, 0)
	m := NewManual(start)
	var got []string
	m.Subscribe(2*time.Second, func(now time.Time) { got = append(got, "every "+now.Sub(start).String()) })
	stop := m.After(time.Second, func(time.Time) { got = append(got, "stopped") })
	stop()
	m.After(3*time.Second, func(now time.Time) { got = append(got, "once "+now.Sub(start).String()) })
	m.Advance(5 * time.Second)
	assert.DeepEqual(t, got, []string{"every 2s", "once 3s", "every 4s"})
	assert.Equal(t, m.Now(), start.Add(5*time.Second))
}

// A stopped subscription must not be called again, and stop must be idempotent.
func TestSystemSubscriptionStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls atomic.Int32
		stop := NewSystem().Subscribe(time.Second, func(time.Time) { calls.Add(1) })
		time.Sleep(3500 * time.Millisecond)
		stop()
		stop()
		time.Sleep(10 * time.Second)
		assert.Equal(t, calls.Load(), int32(3))
	})
}
