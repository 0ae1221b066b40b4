package engine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutstream/chestnutstream"
)

// placed is one placement under test and what became of each request.
type placed struct {
	p        *Placement
	final    map[string]string // request to server or refusal
	dispatch map[string]Dispatch
	gone     map[chestnutstream.LoadName]bool // learnt to be useless
}

func newPlaced(policy chestnutstream.PlacementPolicy) *placed {
	return &placed{NewPlacement("z", DefaultPlacementSettings(), policy), map[string]string{}, map[string]Dispatch{}, map[chestnutstream.LoadName]bool{}}
}

func avOf(i int) chestnutstream.AdapterVersion {
	return chestnutstream.AdapterVersion{Adapter: fmt.Sprintf("a%d", i), Version: "v1"}
}

func (x *placed) step(t *rapid.T, now time.Time, ready map[string]map[chestnutstream.LoadName]bool, want map[string]chestnutstream.AdapterVersion, event any) {
	for _, action := range x.p.Step(now, event) {
		switch a := action.(type) {
		case Dispatch:
			if x.final[a.ID] != "" {
				t.Fatalf("%s is placed on %s after %s", a.ID, a.Server, x.final[a.ID])
			}
			if !ready[a.Server][a.Name] || x.gone[a.Name] {
				t.Fatalf("%s goes to %s, which has no %s ready", a.ID, a.Server, a.Name)
			}
			if av, err := a.Name.AdapterVersion(); err != nil || av != want[a.ID] {
				t.Fatalf("%s wants %s and gets %s", a.ID, want[a.ID], a.Name)
			}
			x.final[a.ID] = a.Server
			x.dispatch[a.ID] = a
		case Refuse:
			if x.final[a.ID] != "" {
				t.Fatalf("%s is refused after %s", a.ID, x.final[a.ID])
			}
			x.final[a.ID] = "refused: " + a.Code
		}
	}
}

// For the same events the default and the naive policy keep the same rules: a
// request goes to a server that has its adapter version ready and promised, is
// placed or refused once, and is not forgotten; they differ in where and when.
func TestPoliciesKeepTheSameRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		both := []*placed{newPlaced(DefaultPlacement{}), newPlaced(NaivePlacement{Seed: "s", Zone: "z"})}
		servers := []string{"s0", "s1", "s2"}
		settings := []chestnutstream.ServerSettings{}
		for _, name := range servers {
			settings = append(settings, chestnutstream.ServerSettings{Name: name, Zone: "z", BaseModel: "base", Address: "x", ChecksFences: true})
		}
		ready := map[string]map[chestnutstream.LoadName]bool{}
		want := map[string]chestnutstream.AdapterVersion{}
		promised := time.Time{}
		limits := QueueLimits{PerAdapter: 4, Total: 8}
		all := func(event any) {
			for _, x := range both {
				x.step(t, now, ready, want, event)
			}
		}
		all(Servers{Servers: settings})
		all(PlacementTick{Limits: limits})
		submitted, loads := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				submitted++
				id := fmt.Sprintf("r%d", submitted)
				want[id] = avOf(rapid.IntRange(0, 3).Draw(t, "adapter"))
				all(Submit{Pending{
					ID: id, AdapterVersion: want[id], BaseModel: "base", Class: "c",
					Urgency: rapid.IntRange(1, 100).Draw(t, "urgency"), Deadline: now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second),
				}})
			},
			"report": func(t *rapid.T) {
				server := rapid.SampledFrom(servers).Draw(t, "server")
				r := chestnutstream.ServerReport{Server: server, Reachable: rapid.IntRange(0, 4).Draw(t, "reachable") > 0, BatchLimit: 4, SlotLimit: 3}
				ready[server] = map[chestnutstream.LoadName]bool{}
				for i := range 3 {
					loads++
					av := avOf(rapid.IntRange(0, 3).Draw(t, "slot"))
					state := rapid.SampledFrom([]chestnutstream.SlotState{chestnutstream.SlotReady, chestnutstream.SlotLoading, chestnutstream.SlotRetiring}).Draw(t, "state")
					name := chestnutstream.NewLoadName(av, fmt.Sprintf("%d.%d", loads, i))
					r.Slots = append(r.Slots, chestnutstream.Slot{Name: name, AdapterVersion: av, State: state})
					ready[server][name] = state == chestnutstream.SlotReady && r.Reachable
				}
				all(Reported{Owner: "o", Fence: 1, Report: r})
			},
			"promise": func(t *rapid.T) {
				promised = now.Add(time.Duration(rapid.IntRange(0, 10).Draw(t, "seconds")) * time.Second)
				all(Promised{Owner: "o", Until: promised})
			},
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				all(PlacementTick{Limits: limits})
			},
			"finish": func(t *rapid.T) {
				failure := rapid.SampledFrom([]Failure{NoFailure, NotLoaded, Unreachable, WrongAdapter, Busy}).Draw(t, "failure")
				for _, x := range both {
					for id, d := range x.dispatch {
						delete(x.dispatch, id)
						if failure == NotLoaded || failure == WrongAdapter {
							x.gone[d.Name] = true
						}
						x.step(t, now, ready, want, Finished{id, failure})
						break
					}
				}
			},
			"": func(t *rapid.T) {
				for _, x := range both {
					queued, running := x.p.Waiting()
					if queued > limits.Total {
						t.Fatalf("%d requests wait", queued)
					}
					if running != len(x.dispatch) {
						t.Fatalf("%d requests run, %d were sent", running, len(x.dispatch))
					}
					if queued+len(x.final) != submitted {
						t.Fatalf("%d wait and %d ended of %d", queued, len(x.final), submitted)
					}
				}
			},
		})
		now = now.Add(time.Hour)
		all(PlacementTick{Limits: limits})
		for _, x := range both {
			if len(x.final) != submitted {
				t.Fatalf("%d of %d requests got a final answer", len(x.final), submitted)
			}
		}
	})
}

