package operator

import (
	"fmt"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutstream/chestnutstream"
)

func classSection(name string, urgency int) []byte {
	return fmt.Appendf(nil, "- {name: %s, urgency: %d, timeout-ms: 1000, queue-limit: 5}\n", name, urgency)
}

func headOf(revision uint64, sections map[string][]byte) chestnutstream.Head {
	h := chestnutstream.Head{Revision: revision, Sections: map[string]chestnutstream.SectionHead{}}
	for name, b := range sections {
		h.Sections[name] = chestnutstream.SectionHead{Revision: revision, Hash: HashSection(name, b)}
	}
	return h
}

// TestAdoptionNeverReverts guards against an active revision that decreases or
// mixes the sections of several revisions. Heads and contents arrive in any
// order, delayed, repeated or not at all.
func TestAdoptionNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewAdoption()
		var committed []map[string][]byte
		highest := uint64(0)
		for i := range 8 {
			committed = append(committed, map[string][]byte{"classes": classSection("c", i+1), "limits": fmt.Appendf(nil, "queue-total: %d\n", i/3+1)})
		}
		revision := rapid.IntRange(1, len(committed))
		t.Repeat(map[string]func(*rapid.T){
			"head": func(t *rapid.T) {
				r := revision.Draw(t, "revision")
				a.Step(HeadReceived{headOf(uint64(r), committed[r-1])})
			},
			"content": func(t *rapid.T) {
				r := revision.Draw(t, "revision")
				section := rapid.SampledFrom([]string{"classes", "limits"}).Draw(t, "section")
				a.Step(ContentReceived{section, committed[r-1][section]})
			},
			"": func(t *rapid.T) {
				cfg := a.Current()
				if cfg == nil {
					return
				}
				if cfg.Revision() < highest {
					t.Fatalf("active revision is %d, was %d before", cfg.Revision(), highest)
				}
				highest = cfg.Revision()
				if got, want := cfg.Classes["c"].Urgency, int(highest); got != want {
					t.Fatalf("active revision %d has urgency %d", highest, got)
				}
				if got, want := cfg.Limits.QueueTotal, int(highest-1)/3+1; got != want {
					t.Fatalf("active revision %d has queue-total %d, want %d", highest, got, want)
				}
			},
		})
	})
}

func TestAssembleErrorNamesSectionLineAndPath(t *testing.T) {
	tests := []struct {
		name    string
		section string
		content string
		line    int
		reason  string
	}{
		{"urgency out of range", "classes", "- {name: a, urgency: 5, timeout-ms: 10, queue-limit: 1}\n- name: b\n  urgency: 101\n  timeout-ms: 10\n  queue-limit: 1\n", 3, `section classes, line 3, $[1].urgency: class "b": urgency 101: want 1 to 100`},
		{"unknown key", "classes", "- name: a\n  urgencies: 5\n", 2, `section classes, line 2: unknown field "urgencies"`},
		{"current version missing", "adapters/x", "- {name: a, base-model: b, versions: [v1], current: v2, may-use: [c]}\n", 1, `section adapters/x, line 1, $[0]: adapter "a": current version "v2" is not among its versions [v1]`},
		{"server of an unknown service", "backend-servers", "- {name: s, kind: service, availability-zone: z, service: nope}\n", 1, `section backend-servers, line 1, $[0]: backend server "s": service "nope" is not declared in section services`},
		{"unknown section name", "adaptors", "", 0, "section adaptors: no such section; want adapters, adapters/TEAM, services, classes, backend-servers, measures, limits or owners"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Assemble(chestnutstream.Head{}, map[string][]byte{tt.section: []byte(tt.content)})
			var e *DocumentError
			assert.Assert(t, errors.As(err, &e), "%v", err)
			assert.Equal(t, e.Line, tt.line)
			assert.Equal(t, err.Error(), tt.reason)
		})
	}
}
