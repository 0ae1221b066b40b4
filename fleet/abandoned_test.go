package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
)

func TestAbandonedRequestsCountUntilTheirServerEndsThem(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name       string
		durations  []time.Duration // of earlier requests
		took, left time.Duration
		want       time.Duration
	}{
		{"as long as others take", []time.Duration{80 * ms, 60 * ms}, 40 * ms, time.Second, 58437500 * time.Nanosecond},
		{"no longer than its deadline", []time.Duration{80 * ms}, 40 * ms, 20 * ms, 20 * ms},
		{"longer than others took", []time.Duration{80 * ms}, 200 * ms, time.Second, time.Second},
		{"nothing is known", nil, 40 * ms, 500 * ms, 500 * ms},
		{"its deadline has passed", []time.Duration{80 * ms}, 40 * ms, -ms, 0},
		{"no deadline", nil, 40 * ms, time.Hour, maxAbandonedTime},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, now := New("z", nil, nil), time.Unix(0, 0)
			f.servers["i-1"] = newServer(chestnutstream.Backend{ID: "i-1"}, 1)
			for _, took := range tt.durations {
				f.RecordDuration("i-1", took)
			}
			assert.Equal(t, f.RecordAbandoned(now, "i-1", tt.took, tt.left), tt.want)
			s := f.Server("i-1")
			if tt.want > 0 {
				assert.Equal(t, s.Abandoned(now.Add(tt.want-1)), 1)
			}
			assert.Equal(t, s.Abandoned(now.Add(tt.want)), 0)
		})
	}
}
