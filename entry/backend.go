package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/engine"
	"github.com/chestnutstream/chestnutstream/operator"
)

var (
	_ operator.Backend      = (*Node)(nil)
	_ chestnutstream.Dumper = (*Node)(nil)
)

func formatRevision(r uint64) string { return fmt.Sprintf("revision %d", r) }

func splitList(s string) []string {
	var out []string
	for _, part := range strings.Split(s, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

// Document implements operator.Backend. It returns the active sections.
func (n *Node) Document() (chestnutstream.Head, map[string][]byte, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	cfg := n.adoption.Current()
	if cfg == nil {
		return chestnutstream.Head{}, nil, false
	}
	sections := map[string][]byte{}
	for name, s := range cfg.Head.Sections {
		if b, ok := n.adoption.Content(s.Hash); ok {
			sections[name] = b
		}
	}
	return cfg.Head, sections, true
}

// PutSection implements operator.Backend.
func (n *Node) PutSection(ctx context.Context, team, section string, base uint64, id string, body []byte) (operator.Change, error) {
	change, err := n.store.Put(ctx, team, section, base, id, body)
	if err == nil {
		n.recordTraceEvent(chestnutstream.TraceEvent{At: n.cfg.Timer.Now(), Subject: "configuration", Step: "put", Detail: fmt.Sprintf("section %s by %s, revision %d", section, team, change.Revision)})
		n.readHead()
	}
	return change, err
}

// CheckSection implements operator.Backend.
func (n *Node) CheckSection(section string, body []byte) error {
	head, sections, _ := n.Document()
	if sections == nil {
		sections = map[string][]byte{}
	}
	sections[section] = body
	_, err := operator.Assemble(head, sections)
	return err
}

// History implements operator.Backend.
func (n *Node) History(ctx context.Context) ([]operator.Change, error) { return n.store.History(ctx) }

// ActiveRevisions implements operator.Backend. It returns the active revision of each
// instance of the region, or 0 for one that has no configuration or is not alive.
func (n *Node) ActiveRevisions() map[string]uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := map[string]uint64{}
	now := n.cfg.Timer.Now()
	for name, p := range n.members.peers {
		out[name] = 0
		if now.Sub(p.receivedAt) < n.aliveTimeout() {
			out[name] = p.revision
		}
	}
	out[n.self.Name] = 0
	if cfg := n.config.Load(); cfg != nil {
		out[n.self.Name] = cfg.Revision()
	}
	return out
}

// Explain implements operator.Backend.
func (n *Node) Explain(subject string) []chestnutstream.TraceEvent { return n.trace.events(subject) }

type dumpPeer struct {
	Name       string `json:"name"`
	Zone       string `json:"availability-zone"`
	ReceivedMS int64  `json:"heard-ms-ago"`
	Leaving    bool   `json:"leaving"`
	Revision   uint64 `json:"revision"`
}

type dumpServer struct {
	Server     string     `json:"server"`
	Fence      uint64     `json:"fencing-number"`
	ValidForMS int64      `json:"valid-for-ms"`
	Reachable  bool       `json:"reachable"`
	Leaving    bool       `json:"leaving"`
	Running    int        `json:"running"`
	Waiting    int        `json:"waiting"`
	Slots      []dumpSlot `json:"slots"`
}

type dumpSlot struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

type dumpPermitRequest struct {
	ID       string  `json:"id"`
	Priority float64 `json:"priority"`
	Running  bool    `json:"running"`
}

// dumpState is the document that Dump writes.
type dumpState struct {
	Instance        string              `json:"instance"`
	Zone            string              `json:"availability-zone"`
	At              time.Time           `json:"at"`
	Draining        bool                `json:"draining"`
	Revision        uint64              `json:"configuration-revision"`
	Leader          string              `json:"weight-store-lead"`
	LoadsGranted    int                 `json:"loads-granted"`
	LeaseValidMS    int64               `json:"lease-valid-for-ms"`
	StoreResponseMS int64               `json:"store-heard-ms-ago"`
	Queued          int                 `json:"queued"`
	Running         int                 `json:"running"`
	Peers           []dumpPeer          `json:"peers"`
	Servers         []dumpServer        `json:"owned-servers"`
	PermitRequests  []dumpPermitRequest `json:"load-asks"`
	Quarantine      []string            `json:"quarantined-loads"`
	BytesSent       int64               `json:"peer-bytes-sent"`
	BytesReceived   int64               `json:"peer-bytes-received"`
	TableReads      int64               `json:"table-reads"`
	TableWrites     int64               `json:"table-writes"`
}

// Dump implements chestnutstream.Dumper. It writes the instance's state as JSON.
func (n *Node) Dump(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(n.snapshot()); err != nil {
		return fmt.Errorf("write dump: %w", err)
	}
	return nil
}

func (n *Node) snapshot() dumpState {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.cfg.Timer.Now()
	l := n.lease.State()
	d := dumpState{
		Instance: n.self.Name, Zone: n.self.Zone, At: now, Draining: n.draining.Load(), Leader: n.electLeader(now),
		LoadsGranted: n.permits.InFlight(), LeaseValidMS: l.ValidUntil.Sub(now).Milliseconds(),
		StoreResponseMS: now.Sub(l.LastResponseAt).Milliseconds(),
		Peers:           []dumpPeer{}, Servers: []dumpServer{}, PermitRequests: []dumpPermitRequest{}, Quarantine: []string{},
	}
	if cfg := n.config.Load(); cfg != nil {
		d.Revision = cfg.Revision()
	}
	d.Queued, d.Running = n.placement.RequestCounts()
	d.BytesSent, d.BytesReceived = n.mesh.Bytes()
	d.TableReads, d.TableWrites = n.platform.Operations()
	for name, p := range n.members.peers {
		d.Peers = append(d.Peers, dumpPeer{name, p.member.Zone, now.Sub(p.receivedAt).Milliseconds(), p.leaving, p.revision})
	}
	sort.Slice(d.Peers, func(i, j int) bool { return d.Peers[i].Name < d.Peers[j].Name })
	for _, r := range n.scheduler.Reports(0) {
		d.Servers = append(d.Servers, n.dumpServer(now, r))
	}
	for _, r := range n.scheduler.PermitRequests() {
		d.PermitRequests = append(d.PermitRequests, dumpPermitRequest(r))
	}
	for _, name := range n.placement.Quarantined() {
		d.Quarantine = append(d.Quarantine, string(name))
	}
	return d
}

func (n *Node) dumpServer(now time.Time, r engine.OwnerReport) dumpServer {
	s := dumpServer{
		Server: r.Report.Server, Fence: r.Fence, Reachable: r.Report.Reachable, Leaving: r.Report.Leaving,
		Running: r.Report.Running, Waiting: r.Report.Waiting, Slots: []dumpSlot{},
	}
	if h, ok := n.ownership.Valid(now, r.Report.Server); ok {
		s.ValidForMS = h.NotAfter.Sub(now).Milliseconds()
	}
	for _, sl := range r.Report.Slots {
		s.Slots = append(s.Slots, dumpSlot{string(sl.Name), string(sl.State)})
	}
	return s
}

// updateMetrics sets the metrics that are derived from the state.
func (n *Node) updateMetrics() {
	d := n.snapshot()
	set := func(name string, v float64) { n.metrics.GetOrCreateFloatCounter(name).Set(v) }
	set("chestnutstream_configuration_revision", float64(d.Revision))
	set("chestnutstream_requests_queued", float64(d.Queued))
	set("chestnutstream_requests_running", float64(d.Running))
	set("chestnutstream_servers_owned", float64(len(d.Servers)))
	set("chestnutstream_load_asks", float64(len(d.PermitRequests)))
	set("chestnutstream_loads_granted", float64(d.LoadsGranted))
	set("chestnutstream_lease_valid_seconds", float64(d.LeaseValidMS)/1000)
	set("chestnutstream_peer_bytes_sent_total", float64(d.BytesSent))
	set("chestnutstream_peer_bytes_received_total", float64(d.BytesReceived))
	set("chestnutstream_table_reads_total", float64(d.TableReads))
	set("chestnutstream_table_writes_total", float64(d.TableWrites))
}
