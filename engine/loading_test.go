package engine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
)

// A permit request for a draining or unreachable server would block the loads
// of the whole region. The owner must drop its requests for such a server.
func TestUnavailableServerHasNoPermitRequests(t *testing.T) {
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
			s.Step(now, PeerStateReceived{Peer: "i", Demand: []chestnutstream.Demand{{Server: "s", AdapterVersion: avOf(0), Waiting: 1}}})
			s.Step(now, tick)
			assert.Equal(t, len(s.PermitRequests()), 1)
			for range unreachableFailures {
				now = now.Add(time.Second)
				s.Step(now, tt.event(now))
			}
			s.Step(now, tick)
			assert.Equal(t, len(s.PermitRequests()), 0)
		})
	}
}
