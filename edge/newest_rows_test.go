package edge

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/instance"
	"github.com/chestnutstream/chestnutstream/platform"
)

// Guards against a link that is occupied by configurations that have been replaced: with 24
// of them in 2 s followers learned of the last ones 3 s later, above the limit.
func TestUpdatesThatWaitForALinkHoldTheNewestRows(t *testing.T) {
	row := func(key string, version uint64) chestnutstream.TableRow {
		return chestnutstream.TableRow{Table: platform.TableOperator, Key: key, Version: version}
	}
	update := func(table string, after, to uint64, rows ...chestnutstream.TableRow) instance.TableUpdate {
		return instance.TableUpdate{Table: table, After: after, To: to, Rows: rows}
	}
	config, adapter := platform.KeyConfig, "adapter/m/a"
	op, servers := platform.TableOperator, platform.TableServers
	tests := []struct {
		name       string
		sent, want []instance.TableUpdate
	}{
		{"one", []instance.TableUpdate{update(op, 1, 2, row(config, 2))}, []instance.TableUpdate{update(op, 1, 2, row(config, 2))}},
		{
			"in succession",
			[]instance.TableUpdate{update(op, 1, 2, row(config, 2)), update(op, 2, 4, row(adapter, 3), row(config, 4)), update(op, 4, 4)},
			[]instance.TableUpdate{update(op, 1, 4, row(adapter, 3), row(config, 4))},
		},
		{
			"with a gap",
			[]instance.TableUpdate{update(op, 1, 2, row(config, 2)), update(op, 3, 4, row(config, 4))},
			[]instance.TableUpdate{update(op, 1, 2, row(config, 2)), update(op, 3, 4, row(config, 4))},
		},
		{
			// Each entry of a server may state something that no later one does.
			"another table",
			[]instance.TableUpdate{update(servers, 1, 2, row("s", 2)), update(servers, 2, 3, row("s", 3))},
			[]instance.TableUpdate{update(servers, 1, 2, row("s", 2)), update(servers, 2, 3, row("s", 3))},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var pending []instance.TableUpdate
			for _, u := range tt.sent {
				pending = appendUpdate(pending, u)
			}
			assert.DeepEqual(t, pending, tt.want)
		})
	}
}

func TestNewestRowsKeepTheirOrder(t *testing.T) {
	tests := []struct {
		name string
		keys []string
		want []int // indices
	}{
		{"none", nil, nil},
		{"different keys", []string{"b", "a"}, []int{0, 1}},
		{"replaced", []string{"a", "b", "a", "c", "a"}, []int{1, 3, 4}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var rows, want []chestnutstream.TableRow
			for i, k := range tt.keys {
				rows = append(rows, chestnutstream.TableRow{Key: k, Version: uint64(i)})
			}
			for _, i := range tt.want {
				want = append(want, rows[i])
			}
			assert.DeepEqual(t, newestRows(rows), want)
		})
	}
}
