package edge

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/memory"
	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/fleet"
	"github.com/chestnutstream/chestnutstream/instance"
	"github.com/chestnutstream/chestnutstream/lease"
	"github.com/chestnutstream/chestnutstream/platform"
	"github.com/chestnutstream/chestnutstream/quarantine"
	"github.com/chestnutstream/chestnutstream/software"
	"github.com/chestnutstream/chestnutstream/standin"
	"github.com/chestnutstream/chestnutstream/timer"
)

// loggedNode returns a node that is not started, with its clock and its log.
func loggedNode(t *testing.T) (*Node, *timer.Manual, *memory.Handler) {
	clock, lines := timer.NewManual(time.Unix(1_800_000_000, 0)), memory.New()
	n := newNode(platform.Settings{Instance: "a", Zone: "z", Store: "127.0.0.1:1"}, &log.Logger{Handler: lines, Level: log.InfoLevel}, clock, timer.Boot)
	t.Cleanup(n.cancel)
	return n, clock, lines
}

// Guards against a log line for every time that a row which cannot be used is written.
func TestUnusableRowsAreLoggedOnce(t *testing.T) {
	nested := strings.Repeat(`{"a":`, 20000) + "1" + strings.Repeat("}", 20000)
	long := `{"service":"s","slots":1` + strings.Repeat("0", 60000) + `}`
	apply := map[string]func(n *Node, r chestnutstream.TableRow){
		platform.TableServers:  func(n *Node, r chestnutstream.TableRow) { n.applyServerRows([]chestnutstream.TableRow{r}, false, 0) },
		platform.TableOperator: func(n *Node, r chestnutstream.TableRow) { n.applyOperatorRows([]chestnutstream.TableRow{r}) },
		lease.Table:            func(n *Node, r chestnutstream.TableRow) { n.applyLeaseRows([]chestnutstream.TableRow{r}, false, 0) },
	}
	tests := []struct{ name, table, key, value string }{
		{"server, nested", platform.TableServers, "i-1", nested},
		{"server, long number", platform.TableServers, "i-1", long},
		{"server, port", platform.TableServers, "i-1", `{"service":"s","state":"ready","address":"10.0.0.1:99999999"}`},
		{"configuration", platform.TableOperator, platform.KeyConfig, nested},
		{"adapter version", platform.TableOperator, "version/m.a", `{"model":"m","adapter":"a","version":1e30}`},
		{"lease", lease.Table, "instance/b", nested},
		{"owner", lease.Table, "owner/i-1", `{"r":-1}`},
		{"verdict", lease.Table, quarantine.RowPrefix + "1", `{"service":"s","trait":"t","probes":1e30}`},
		{"software", lease.Table, software.RowKey("s"), nested},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n, clock, lines := loggedNode(t)
			for i := range 50 { // a minute
				apply[tt.table](n, chestnutstream.TableRow{Table: tt.table, Key: tt.key, Value: []byte(tt.value), Version: uint64(i + 1)})
				clock.Advance(1200 * time.Millisecond)
			}
			assert.Equal(t, len(lines.Entries), 1)
			for name, value := range lines.Entries[0].Fields {
				assert.Check(t, len(fmt.Sprint(value)) <= maxLoggedError, name)
			}
		})
	}
}

// A problem is logged when it changes, but not often, also if sound entries come between
// and if there are many rows.
func TestLoggedProblemsAreBounded(t *testing.T) {
	odd := func(i int) string {
		return fmt.Sprintf(`{"service":"s","state":"ready","address":"10.0.0.1:%d"}`, 70000+i)
	}
	sound := `{"service":"s","state":"ready","address":"10.0.0.1:80"}`
	tests := []struct {
		name  string
		value func(i int) string
		rows  int
		want  int // lines in a minute
	}{
		{"another problem each time", odd, 1, 6},
		{"same problem between sound entries", func(i int) string {
			if i%2 == 0 {
				return odd(0)
			}
			return sound
		}, 1, 1},
		{"many rows", odd, 3000, maxProblemsPerMinute},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n, clock, lines := loggedNode(t)
			version := uint64(0)
			for i := range 60 {
				var rows []chestnutstream.TableRow
				for key := range tt.rows {
					version++
					rows = append(rows, chestnutstream.TableRow{Table: platform.TableServers, Key: fmt.Sprint(key), Value: []byte(tt.value(i)), Version: version})
				}
				n.applyServerRows(rows, false, 0)
				clock.Advance(time.Second)
			}
			unreadable := 0
			for _, l := range lines.Entries {
				if l.Level == log.WarnLevel {
					unreadable++
				}
			}
			assert.Equal(t, unreadable, tt.want)
			assert.Assert(t, len(n.problems.byRow) <= maxRememberedProblems)
		})
	}
}

