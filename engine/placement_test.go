package engine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutstream/chestnutstream"
)

// placementHarness is one placement under test and the outcome of each request.
type placementHarness struct {
	p          *Placement
	outcome    map[string]string // by request: its server or refusal
	dispatched map[string]Dispatch
	unusable   map[chestnutstream.LoadName]bool // reported as not loaded or as the wrong adapter
}

func newPlacementHarness(policy chestnutstream.PlacementPolicy) *placementHarness {
	return &placementHarness{NewPlacement("z", DefaultPlacementSettings(), policy), map[string]string{}, map[string]Dispatch{}, map[chestnutstream.LoadName]bool{}}
}

func avOf(i int) chestnutstream.AdapterVersion {
	return chestnutstream.AdapterVersion{Adapter: fmt.Sprintf("a%d", i), Version: "v1"}
}

func (x *placementHarness) step(t *rapid.T, now time.Time, ready map[string]map[chestnutstream.LoadName]bool, wantVersion map[string]chestnutstream.AdapterVersion, event any) {
	for _, action := range x.p.Step(now, event) {
		switch a := action.(type) {
		case Dispatch:
			if x.outcome[a.ID] != "" {
				t.Fatalf("%s is placed on %s after %s", a.ID, a.Server, x.outcome[a.ID])
			}
			if !ready[a.Server][a.Name] || x.unusable[a.Name] {
				t.Fatalf("%s goes to %s, which has no %s ready", a.ID, a.Server, a.Name)
			}
			if av, err := a.Name.AdapterVersion(); err != nil || av != wantVersion[a.ID] {
				t.Fatalf("%s needs %s but is dispatched to %s", a.ID, wantVersion[a.ID], a.Name)
			}
			x.outcome[a.ID] = a.Server
			x.dispatched[a.ID] = a
		case Refuse:
			if x.outcome[a.ID] != "" {
				t.Fatalf("%s is refused after %s", a.ID, x.outcome[a.ID])
			}
			x.outcome[a.ID] = "refused: " + a.Code
		}
	}
}

// For the same events the default and the naive policy keep the same rules: a
// request goes to a server that has its adapter version ready under a valid
// report lease, is placed or refused once, and is not lost. The policies differ
// only in server and time.
func TestPoliciesKeepTheSameRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		harnesses := []*placementHarness{newPlacementHarness(DefaultPlacement{}), newPlacementHarness(NaivePlacement{Seed: "s", Zone: "z"})}
		servers := []string{"s0", "s1", "s2"}
		settings := []chestnutstream.ServerSettings{}
		for _, name := range servers {
			settings = append(settings, chestnutstream.ServerSettings{Name: name, Zone: "z", BaseModel: "base", Address: "x", ChecksFencingTokens: true})
		}
		ready := map[string]map[chestnutstream.LoadName]bool{}
		wantVersion := map[string]chestnutstream.AdapterVersion{}
		leaseUntil := time.Time{}
		limits := QueueLimits{PerAdapter: 4, Total: 8}
		stepAll := func(event any) {
			for _, x := range harnesses {
				x.step(t, now, ready, wantVersion, event)
			}
		}
		stepAll(Servers{Servers: settings})
		stepAll(PlacementTick{Limits: limits})
		submitted, loads := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				submitted++
				id := fmt.Sprintf("r%d", submitted)
				wantVersion[id] = avOf(rapid.IntRange(0, 3).Draw(t, "adapter"))
				stepAll(Submit{PendingRequest{
					ID: id, AdapterVersion: wantVersion[id], BaseModel: "base", Class: "c",
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
				stepAll(ServerReported{Owner: "o", Fence: 1, Report: r})
			},
			"promise": func(t *rapid.T) {
				leaseUntil = now.Add(time.Duration(rapid.IntRange(0, 10).Draw(t, "seconds")) * time.Second)
				stepAll(ReportLeaseExtended{Owner: "o", Until: leaseUntil})
			},
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				stepAll(PlacementTick{Limits: limits})
			},
			"finish": func(t *rapid.T) {
				failure := rapid.SampledFrom([]Failure{NoFailure, NotLoaded, Unreachable, WrongAdapter, Busy}).Draw(t, "failure")
				for _, x := range harnesses {
					for id, d := range x.dispatched {
						delete(x.dispatched, id)
						if failure == NotLoaded || failure == WrongAdapter {
							x.unusable[d.Name] = true
						}
						x.step(t, now, ready, wantVersion, Finished{id, failure})
						break
					}
				}
			},
			"": func(t *rapid.T) {
				for _, x := range harnesses {
					queued, running := x.p.RequestCounts()
					if queued > limits.Total {
						t.Fatalf("%d requests are queued", queued)
					}
					if running != len(x.dispatched) {
						t.Fatalf("%d requests are running, %d were dispatched", running, len(x.dispatched))
					}
					if queued+len(x.outcome) != submitted {
						t.Fatalf("%d queued and %d ended, of %d submitted", queued, len(x.outcome), submitted)
					}
				}
			},
		})
		now = now.Add(time.Hour)
		stepAll(PlacementTick{Limits: limits})
		for _, x := range harnesses {
			if len(x.outcome) != submitted {
				t.Fatalf("%d of %d requests ended", len(x.outcome), submitted)
			}
		}
	})
}

