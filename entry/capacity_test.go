package entry

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/engine"
	"github.com/chestnutstream/chestnutstream/operator"
	"github.com/chestnutstream/chestnutstream/peer"
	"github.com/chestnutstream/chestnutstream/timer"
)

// fleetSize is the size of one region at a share of the fleet that is expected in
// two years.
type fleetSize struct {
	name      string
	instances int // of the region
	servers   int // engines of the region
	adapters  int // of the whole fleet
}

// fleetSizes are 10%, 30% and 100% of a fleet of 420 instances, 1,900 servers
// and 12,000 adapters in 4 regions. The adapters are those of the whole fleet.
var fleetSizes = []fleetSize{
	{"10%", 11, 48, 1200},
	{"30%", 32, 143, 3600},
	{"100%", 105, 475, 12000},
}

const (
	zonesPerRegion      = 4
	slotsPerServer      = 8
	adapterTeams        = 100
	requestsPerInstance = 88 // in progress: 11 per second of 8 s each
)

func loadName(server, slot, adapters int) chestnutstream.LoadName {
	av := chestnutstream.AdapterVersion{Adapter: fmt.Sprintf("adapter-%05d", (server*slotsPerServer+slot)%adapters), Version: "v12"}
	return chestnutstream.NewLoadName(av, fmt.Sprintf("entry-%03d.%x.%d", server, 1<<21+server, slot))
}

func serverName(i int) string   { return fmt.Sprintf("engine-%04d", i) }
func instanceName(i int) string { return fmt.Sprintf("entry-%03d", i) }

func ownerReport(server int, size fleetSize) engine.OwnerReport {
	r := engine.OwnerReport{Fence: uint64(1<<21 + server), Report: chestnutstream.ServerReport{
		Server: serverName(server), Reachable: true, Running: 40, BatchLimit: 64, SlotLimit: slotsPerServer,
	}}
	for i := range slotsPerServer {
		name := loadName(server, i, size.adapters)
		av, _ := name.AdapterVersion()
		r.Report.Slots = append(r.Report.Slots, chestnutstream.Slot{Name: name, AdapterVersion: av, State: chestnutstream.SlotReady})
	}
	return r
}

// sections returns the sections of a configuration document of this size.
func (size fleetSize) sections() map[string][]byte {
	out := map[string][]byte{
		"classes": []byte("- {name: question, urgency: 80, timeout-ms: 60000, queue-limit: 1000}\n"),
	}
	var servers []byte
	for i := range size.servers * zonesPerRegion { // of all regions
		servers = fmt.Appendf(servers, "- {name: %s, kind: engine, availability-zone: zone-%d, base-model: base, checks-fencing-numbers: true, address: \"127.0.0.1:1\"}\n", serverName(i), i%13)
	}
	out["backend-servers"] = servers
	for t := range adapterTeams {
		var b []byte
		for i := t; i < size.adapters; i += adapterTeams {
			b = fmt.Appendf(b, "- {name: adapter-%05d, base-model: base, versions: [v11, v12], current: v12, may-use: [round-assistant]}\n", i)
		}
		out[fmt.Sprintf("adapters/team-%d", t)] = b
	}
	return out
}

func configurationHead(sections map[string][]byte, revision uint64) chestnutstream.Head {
	head := chestnutstream.Head{Revision: revision, Sections: map[string]chestnutstream.SectionHead{}}
	for name, b := range sections {
		head.Sections[name] = chestnutstream.SectionHead{Revision: revision, Hash: operator.HashSection(name, b)}
	}
	return head
}

// simulatedRegion is a node with its full knowledge of a region, but without
// sockets and with a manual clock.
type simulatedRegion struct {
	size  fleetSize
	node  *Node
	clock *timer.Manual
	seq   uint64
}

