// Package timer is the timer service. Components subscribe to it instead of reading
// clocks, so that a test can pass them a Manual timer and control the time.
//
// # Usage
//
//	t := timer.NewSystem()
//	stop := t.Subscribe(time.Second, func(now time.Time) { ... })
//	defer stop()
package timer

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/chestnutstream/chestnutstream"
)

var (
	_ chestnutstream.Timer = (*System)(nil)
	_ chestnutstream.Timer = (*Manual)(nil)
)

// Sleep returns after d, or when ctx is done.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// System is the timer service on the machine's clock. The zero value is ready to
// use.
type System struct{}

// NewSystem returns the timer service on the machine's monotonic clock.
func NewSystem() *System { return &System{} }

// Now returns the current time with its monotonic reading.
func (*System) Now() time.Time { return time.Now() }

// Subscribe calls f about every period. A call that takes longer than the
// period delays the next one; calls are never queued. stop may be called more than
// once.
func (*System) Subscribe(period time.Duration, f func(now time.Time)) (stop func()) {
	ticker := time.NewTicker(period)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				f(time.Now())
			}
		}
	}()
	var once sync.Once
	return func() {
		once.Do(func() {
			ticker.Stop()
			close(done)
		})
	}
}

// After calls f once after d, unless stop is called first.
func (*System) After(d time.Duration, f func(now time.Time)) (stop func()) {
	t := time.AfterFunc(d, func() { f(time.Now()) })
	return func() { t.Stop() }
}

// Manual is a timer service whose time changes only by Advance. Its subscribers run
// on the goroutine that calls Advance, in order of due time.
type Manual struct {
	mu   sync.Mutex
	now  time.Time
	subs []*subscription
}

type subscription struct {
	due     time.Time
	period  time.Duration // 0: called once
	f       func(now time.Time)
	stopped bool
}

// NewManual returns a manual timer set to start.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now returns the timer's current time.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Subscribe calls f every period while the timer is advanced.
func (m *Manual) Subscribe(period time.Duration, f func(now time.Time)) (stop func()) {
	return m.add(period, period, f)
}

// After calls f once when the timer has been advanced by d.
func (m *Manual) After(d time.Duration, f func(now time.Time)) (stop func()) {
	return m.add(d, 0, f)
}

func (m *Manual) add(first, period time.Duration, f func(now time.Time)) (stop func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &subscription{due: m.now.Add(first), period: period, f: f}
	m.subs = append(m.subs, s)
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		s.stopped = true
	}
}

// Advance moves the time forward by d and runs the calls that become due, in order.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	end := m.now.Add(d)
	m.mu.Unlock()
	for {
		s, now := m.nextDue(end)
		if s == nil {
			return
		}
		s.f(now)
	}
}

// nextDue returns the earliest subscription due by end and moves the time to it. If
// there is none, it moves the time to end and returns nil.
func (m *Manual) nextDue(end time.Time) (*subscription, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	active := m.subs[:0]
	for _, s := range m.subs {
		if !s.stopped {
			active = append(active, s)
		}
	}
	m.subs = active
	sort.SliceStable(m.subs, func(i, j int) bool { return m.subs[i].due.Before(m.subs[j].due) })
	if len(m.subs) == 0 || m.subs[0].due.After(end) {
		m.now = end
		return nil, end
	}
	s := m.subs[0]
	m.now = s.due
	if s.period > 0 {
		s.due = s.due.Add(s.period)
	} else {
		s.stopped = true
	}
	return s, m.now
}

// Boot returns the time since the machine booted, including the time during which
// it was suspended, which Go's monotonic clock reading leaves out. Leases are
// checked against this clock.
func Boot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The clock exists since Linux 2.6.39. Without it leases cannot be checked.
		panic(fmt.Sprintf("read boot clock: %v", err))
	}
	return time.Duration(t.Nano())
}