// Guards against entries by another writer among the rows for an instance that cannot read
// the store: with 150 of them the message exceeds what the instance accepts, so it got no
// configuration.
func TestCachedRowsFitAMessage(t *testing.T) {
	n := idleNode(t, "a")
	n.adoptConfig([]byte(`{"version":1}`), 1, "store")
	rows := []chestnutstream.TableRow{{Key: "sound", Version: 1, Value: []byte(`{"service":"s","state":"ready","address":"10.0.0.1:80"}`)}}
	for i := range 150 {
		rows = append(rows, chestnutstream.TableRow{Key: fmt.Sprintf("odd-%d", i), Version: uint64(i + 2), Value: []byte(strings.Repeat("[", 64<<10))})
	}
	rows = append(rows, chestnutstream.TableRow{Key: "sound", Version: 200, Value: []byte("?")})
	n.applyServerRows(rows, false, 0)
	frame, err := instance.Encode(n.rows.bundle())
	assert.NilError(t, err)
	assert.Check(t, len(frame) < 8<<20, "%d bytes", len(frame))
	received, err := instance.Decode(frame)
	assert.NilError(t, err)
	assert.Equal(t, len(received.Servers), 1)
	assert.Equal(t, received.Servers[0].Version, uint64(1))
}

// Guards against odd entries that hide the other entries of the same read, or the next
// sound entry of their server, here or on an instance that receives them from a reader.
func TestOddEntriesLeaveTheOthers(t *testing.T) {
	entry := func(fields string) []byte {
		return []byte(`{"service":"s","state":"ready","address":"10.0.0.1:80","zone":"z",` + fields + `}`)
	}
	odd := map[string][]byte{
		"nested":        entry(`"odd":` + strings.Repeat("[", 20000) + strings.Repeat("]", 20000)),
		"nested-field":  entry(`"slots":` + strings.Repeat("[", 200) + strings.Repeat("]", 200)),
		"open":          []byte(strings.Repeat(`{"a":`, 10000)),
		"slots":         entry(`"slots":1e400`),
		"born":          entry(`"born":9223372036854775807`),
		"port":          entry(`"address":"10.0.0.1:70000"`),
		"not-utf-8":     []byte("\xff\xfe"),
		"empty":         nil,
		"large":         []byte(`"` + strings.Repeat("x", 1<<20)),
		"odd id\n":      entry(`"slots":4`),
		"":              entry(`"slots":4`),
		"unknown-state": entry(`"state":"sleepy"`),
	}
	reader, follower := idleNode(t, "a"), idleNode(t, "b")
	version := uint64(0)
	read := func(values map[string][]byte) {
		rows := []chestnutstream.TableRow{}
		for key, value := range values {
			version++
			rows = append(rows, chestnutstream.TableRow{Table: platform.TableServers, Key: key, Value: value, Version: version})
		}
		version++
		rows = append(rows, chestnutstream.TableRow{Table: platform.TableServers, Key: "sound", Value: entry(`"slots":4,"born":1796435200000`), Version: version})
		reader.applyServerRows(rows, false, 0)
		frame, err := instance.Encode(instance.Bundle{TableUpdates: []instance.TableUpdate{{Table: platform.TableServers, Rows: reader.changedEntries(rows)}}})
		assert.NilError(t, err)
		received, err := instance.Decode(frame)
		assert.NilError(t, err)
		follower.applyServerRows(received.TableUpdates[0].Rows, false, 0)
	}
	usable := func(n *Node) int {
		count := 0
		for _, s := range n.fleet.Service("s") {
			if s.Usable() {
				count++
			}
		}
		return count
	}
	for range 3 {
		read(odd)
		assert.Equal(t, usable(reader), 1)
		assert.Equal(t, usable(follower), 1)
	}
	next := map[string][]byte{}
	for key := range odd {
		next[key] = entry(`"slots":4,"born":1796435200000`)
	}
	read(next)
	assert.Equal(t, usable(reader), 1+len(odd)-2, "all but those whose ID cannot be used")
	assert.Equal(t, usable(follower), 1+len(odd)-2)
}

