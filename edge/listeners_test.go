package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/connlimit"
)

// Guards against heads within the configuration's limits that are refused.
func TestHeadLimitsLeaveRoomForTheConfiguration(t *testing.T) {
	tests := []struct {
		name   string
		limits *chestnutstream.ClientLimits // nil: no configuration
		want   connlimit.HeadLimits
	}{
		{"none", nil, connlimit.DefaultHeadLimits},
		{"not stated", &chestnutstream.ClientLimits{}, connlimit.HeadLimits{Bytes: 64<<10 + 1, Timeout: 10 * time.Second}},
		{"stated", &chestnutstream.ClientLimits{HeaderBytes: 16384, HeaderTimeout: 3 * time.Second}, connlimit.HeadLimits{Bytes: 24<<10 + 1, Timeout: 7 * time.Second}},
		{"large", &chestnutstream.ClientLimits{HeaderBytes: 200 << 10, HeaderTimeout: 20 * time.Second}, connlimit.HeadLimits{Bytes: 208<<10 + 1, Timeout: 41 * time.Second}},
		{"beyond all bounds", &chestnutstream.ClientLimits{HeaderBytes: 1<<63 - 1, HeaderTimeout: 1<<63 - 1}, connlimit.HeadLimits{Bytes: maxHeadBytes, Timeout: maxHeadTimeout}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var table *chestnutstream.RouteTable
			if tt.limits != nil {
				table = chestnutstream.NewRouteTable(1, nil, nil, *tt.limits)
			}
			assert.Equal(t, headLimits(table, 1), tt.want)
		})
	}
}
