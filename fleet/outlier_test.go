package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestOutcomesThatAreNoFailures(t *testing.T) {
	tests := []struct {
		outcome Outcome
		admits  bool
	}{
		{Responded, true},
		{Refused, true},
		{Inconclusive, true},
		{Failed, false},
		{Unresponsive, false},
		{Unreachable, false},
	}
	for _, tt := range tests {
		t.Run(string(tt.outcome), func(t *testing.T) {
			now := time.Unix(1000, 0)
			d := &outlierDetector{}
			d.recordPick(now)
			for range 20 {
				d.record(now, tt.outcome, time.Millisecond)
			}
			assert.Equal(t, d.admits(now.Add(time.Millisecond)), tt.admits)
		})
	}
}