// Guards against a foreign row in place of one of this system's that is never replaced,
// while the store is called over and over.
func TestMalformedSoftwareRowIsReplaced(t *testing.T) {
	key := software.RowKey("s")
	for _, value := range []string{"?", "", `{"service":"t","versions":["v1"]}`, `{"service":"s","versions":[]}`, strings.Repeat("[", 20_000)} {
		store := standin.NewStore()
		srv := httptest.NewServer(store)
		n := newNode(platform.Settings{Instance: "a", Zone: "z", Store: strings.TrimPrefix(srv.URL, "http://")}, &log.Logger{Handler: discard.New()}, timer.NewSystem(), timer.Boot)
		foreign := chestnutstream.TableRow{Table: lease.Table, Key: key, Value: []byte(value)}
		_, err := n.store.Apply(n.ctx, chestnutstream.RowTransaction{Writes: []chestnutstream.TableRow{foreign}})
		assert.NilError(t, err)
		for range 50 {
			n.mu.Lock()
			n.versions.Observe(n.boot(), map[string]map[string]bool{"s": {"v1": true}})
			n.updateSoftwareRows(n.now(), n.boot())
			n.mu.Unlock()
			time.Sleep(2 * time.Millisecond)
		}
		rows, _, err := n.store.Rows(n.ctx, lease.Table)
		assert.NilError(t, err)
		row, err := software.DecodeRow(rows[0])
		assert.Check(t, err, "%.20q", value)
		assert.Check(t, slices.Equal(row.Versions, []string{"v1"}), "%.20q: %v", value, row)
		_, writes := n.store.Operations()
		assert.Check(t, writes <= 3, "%.20q: %d writes", value, writes)
		n.cancel()
		srv.Close()
	}
}

// Guards against more foreign rows of verdicts than a transaction may delete: it failed
// each time.
func TestForeignVerdictRowsAreDeletedInParts(t *testing.T) {
	n := idleNode(t, "a")
	var rows []chestnutstream.TableRow
	for i := range 250 {
		rows = append(rows, chestnutstream.TableRow{
			Table: lease.Table, Key: fmt.Sprint(quarantine.RowPrefix, i), Version: uint64(i + 1),
			Value: []byte(fmt.Sprintf(`{"service":"s","trait":"t%d","crashes":[]}`, i)),
		})
	}
	n.applyVerdictRows(rows, true)
	for _, want := range []int{100, 100, 50, 0} {
		n.mu.Lock()
		deletes := n.verdictTransaction().Deletes
		for _, d := range deletes {
			delete(n.verdictRows, d.Key)
		}
		n.mu.Unlock()
		assert.Equal(t, len(deletes), want)
	}
}

