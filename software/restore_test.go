package software

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
)

// Guards against a version that a store has lost with its return from a copy, and that may
// have begun streams.
func TestRowsThatTheStoreLostAreWrittenAgain(t *testing.T) {
	const retention = time.Minute
	version := chestnutstream.RowVersion
	tests := []struct {
		name     string
		copied   *Row // nil: the store has lost the row
		later    *Row // of the new era, written by another instance
		want     []Row
		possible []string
	}{
		{"row lost", nil, nil, []Row{{"s", []string{"v1", "v2"}, 0}}, []string{"v1", "v2"}},
		{"version lost", &Row{"s", []string{"v1"}, version(2, 30)}, nil, []Row{{"s", []string{"v1", "v2"}, version(2, 30)}}, []string{"v1", "v2"}},
		{"row kept", &Row{"s", []string{"v1", "v2"}, version(2, 30)}, nil, nil, []string{"v1", "v2"}},
		{"written again by another instance", &Row{"s", []string{"v1"}, version(2, 30)}, &Row{"s", []string{"v1", "v2"}, version(2, 41)}, nil, []string{"v1", "v2"}},
		{"written without it by another instance", &Row{"s", []string{"v1"}, version(2, 30)}, &Row{"s", []string{"v1", "v3"}, version(2, 41)}, []Row{{"s", []string{"v1", "v2", "v3"}, version(2, 41)}}, []string{"v1", "v2", "v3"}},
		{"an earlier era's row", nil, &Row{"s", []string{"v1"}, version(1, 90)}, []Row{{"s", []string{"v1", "v2"}, 0}}, []string{"v1", "v2"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := NewVersions(retention)
			v.ApplyRow(Row{"s", []string{"v1", "v2"}, version(1, 50)})
			v.Observe(0, map[string]map[string]bool{"s": {"v1": true}})
			present := map[string]bool{}
			if tt.copied != nil {
				v.ApplyRow(*tt.copied)
				present[RowKey("s")] = true
			}
			v.LoseRows(version(2, 40), present)
			if tt.later != nil {
				v.ApplyRow(*tt.later)
			}
			got := v.Changes(time.Second, func(string) int { return 0 })
			assert.DeepEqual(t, got, tt.want)
			for _, p := range tt.possible {
				assert.Assert(t, v.Registered("s", p), p)
			}
			assert.Equal(t, len(v.services["s"].possible(time.Second, retention)), len(tt.possible))
			v.LoseRows(version(2, 50), map[string]bool{RowKey("s"): true})
			assert.Assert(t, v.Registered("s", "v1"))
		})
	}
}

func TestRowsOfTheSameEraAreNotLost(t *testing.T) {
	v := NewVersions(time.Minute)
	v.ApplyRow(Row{"s", []string{"v1"}, chestnutstream.RowVersion(2, 50)})
	v.LoseRows(chestnutstream.RowVersion(2, 40), nil) // an earlier read
	v.LoseRows(chestnutstream.RowVersion(1, 90), nil)
	known, _ := v.KnownRows()
	assert.Assert(t, known)
}
