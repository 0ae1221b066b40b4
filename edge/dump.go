package edge

import (
	"encoding/json"
	"net/http"

	"github.com/chestnutstream/chestnutstream/fleet"
	"github.com/chestnutstream/chestnutstream/quarantine"
)

type wireDump struct {
	Instance string           `json:"instance"`
	Zone     string           `json:"availability-zone"`
	Config   uint64           `json:"configuration-version"`
	Ready    bool             `json:"ready"`
	Lease    bool             `json:"lease-valid"`
	Peers    []string         `json:"peers"`
	Era      uint64           `json:"store-era"`
	Views    map[string]int64 `json:"view-ages-ms"` // by table of the platform's store
	Servers  []wireServer     `json:"servers"`
	Verdicts []wireVerdict    `json:"quarantine"`

	Workspaces []wireWorkspace `json:"workspaces,omitempty"` // with a limit
}

type wireVerdict struct {
	Service     string   `json:"service"`
	Trait       string   `json:"trait"`
	Signature   []string `json:"signature"` // traits that a request must have to be rejected
	Crashed     []string `json:"crashed"`   // servers
	LastCrashMS int64    `json:"last-crash-ms"`
	Probes      int      `json:"probes"`
	NextProbeMS int64    `json:"next-probe-ms"`
}

type wireServer struct {
	ID       string  `json:"id"`
	Service  string  `json:"service"`
	Zone     string  `json:"availability-zone"`
	Address  string  `json:"address"`
	State    string  `json:"state"`
	Owner    string  `json:"owner,omitempty"`
	InFlight int     `json:"in-flight"`
	Load     float64 `json:"load"`
	Limit    float64 `json:"limit-per-s,omitempty"` // requests from all instances
	Paused   int64   `json:"paused-ms,omitempty"`
	Slots    int     `json:"slots-taken,omitempty"`
	AllSlots int     `json:"slots,omitempty"`
	Pace     float64 `json:"pace"`  // by what it states; 1 is usual, 2 takes twice as long
	Speed    float64 `json:"speed"` // by what its responses show beyond that
}

// dump serves the state of the instance as JSON.
func (n *Node) dump(w http.ResponseWriter, _ *http.Request) {
	d := wireDump{Instance: n.cfg.Instance, Zone: n.cfg.Zone, Ready: n.Ready(), Era: n.store.Era(), Peers: n.mesh.Peers()}
	if t := n.routes.Load(); t != nil {
		d.Config = t.Version
	}
	n.mu.Lock()
	d.Lease = n.leases.Valid(n.boot())
	d.Views = n.viewAges()
	for _, s := range n.fleet.Servers() {
		d.Servers = append(d.Servers, n.dumpServer(s))
	}
	for _, v := range n.quarantine.Verdicts() {
		d.Verdicts = append(d.Verdicts, n.dumpVerdict(v))
	}
	n.mu.Unlock()
	d.Workspaces = n.quotas.dump()
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(d); err != nil {
		n.log.WithError(err).Warn("writing the dump failed")
	}
}

func (n *Node) dumpServer(s *fleet.Server) wireServer {
	limit, _ := s.Limit()
	out := wireServer{
		ID: s.ID, Service: s.Service, Zone: s.Zone, Address: s.Address, State: string(s.State),
		Owner: n.ownerOf(s.ID), InFlight: s.InFlight, Load: s.Load(n.now()),
		Limit: limit, Paused: s.Paused(n.now()).Milliseconds(),
	}
	out.Pace, out.Speed = s.PaceAndSpeed(n.now())
	if e := n.loaders[s.ID]; e != nil {
		out.Slots, out.AllSlots = e.Slots()
	}
	return out
}

// dumpVerdict returns the dump of a verdict. Callers hold mu.
func (n *Node) dumpVerdict(v quarantine.Verdict) wireVerdict {
	now, e := n.now(), v.Evidence
	out := wireVerdict{
		Service: e.Trait.Service, Trait: e.Trait.ID, Signature: v.Signature, Probes: e.Probes,
		LastCrashMS: now.Sub(e.Crashes[len(e.Crashes)-1].At).Milliseconds(), NextProbeMS: v.RetryAfter(now).Milliseconds(),
	}
	for _, c := range e.Crashes {
		out.Crashed = append(out.Crashed, c.Server)
	}
	return out
}