// Guards against a configuration or version of an adapter that cannot be used and replaces
// the one in force, or hides the next one.
func TestUnusableConfigurationIsFollowedByTheNext(t *testing.T) {
	n := idleNode(t, "a")
	row := func(key, value string, version uint64) chestnutstream.TableRow {
		return chestnutstream.TableRow{Table: platform.TableOperator, Key: key, Value: []byte(value), Version: version}
	}
	config := func(version int) string {
		return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"h","prefix":"/","type":"idempotent","service":"s"}]}`, version)
	}
	nested := strings.Repeat(`[`, 20_000)
	n.applyOperatorRows([]chestnutstream.TableRow{row(platform.KeyConfig, config(1), 1), row("version/m.a", `{"model":"m","adapter":"a","version":2}`, 2)})
	odd := []string{
		nested, "null", "7", "", `{"version":1e30}`, `{"version":-1}`, `{"version":2.5}`, `{"version":9,"routes":[null]}`, `{"version":9,"routes":{}}`,
		`{"version":9,"routes":[{"type":"idempotent","maxAttempts":1e400}]}`, `{"version":9,"services":[{"engine":{"slots":64.5}}]}`, `{"version":9,"odd":` + nested,
	}
	for i, value := range odd {
		n.applyOperatorRows([]chestnutstream.TableRow{row(platform.KeyConfig, value, uint64(10+i)), row("version/m.a", value, uint64(40+i)), row("version/m.b", `{"model":"m","adapter":"b","version":3}`, uint64(70+i))})
		assert.Equal(t, n.Routes().Version, uint64(1), "%.20q", value)
		assert.Equal(t, n.fleet.Version(adapterOf("m/a")), 2, "%.20q", value)
		assert.Equal(t, n.fleet.Version(adapterOf("m/b")), 3, "%.20q", value)
	}
	n.applyOperatorRows([]chestnutstream.TableRow{row(platform.KeyConfig, nested, 100), row(platform.KeyConfig, config(2), 101), row("version/m.a", `{"model":"m","adapter":"a","version":3}`, 102)})
	assert.Equal(t, n.Routes().Version, uint64(2))
	assert.Equal(t, n.fleet.Version(adapterOf("m/a")), 3)
}

// Guards against names that end the process when they become labels of metrics: when the
// connections to an availability zone fail, each listed service gets one.
func TestOddServiceNamesInMetrics(t *testing.T) {
	n := idleNode(t, "a")
	names := []string{"s", `a"b`, "a\nb", `a\`, "a,b={}", "\x00", "é", strings.Repeat("s", 60_000)}
	var rows []chestnutstream.TableRow
	for i, name := range names {
		value, err := json.Marshal(map[string]any{"service": name, "state": "ready", "address": "127.0.0.1:1", "zone": "y"})
		assert.NilError(t, err)
		rows = append(rows, chestnutstream.TableRow{Table: platform.TableServers, Key: fmt.Sprintf("i-%d", i), Value: value, Version: uint64(i + 1)})
	}
	n.applyServerRows(rows, false, 0)
	n.cancel() // no probes
	n.mu.Lock()
	for range 20 {
		n.fleet.RecordOutcome(n.now(), "i-0", fleet.Unreachable, time.Millisecond)
	}
	n.updateCutOff()
	cutOff := len(n.cutOff)
	n.mu.Unlock()
	assert.Equal(t, cutOff, len(names))
	var out strings.Builder
	n.metrics.WritePrometheus(&out)
	assert.Check(t, strings.Contains(out.String(), `chestnutstream_cut_off_total{service="a\"b"} 1`), "%.2000s", out.String())
}

// An instance kept the rows of servers that had left while it missed the store's changes,
// and sent them to instances that start, which then listed these servers.
func TestRowsOfServersThatLeftAreNotSentToOtherInstances(t *testing.T) {
	row := func(id string, version uint64) chestnutstream.TableRow {
		return chestnutstream.TableRow{Table: platform.TableServers, Key: id, Value: []byte(`{"service":"s","state":"ready","address":"10.0.0.1:80"}`), Version: version}
	}
	for _, tt := range []struct {
		name   string
		leaves func(n *Node)
	}{
		{"removed", func(n *Node) {
			n.applyServerRows([]chestnutstream.TableRow{{Table: platform.TableServers, Key: "i-1", Version: 3, Removed: true}}, false, 0)
		}},
		{"not in a new snapshot", func(n *Node) { n.applyServerRows([]chestnutstream.TableRow{row("i-2", 2)}, true, 9) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			n, _, _ := loggedNode(t)
			n.applyServerRows([]chestnutstream.TableRow{row("i-1", 1), row("i-2", 2)}, true, 2)
			tt.leaves(n)
			n.mu.Lock()
			defer n.mu.Unlock()
			b := n.rows.bundle()
			assert.Equal(t, len(b.Servers), 1)
			assert.Equal(t, b.Servers[0].Key, "i-2")
		})
	}
}

// An instance that starts reads the list of servers before it has the configuration, and
// then gets another instance's older rows with it.
func TestOlderRowsOfAnotherInstanceAddNoServer(t *testing.T) {
	row := chestnutstream.TableRow{Table: platform.TableServers, Key: "i-1", Value: []byte(`{"service":"s","state":"ready","address":"10.0.0.1:80"}`), Version: 7}
	n, _, _ := loggedNode(t)
	n.applyServerRows(nil, true, 9)
	n.Received(instance.Member{Name: "b", Zone: "z"}, instance.Bundle{Config: []byte(`{"version":3}`), ConfigRowVersion: 2, Servers: []chestnutstream.TableRow{row}})
	assert.Assert(t, n.Routes() != nil)
	n.mu.Lock()
	defer n.mu.Unlock()
	assert.Equal(t, len(n.fleet.Servers()), 0)
}
