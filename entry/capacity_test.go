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

// fleetSize is a share of one region of the fleet of two years from now.
type fleetSize struct {
	name     string
	nodes    int // instances of the region
	servers  int // engines of the region
	adapters int // of the fleet
}

// fleetSizes are 10%, 30% and 100% of 420 nodes, 1,900 servers and 12,000
// adapters over 4 regions; the adapters are those of the whole fleet.
var fleetSizes = []fleetSize{
	{"10%", 11, 48, 1200},
	{"30%", 32, 143, 3600},
	{"100%", 105, 475, 12000},
}

const (
	zonesOfRegion  = 4
	slotsOfServer  = 8
	adapterTeams   = 100
	requestsOfNode = 88 // in progress: 11 a second of 8 s each
)

func loadNameOf(server, slot, adapters int) chestnutstream.LoadName {
	av := chestnutstream.AdapterVersion{Adapter: fmt.Sprintf("adapter-%05d", (server*slotsOfServer+slot)%adapters), Version: "v12"}
	return chestnutstream.NewLoadName(av, fmt.Sprintf("entry-%03d.%x.%d", server, 1<<21+server, slot))
}

func serverName(i int) string { return fmt.Sprintf("engine-%04d", i) }
func nodeName(i int) string   { return fmt.Sprintf("entry-%03d", i) }

func reportOf(server int, size fleetSize) engine.OwnerReport {
	r := engine.OwnerReport{Fence: uint64(1<<21 + server), Report: chestnutstream.ServerReport{
		Server: serverName(server), Reachable: true, Running: 40, BatchLimit: 64, SlotLimit: slotsOfServer,
	}}
	for i := range slotsOfServer {
		name := loadNameOf(server, i, size.adapters)
		av, _ := name.AdapterVersion()
		r.Report.Slots = append(r.Report.Slots, chestnutstream.Slot{Name: name, AdapterVersion: av, State: chestnutstream.SlotReady})
	}
	return r
}