// A non-urgent request must be served although urgent requests arrive faster
// than they can be served. When the queue is full, the least urgent request is
// shed.
func TestNonUrgentIsServedAndLeastUrgentIsShed(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPlacement("z", DefaultPlacementSettings(), DefaultPlacement{})
	limits := QueueLimits{PerAdapter: 3000, Total: 3000}
	name := chestnutstream.NewLoadName(avOf(0), "1")
	p.Step(now, Servers{Servers: []chestnutstream.ServerSettings{{Name: "s", Zone: "z", BaseModel: "base", Address: "x", ChecksFencingTokens: true}}})
	p.Step(now, ReportLeaseExtended{Owner: "o", Until: now.Add(time.Hour)})
	p.Step(now, PlacementTick{Limits: limits})
	report := ServerReported{Owner: "o", Fence: 1, Report: chestnutstream.ServerReport{
		Server: "s", Reachable: true, BatchLimit: 1, SlotLimit: 1,
		Slots: []chestnutstream.Slot{{Name: name, AdapterVersion: avOf(0), State: chestnutstream.SlotReady}},
	}}
	p.Step(now, report)
	submit := func(id string, urgency int) []Action {
		return p.Step(now, Submit{PendingRequest{ID: id, AdapterVersion: avOf(0), BaseModel: "base", Urgency: urgency, Deadline: now.Add(time.Hour)}})
	}
	running := []string{}
	nonUrgentAt := -1
	recordDispatches := func(actions []Action) {
		for _, a := range actions {
			if d, ok := a.(Dispatch); ok {
				running = append(running, d.ID)
				if d.ID == "non-urgent" {
					nonUrgentAt = 0
				}
			}
		}
	}
	recordDispatches(submit("non-urgent-0", 10))
	recordDispatches(submit("non-urgent", 10))
	for i := range 2000 {
		now = now.Add(100 * time.Millisecond)
		recordDispatches(submit(fmt.Sprintf("u%d", i), 90))
		if i%2 == 0 && len(running) > 0 {
			id := running[0]
			running = running[1:]
			recordDispatches(p.Step(now, Finished{ID: id}))
		}
		recordDispatches(p.Step(now, PlacementTick{Limits: limits}))
	}
	assert.Equal(t, nonUrgentAt, 0, "the non-urgent request was never served")

	full := NewPlacement("z", DefaultPlacementSettings(), DefaultPlacement{})
	full.Step(now, PlacementTick{Limits: QueueLimits{PerAdapter: 9, Total: 2}})
	submitFull := func(id string, urgency int) []Action {
		return full.Step(now, Submit{PendingRequest{ID: id, AdapterVersion: avOf(1), BaseModel: "base", Urgency: urgency, Deadline: now.Add(time.Hour)}})
	}
	assert.Equal(t, len(submitFull("a", 10)), 0)
	assert.Equal(t, len(submitFull("b", 50)), 0)
	assert.DeepEqual(t, submitFull("c", 90), []Action{Refuse{ID: "a", Code: "shed", RetryAfter: time.Second}})
	assert.DeepEqual(t, submitFull("d", 20), []Action{Refuse{ID: "d", Code: "queue-full", RetryAfter: time.Second}})
}