func newSimulatedRegion(tb testing.TB, size fleetSize) *simulatedRegion {
	tb.Helper()
	clock := timer.NewManual(time.Now())
	cfg := DefaultSettings()
	cfg.Name, cfg.Zone, cfg.Platform = instanceName(0), "zone-0", "127.0.0.1:1"
	cfg.PeerSecret, cfg.OperatorSecret = "0123456789abcdef", "0123456789abcdef"
	cfg.Timer, cfg.Log = clock, &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	r := &simulatedRegion{size: size, node: newNode(cfg), clock: clock}
	tb.Cleanup(r.node.stop)
	sections := size.sections()
	for name, b := range sections {
		r.node.adoption.Step(operator.ContentReceived{Section: name, Bytes: b})
	}
	a := r.node.adoption.Step(operator.HeadReceived{Head: configurationHead(sections, 1)})
	assert.NilError(tb, a.Err)
	r.node.activate(clock.Now(), a.Configuration)
	for i := 1; i < size.instances; i++ {
		r.receive(i, true)
	}
	r.acquireServers()
	r.submitRequests()
	return r
}

// peerState returns an ordinary State of instance i for this node. If full is
// set, it includes the servers that i owns and their reports.
func (r *simulatedRegion) peerState(i int, full bool) peer.State {
	r.seq++
	s := peer.State{Seq: r.seq, AckSeq: r.seq, AckIncarnation: r.node.incarnation, Version: 7, Applied: r.node.scheduler.Version(), Revision: 1}
	for server := i; server < r.size.servers; server += r.size.instances {
		s.LoadFigures = append(s.LoadFigures, peer.LoadFigures{Running: 40, Waiting: 1})
		if full {
			s.HasOwned = true
			s.Owned = append(s.Owned, serverName(server))
			s.Reports = append(s.Reports, ownerReport(server, r.size))
		}
	}
	s.Usage = map[chestnutstream.LoadName]int{loadName(0, i%slotsPerServer, r.size.adapters): 1}
	return s
}

func (r *simulatedRegion) receivedState(i int, full bool) peer.ReceivedState {
	now := r.clock.Now()
	return peer.ReceivedState{
		From: peer.Member{Name: instanceName(i), Address: "127.0.0.1:1", Region: "region", Zone: fmt.Sprintf("zone-%d", i%zonesPerRegion)}, Incarnation: uint64(i + 1),
		ReceivedAt: now, State: r.peerState(i, full), ReportLeaseUntil: now.Add(10 * time.Second),
	}
}

func (r *simulatedRegion) receive(i int, full bool) { r.node.HandleState(r.receivedState(i, full)) }

// acquireServers lets the node own its share of the servers.
func (r *simulatedRegion) acquireServers() {
	n := r.node
	now := r.clock.Now()
	n.mu.Lock()
	n.ownership.Step(now, engine.ZoneServers{Servers: r.ownedServers()})
	for _, s := range r.ownedServers() {
		n.ownership.Step(now, engine.Acquired{Server: s.Name, Fence: 1 << 21, SentAt: now.Add(time.Hour)})
	}
	n.mu.Unlock()
	n.tick(now)
	n.mu.Lock()
	for _, s := range r.ownedServers() {
		st := chestnutstream.EngineStatus{Epoch: "1", Fence: 1 << 21, BatchLimit: 64, SlotLimit: slotsPerServer}
		for i := range slotsPerServer {
			st.Slots = append(st.Slots, chestnutstream.EngineSlot{Name: loadName(0, i, r.size.adapters)})
		}
		n.scheduler.Step(now, engine.StatusRead{Server: s.Name, Status: st, SentAt: now})
	}
	n.mu.Unlock()
	n.tick(now)
}

func (r *simulatedRegion) ownedServers() []chestnutstream.ServerSettings {
	var out []chestnutstream.ServerSettings
	for server := 0; server < r.size.servers; server += r.size.instances {
		out = append(out, chestnutstream.ServerSettings{Name: serverName(server), Kind: chestnutstream.KindEngine, Zone: "zone-0", ChecksFencingTokens: true})
	}
	return out
}

// submitRequests submits the node's share of requests.
func (r *simulatedRegion) submitRequests() {
	r.node.mu.Lock()
	defer r.node.mu.Unlock()
	for i := range requestsPerInstance {
		name := loadName(i%r.size.servers, i%slotsPerServer, r.size.adapters)
		av, _ := name.AdapterVersion()
		r.node.placement.Step(r.clock.Now(), engine.Submit{Request: engine.PendingRequest{
			ID: fmt.Sprint(i), AdapterVersion: av, BaseModel: "base", Class: "question", Urgency: 80, Deadline: r.clock.Now().Add(time.Hour),
		}})
	}
}