// sections is a configuration document of the size.
func (size fleetSize) sections() map[string][]byte {
	out := map[string][]byte{
		"classes": []byte("- {name: question, urgency: 80, timeout-ms: 60000, queue-limit: 1000}\n"),
	}
	var servers []byte
	for i := range size.servers * zonesOfRegion { // of all regions
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

func headFor(sections map[string][]byte, revision uint64) chestnutstream.Head {
	head := chestnutstream.Head{Revision: revision, Sections: map[string]chestnutstream.SectionHead{}}
	for name, b := range sections {
		head.Sections[name] = chestnutstream.SectionHead{Revision: revision, Hash: operator.HashSection(name, b)}
	}
	return head
}

// region is a node with everything that it knows of its region, without
// sockets: its clock is moved by hand.
type region struct {
	size  fleetSize
	node  *Node
	clock *timer.Manual
	seq   uint64
}

func newRegion(tb testing.TB, size fleetSize) *region {
	tb.Helper()
	clock := timer.NewManual(time.Now())
	cfg := DefaultSettings()
	cfg.Name, cfg.Zone, cfg.Platform = nodeName(0), "zone-0", "127.0.0.1:1"
	cfg.PeerSecret, cfg.OperatorSecret = "0123456789abcdef", "0123456789abcdef"
	cfg.Timer, cfg.Log = clock, &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	r := &region{size: size, node: newNode(cfg), clock: clock}
	tb.Cleanup(r.node.stop)
	sections := size.sections()
	for name, b := range sections {
		r.node.adoption.Step(operator.ContentSeen{Section: name, Bytes: b})
	}
	a := r.node.adoption.Step(operator.HeadSeen{Head: headFor(sections, 1)})
	assert.NilError(tb, a.Err)
	r.node.inForce(clock.Now(), a.Configuration)
	for i := 1; i < size.nodes; i++ {
		r.hear(i, true)
	}
	r.own()
	r.use()
	return r
}

// state returns what node i tells this node in an ordinary State.
func (r *region) state(i int, full bool) peer.State {
	r.seq++
	s := peer.State{Seq: r.seq, AckSeq: r.seq, AckIncarnation: r.node.run, Version: 7, Applied: r.node.scheduler.Version(), Revision: 1}
	for server := i; server < r.size.servers; server += r.size.nodes {
		s.Loads = append(s.Loads, peer.Figures{Running: 40, Waiting: 1})
		if full {
			s.HasOwned = true
			s.Owned = append(s.Owned, serverName(server))
			s.Reports = append(s.Reports, reportOf(server, r.size))
		}
	}
	s.Uses = map[chestnutstream.LoadName]int{loadNameOf(0, i%slotsOfServer, r.size.adapters): 1}
	return s
}

func (r *region) heard(i int, full bool) peer.Heard {
	now := r.clock.Now()
	return peer.Heard{
		From: peer.Member{Name: nodeName(i), Address: "127.0.0.1:1", Region: "region", Zone: fmt.Sprintf("zone-%d", i%zonesOfRegion)}, Incarnation: uint64(i + 1),
		At: now, State: r.state(i, full), PromisedUntil: now.Add(10 * time.Second),
	}
}

func (r *region) hear(i int, full bool) { r.node.StateHeard(r.heard(i, full)) }

// own gives the node its share of the servers.
func (r *region) own() {
	n := r.node
	now := r.clock.Now()
	n.mu.Lock()
	n.ownership.Step(now, engine.ZoneServers{Servers: r.owned()})
	for _, s := range r.owned() {
		n.ownership.Step(now, engine.Acquired{Server: s.Name, Fence: 1 << 21, SentAt: now.Add(time.Hour)})
	}
	n.mu.Unlock()
	n.tick(now)
	n.mu.Lock()
	for _, s := range r.owned() {
		st := chestnutstream.EngineStatus{Epoch: "1", Fence: 1 << 21, BatchLimit: 64, SlotLimit: slotsOfServer}
		for i := range slotsOfServer {
			st.Slots = append(st.Slots, chestnutstream.EngineSlot{Name: loadNameOf(0, i, r.size.adapters)})
		}
		n.scheduler.Step(now, engine.StatusRead{Server: s.Name, Status: st, SentAt: now})
	}
	n.mu.Unlock()
	n.tick(now)
}

func (r *region) owned() []chestnutstream.ServerSettings {
	var out []chestnutstream.ServerSettings
	for server := 0; server < r.size.servers; server += r.size.nodes {
		out = append(out, chestnutstream.ServerSettings{Name: serverName(server), Kind: chestnutstream.KindEngine, Zone: "zone-0", ChecksFences: true})
	}
	return out
}

// use puts the node's share of requests in progress.
func (r *region) use() {
	r.node.mu.Lock()
	defer r.node.mu.Unlock()
	for i := range requestsOfNode {
		name := loadNameOf(i%r.size.servers, i%slotsOfServer, r.size.adapters)
		av, _ := name.AdapterVersion()
		r.node.placement.Step(r.clock.Now(), engine.Submit{Request: engine.Pending{
			ID: fmt.Sprint(i), AdapterVersion: av, BaseModel: "base", Class: "question", Urgency: 80, Deadline: r.clock.Now().Add(time.Hour),
		}})
	}
}

func eachSize(b *testing.B, f func(b *testing.B, r *region)) {
	for _, size := range fleetSizes {
		b.Run(size.name, func(b *testing.B) {
			r := newRegion(b, size)
			b.ReportAllocs()
			b.ResetTimer()
			f(b, r)
		})
	}
}

// BenchmarkDecisionTick is the cost of a tick in which nothing happened.
func BenchmarkDecisionTick(b *testing.B) {
	eachSize(b, func(b *testing.B, r *region) {
		for b.Loop() {
			r.clock.Advance(idlePeriod)
			r.node.tick(r.clock.Now())
		}
	})
}

// BenchmarkStateHeard is the cost of taking an ordinary State of a peer.
func BenchmarkStateHeard(b *testing.B) {
	eachSize(b, func(b *testing.B, r *region) {
		i := 0
		for b.Loop() {
			i = i%(r.size.nodes-1) + 1
			r.hear(i, false)
		}
	})
}

// BenchmarkStateTold is the cost of building and encoding an ordinary State, and
// reports its size.
func BenchmarkStateTold(b *testing.B) {
	eachSize(b, func(b *testing.B, r *region) {
		i, size := 0, 0
		for b.Loop() {
			i = i%(r.size.nodes-1) + 1
			frame, err := peer.Encode(r.node.BuildState(nodeName(i), r.node.scheduler.Version()))
			if err != nil {
				b.Fatal(err)
			}
			size += len(frame)
		}
		b.ReportMetric(float64(size)/float64(b.N), "bytes/state")
	})
}

// BenchmarkSlotChangeHeard is the cost of hearing that one server's slots
// changed, and reports the size of that State.
func BenchmarkSlotChangeHeard(b *testing.B) {
	eachSize(b, func(b *testing.B, r *region) {
		h := r.heard(1, false)
		h.State.Reports = []engine.OwnerReport{reportOf(1, r.size)}
		frame, err := peer.Encode(h.State)
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			r.node.StateHeard(h)
		}
		b.ReportMetric(float64(len(frame)), "bytes/state")
	})
}

// BenchmarkSectionAdopted is the cost of a change of one section of adapters.
func BenchmarkSectionAdopted(b *testing.B) {
	eachSize(b, func(b *testing.B, r *region) {
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
			r.node.adoption.Step(operator.ContentSeen{Section: "adapters/team-0", Bytes: body})
			if a := r.node.adoption.Step(operator.HeadSeen{Head: headFor(sections, revision)}); a.Configuration == nil {
				b.Fatal(a.Err, a.Missing)
			}
		}
		b.ReportMetric(float64(size), "bytes/section")
	})
}

// BenchmarkPlace is the cost of placing a request and ending it.
func BenchmarkPlace(b *testing.B) {
	eachSize(b, func(b *testing.B, r *region) {
		r.node.mu.Lock()
		defer r.node.mu.Unlock()
		i := 0
		for b.Loop() {
			i++
			name := loadNameOf(i%r.size.servers, i%slotsOfServer, r.size.adapters)
			av, _ := name.AdapterVersion()
			id := fmt.Sprintf("p%d", i)
			now := r.clock.Now()
			r.node.placement.Step(now, engine.Submit{Request: engine.Pending{
				ID: id, AdapterVersion: av, BaseModel: "base", Class: "question", Urgency: 80, Deadline: now.Add(time.Hour),
			}})
			r.node.placement.Step(now, engine.Finished{ID: id})
		}
	})
}

// BenchmarkNodeMemory reports the live memory of a node's state.
func BenchmarkNodeMemory(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(size.name, func(b *testing.B) {
			for b.Loop() {
				before := liveBytes()
				r := newRegion(b, size)
				after := liveBytes()
				b.ReportMetric(float64(after-before)/1e6, "MB/node")
				runtime.KeepAlive(r)
			}
		})
	}
}

func liveBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