// While urgent requests keep coming faster than they can be served, a patient
// one is served all the same; when the queue is full, it is the patient ones
// that are shed.
func TestNothingStarvesAndTheLeastUrgentIsShed(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPlacement("z", DefaultPlacementSettings(), DefaultPlacement{})
	limits := QueueLimits{PerAdapter: 3000, Total: 3000}
	name := chestnutstream.NewLoadName(avOf(0), "1")
	p.Step(now, Servers{Servers: []chestnutstream.ServerSettings{{Name: "s", Zone: "z", BaseModel: "base", Address: "x", ChecksFences: true}}})
	p.Step(now, Promised{Owner: "o", Until: now.Add(time.Hour)})
	p.Step(now, PlacementTick{Limits: limits})
	report := Reported{Owner: "o", Fence: 1, Report: chestnutstream.ServerReport{
		Server: "s", Reachable: true, BatchLimit: 1, SlotLimit: 1,
		Slots: []chestnutstream.Slot{{Name: name, AdapterVersion: avOf(0), State: chestnutstream.SlotReady}},
	}}
	p.Step(now, report)
	submit := func(id string, urgency int) []Action {
		return p.Step(now, Submit{Pending{ID: id, AdapterVersion: avOf(0), BaseModel: "base", Urgency: urgency, Deadline: now.Add(time.Hour)}})
	}
	running := []string{}
	patientAt := -1
	note := func(actions []Action) {
		for _, a := range actions {
			if d, ok := a.(Dispatch); ok {
				running = append(running, d.ID)
				if d.ID == "patient" {
					patientAt = 0
				}
			}
		}
	}
	note(submit("patient-0", 10))
	note(submit("patient", 10))
	for i := range 2000 {
		now = now.Add(100 * time.Millisecond)
		note(submit(fmt.Sprintf("u%d", i), 90))
		if i%2 == 0 && len(running) > 0 {
			id := running[0]
			running = running[1:]
			note(p.Step(now, Finished{ID: id}))
		}
		note(p.Step(now, PlacementTick{Limits: limits}))
	}
	assert.Equal(t, patientAt, 0, "the patient request was never served")

	full := NewPlacement("z", DefaultPlacementSettings(), DefaultPlacement{})
	full.Step(now, PlacementTick{Limits: QueueLimits{PerAdapter: 9, Total: 2}})
	ask := func(id string, urgency int) []Action {
		return full.Step(now, Submit{Pending{ID: id, AdapterVersion: avOf(1), BaseModel: "base", Urgency: urgency, Deadline: now.Add(time.Hour)}})
	}
	assert.Equal(t, len(ask("a", 10)), 0)
	assert.Equal(t, len(ask("b", 50)), 0)
	assert.DeepEqual(t, ask("c", 90), []Action{Refuse{ID: "a", Code: "shed", RetryAfter: time.Second}})
	assert.DeepEqual(t, ask("d", 20), []Action{Refuse{ID: "d", Code: "queue-full", RetryAfter: time.Second}})
}