func forEachFleetSize(b *testing.B, f func(b *testing.B, r *simulatedRegion)) {
	for _, size := range fleetSizes {
		b.Run(size.name, func(b *testing.B) {
			r := newSimulatedRegion(b, size)
			b.ReportAllocs()
			b.ResetTimer()
			f(b, r)
		})
	}
}

// BenchmarkDecisionTick measures a decision tick without any event.
func BenchmarkDecisionTick(b *testing.B) {
	forEachFleetSize(b, func(b *testing.B, r *simulatedRegion) {
		for b.Loop() {
			r.clock.Advance(idleDecisionPeriod)
			r.node.tick(r.clock.Now())
		}
	})
}

// BenchmarkHandleState measures processing of an ordinary State of a peer.
func BenchmarkHandleState(b *testing.B) {
	forEachFleetSize(b, func(b *testing.B, r *simulatedRegion) {
		i := 0
		for b.Loop() {
			i = i%(r.size.instances-1) + 1
			r.receive(i, false)
		}
	})
}

// BenchmarkBuildState measures building and encoding of an ordinary State, and
// reports its size.
func BenchmarkBuildState(b *testing.B) {
	forEachFleetSize(b, func(b *testing.B, r *simulatedRegion) {
		i, size := 0, 0
		for b.Loop() {
			i = i%(r.size.instances-1) + 1
			frame, err := peer.Encode(r.node.BuildState(instanceName(i), r.node.scheduler.Version()))
			if err != nil {
				b.Fatal(err)
			}
			size += len(frame)
		}
		b.ReportMetric(float64(size)/float64(b.N), "bytes/state")
	})
}

// BenchmarkHandleSlotChange measures processing of a State in which the slots of
// one server changed, and reports its size.
func BenchmarkHandleSlotChange(b *testing.B) {
	forEachFleetSize(b, func(b *testing.B, r *simulatedRegion) {
		received := r.receivedState(1, false)
		received.State.Reports = []engine.OwnerReport{ownerReport(1, r.size)}
		frame, err := peer.Encode(received.State)
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			r.node.HandleState(received)
		}
		b.ReportMetric(float64(len(frame)), "bytes/state")
	})
}

// BenchmarkAdoptSection measures adoption of a change to one section of adapters.
func BenchmarkAdoptSection(b *testing.B) {
	forEachFleetSize(b, func(b *testing.B, r *simulatedRegion) {
		r.node.mu.Lock()
		defer r.node.mu.Unlock()
		sections := r.size.sections()
		base := sections["adapters/team-0"]
		revision := uint64(1)
		size := 0
		for b.Loop() {
			revision++
			body := fmt.Appendf(nil, "%s# %d\n", base, revision)
			sections["adapters/team-0"] = body
			size = len(body)
			r.node.adoption.Step(operator.ContentReceived{Section: "adapters/team-0", Bytes: body})
			if a := r.node.adoption.Step(operator.HeadReceived{Head: configurationHead(sections, revision)}); a.Configuration == nil {
				b.Fatal(a.Err, a.Missing)
			}
		}
		b.ReportMetric(float64(size), "bytes/section")
	})
}

// BenchmarkPlace measures placing and finishing a request.
func BenchmarkPlace(b *testing.B) {
	forEachFleetSize(b, func(b *testing.B, r *simulatedRegion) {
		r.node.mu.Lock()
		defer r.node.mu.Unlock()
		i := 0
		for b.Loop() {
			i++
			name := loadName(i%r.size.servers, i%slotsPerServer, r.size.adapters)
			av, _ := name.AdapterVersion()
			id := fmt.Sprintf("p%d", i)
			now := r.clock.Now()
			r.node.placement.Step(now, engine.Submit{Request: engine.PendingRequest{
				ID: id, AdapterVersion: av, BaseModel: "base", Class: "question", Urgency: 80, Deadline: now.Add(time.Hour),
			}})
			r.node.placement.Step(now, engine.Finished{ID: id})
		}
	})
}

// BenchmarkNodeMemory reports the live heap of a node's state.
func BenchmarkNodeMemory(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(size.name, func(b *testing.B) {
			for b.Loop() {
				before := liveHeapBytes()
				r := newSimulatedRegion(b, size)
				after := liveHeapBytes()
				b.ReportMetric(float64(after-before)/1e6, "MB/node")
				runtime.KeepAlive(r)
			}
		})
	}
}

func liveHeapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
