package engine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
)

// An owner that may no longer load on a server, because it is leaving or does
// not answer, gives the permits for it back: they block the whole region.
func TestServerThatMayNotLoadHoldsNoPermits(t *testing.T) {
	tests := []struct {
		name  string
		event func(now time.Time) StatusRead
	}{
		{"leaving", func(now time.Time) StatusRead {
			return StatusRead{Server: "s", SentAt: now, Status: chestnutstream.EngineStatus{Leaving: true, SlotLimit: 4, BatchLimit: 8}}
		}},
		{"unreachable", func(now time.Time) StatusRead {
			return StatusRead{Server: "s", SentAt: now, Err: chestnutstream.ErrUnavailable}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			s := NewScheduler("i", DefaultSchedulerSettings(), DefaultLoads{})
			tick := Tick{Holdings: []Holding{{Server: "s", Fence: 1, NotAfter: now.Add(time.Hour), AcquiredAt: now}}, Instances: []string{"i"}}
			s.Step(now, tick)
			s.Step(now, StatusRead{Server: "s", SentAt: now, Status: chestnutstream.EngineStatus{SlotLimit: 4, BatchLimit: 8}})
			s.Step(now, PeerHeard{Peer: "i", Wants: []chestnutstream.Want{{Server: "s", AdapterVersion: avOf(0), Waiting: 1}}})
			s.Step(now, tick)
			assert.Equal(t, len(s.Asks()), 1)
			for range unreachableAfter {
				now = now.Add(time.Second)
				s.Step(now, tt.event(now))
			}
			s.Step(now, tick)
			assert.Equal(t, len(s.Asks()), 0)
		})
	}
}
