package peer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/engine"
)

func exampleState() State {
	av := chestnutstream.AdapterVersion{Adapter: "a", Version: "v1"}
	name := chestnutstream.NewLoadName(av, "entry-1.2.3")
	return State{
		Seq: 7, AckSeq: 6, AckIncarnation: 5, Applied: 4, Version: 9, Leaving: true, Departed: true, Revision: 3,
		HasOwned: true, Owned: []string{"s"},
		Reports: []engine.OwnerReport{{Fence: 8, Yielding: true, Report: chestnutstream.ServerReport{
			Server: "s", Leaving: true, Reachable: true, Running: 1, Waiting: 2, BatchLimit: 8, SlotLimit: 4,
			Slots: []chestnutstream.Slot{{Name: name, AdapterVersion: av, State: chestnutstream.SlotRetiring}},
		}}},
		LoadFigures:    []LoadFigures{{Running: 1, Waiting: 2, Idle: 3}},
		Demand:         []chestnutstream.Demand{{Server: "s", AdapterVersion: av, Waiting: 2, Urgent: 1, Weight: 90, OldestMS: 12, SlackMS: 99}},
		Usage:          map[chestnutstream.LoadName]int{name: 2},
		Quarantine:     []chestnutstream.LoadName{name},
		PermitRequests: []engine.PermitRequest{{ID: "x", Priority: 1.5, Running: true}},
		GrantedPermits: []string{"x"},
		ServerHealth:   []ServerHealth{{Server: "d", Leaving: true, Down: true}},
	}
}

func TestMessageRoundTrip(t *testing.T) {
	tests := []struct {
		name    string
		message any
	}{
		{"hello", Hello{From: Member{Name: "n@a:1", Address: "a:1", Region: "r", Zone: "z"}, Incarnation: 4, Members: []Member{{Name: "m@b:2", Address: "b:2"}}}},
		{"state", exampleState()},
		{"configuration request", ConfigurationRequest{Have: []string{"h"}}},
		{"configuration update", ConfigurationUpdate{
			Head:     chestnutstream.Head{Revision: 2, Sections: map[string]chestnutstream.SectionHead{"classes": {Revision: 1, Hash: "h"}}},
			Contents: []SectionContent{{Section: "classes", Bytes: []byte("[]")}},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			frame, err := Encode(tt.message)
			assert.NilError(t, err)
			got, err := Decode(frame)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, tt.message)
		})
	}
}

// FuzzDecode checks that decoding arbitrary bytes neither panics nor yields a
// message that cannot be encoded.
func FuzzDecode(f *testing.F) {
	frame, err := Encode(exampleState())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(frame)
	f.Add([]byte{0xa0})
	f.Add([]byte("garbage"))
	f.Fuzz(func(t *testing.T, b []byte) {
		message, err := Decode(b)
		if err != nil {
			return
		}
		if _, err := Encode(message); err != nil {
			t.Fatalf("%#v: %v", message, err)
		}
	})
}

func TestVerifyToken(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	good := signToken("a secret of many bytes", "entry-1", now)
	tests := []struct {
		name   string
		header string
		secret string
		at     time.Time
		want   string
	}{
		{"valid", good, "a secret of many bytes", now.Add(time.Minute), ""},
		{"other secret", good, "another secret of bytes", now, `peer token of "entry-1": wrong signature`},
		{"replayed later", good, "a secret of many bytes", now.Add(time.Hour), `peer token of "entry-1": issue time and local clock differ by 1h0m0s`},
		{"wrong scheme", "Bearer x", "a secret of many bytes", now, "peer token: want Peer NAME:TIME:SIGNATURE"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			name, err := verifyToken(tt.secret, tt.header, tt.at)
			if tt.want == "" {
				assert.NilError(t, err)
				assert.Equal(t, name, "entry-1")
				return
			}
			assert.Error(t, err, tt.want)
		})
	}
}
