package load

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/entry"
	"github.com/chestnutstream/chestnutstream/operator"
	"github.com/chestnutstream/chestnutstream/platform"
	"github.com/chestnutstream/chestnutstream/standin"
	"github.com/chestnutstream/chestnutstream/timer"
)

// Class is a request class of a deployment with its arrival rate.
type Class struct {
	Name    string
	Urgency int
	Timeout time.Duration
	Rate    float64 // arrivals per second
	Tokens  int     // generated tokens per response; 0 for calls of the plain service
}

// Spec specifies a deployment and its load.
type Spec struct {
	Name           string
	Zones          int
	Entries        int
	Engines        int
	Services       int
	ServiceName    string
	Adapters       int
	Teams          int // number of configuration sections that the adapters are divided among
	LoadsPerSecond float64
	Measures       chestnutstream.ObjectiveWeights
	Classes        []Class
	Skew           float64 // exponent of the Zipf distribution of adapter popularity
	Step           time.Duration
	SlotLimit      int
	BatchLimit     int
}

// Names of the request classes that call the plain service.
const (
	ClassOrder  = "order"
	ClassLookup = "lookup"
)

// Deployments returns the specifications of the known deployments.
func Deployments() []Spec {
	return []Spec{
		{
			Name: "attiki", Zones: 4, Entries: 8, Engines: 9, Services: 4, ServiceName: "order-desk",
			Adapters: 3000, Teams: 10, LoadsPerSecond: 3, Skew: 1.2, Step: 30 * time.Millisecond, SlotLimit: 4, BatchLimit: 8,
			Measures: chestnutstream.ObjectiveWeights{LoadStall: 1, BatchEfficiency: 3},
			Classes: []Class{
				{Name: "receptionist-question", Urgency: 80, Timeout: 15 * time.Second, Rate: 7, Tokens: 24},
				{Name: "overnight-summary", Urgency: 10, Timeout: 90 * time.Second, Rate: 5, Tokens: 120},
				{Name: ClassOrder, Urgency: 90, Timeout: 5 * time.Second, Rate: 4},
				{Name: ClassLookup, Urgency: 70, Timeout: 5 * time.Second, Rate: 6},
			},
		},
		{
			Name: "nz-south", Zones: 3, Entries: 7, Engines: 9, Services: 3, ServiceName: "order-desk",
			Adapters: 3000, Teams: 3, LoadsPerSecond: 7, Skew: 1.2, Step: 30 * time.Millisecond, SlotLimit: 4, BatchLimit: 8,
			Measures: chestnutstream.ObjectiveWeights{LoadStall: 3, BatchEfficiency: 1},
			Classes: []Class{
				{Name: "doorway-question", Urgency: 90, Timeout: 10 * time.Second, Rate: 8, Tokens: 24},
				{Name: "catalogue-match", Urgency: 20, Timeout: 90 * time.Second, Rate: 6, Tokens: 96},
				{Name: ClassOrder, Urgency: 90, Timeout: 5 * time.Second, Rate: 3},
				{Name: ClassLookup, Urgency: 70, Timeout: 5 * time.Second, Rate: 5},
			},
		},
	}
}

// FindSpec returns the specification of the deployment with a name.
func FindSpec(name string) (Spec, error) {
	var names []string
	for _, s := range Deployments() {
		if s.Name == name {
			return s, nil
		}
		names = append(names, s.Name)
	}
	return Spec{}, fmt.Errorf("deployment %q: want one of %s", name, strings.Join(names, ", "))
}

// Secrets and identities in the deployments that this package starts on loopback.
const (
	PeerSecret     = "loopback-peer-secret"
	OperatorSecret = "loopback-operator-secret"
	CallerSecret   = "loopback-caller-secret"
	CallerName     = "round-assistant"
	OperatorTeam   = "platform-team"
)

// Server is a running stand-in for a backend server.
type Server struct {
	Name          string
	Zone          string
	Listener      *standin.Listener
	Engine        *standin.Engine  // nil for a plain service
	Service       *standin.Service // nil for an engine
	remoteAddress string           // address if it runs in another process
}

// Entry is a running entry instance.
type Entry struct {
	Name          string
	Zone          string
	Instance      *entry.Instance
	settings      entry.Settings
	remoteAddress string // address for callers if it runs in another process
}

// Deployment is a complete deployment, on loopback in this process unless it was
// made from a Target.
type Deployment struct {
	Spec             Spec
	Network          *Network
	Platform         *standin.Platform
	PlatformListener *standin.Listener
	Engines          []*Server
	Services         []*Server
	Entries          []*Entry
	Store            *operator.Store
	remotePlatform   string // address if it runs in another process
	cancel           context.CancelFunc
}

// Options configure a deployment that is started.
type Options struct {
	Seed   uint64
	Policy entry.Policy
	Log    log.Interface
}

// adapterName returns the name of the adapter with a popularity rank.
func adapterName(rank int) string { return fmt.Sprintf("round-%04d", rank) }

// zoneName returns the name of the i-th availability zone.
func zoneName(i int) string { return fmt.Sprintf("zone-%c", 'a'+i) }

// StartDeployment starts a deployment and waits until its instances are ready and
// all engines have owners. The caller must close it.
func StartDeployment(ctx context.Context, spec Spec, opts Options) (*Deployment, error) {
	ctx, cancel := context.WithCancel(ctx)
	d := &Deployment{Spec: spec, Network: NewNetwork(), cancel: cancel}
	if err := d.startStandins(ctx, opts); err != nil {
		d.Close()
		return nil, err
	}
	if err := d.putConfiguration(ctx); err != nil {
		d.Close()
		return nil, err
	}
	for i := range spec.Entries {
		s := d.entrySettings(i, opts)
		in, err := entry.Start(s)
		if err != nil {
			d.Close()
			return nil, fmt.Errorf("start %s: %w", s.Name, err)
		}
		d.Network.SetZone(in.CallerAddress, s.Zone)
		d.Network.SetZone(in.PeerAddress, s.Zone)
		d.Entries = append(d.Entries, &Entry{Name: s.Name, Zone: s.Zone, Instance: in, settings: s})
	}
	return d, d.waitReady(ctx)
}

func (d *Deployment) startStandins(ctx context.Context, opts Options) error {
	ps := standin.DefaultPlatformSettings()
	ps.LoadsPerSecond, ps.Seed = d.Spec.LoadsPerSecond, opts.Seed
	d.Platform = standin.NewPlatform(ps)
	ln, err := standin.Serve("127.0.0.1:0", d.Platform)
	if err != nil {
		return fmt.Errorf("start platform: %w", err)
	}
	d.PlatformListener = ln
	go d.Platform.WatchInstances(ctx, time.Second)
	for i := range d.Spec.Engines {
		es := standin.DefaultEngineSettings(fmt.Sprintf("assistant-%d", i+1))
		es.Platform, es.Zone, es.Step = ln.Address, zoneName(i%d.Spec.Zones), d.Spec.Step
		es.SlotLimit, es.BatchLimit, es.CheckFencingToken = d.Spec.SlotLimit, d.Spec.BatchLimit, checksFencingTokens(i)
		e := standin.NewEngine(es)
		if err := d.startServer(&d.Engines, &Server{Name: es.Name, Zone: es.Zone, Engine: e}); err != nil {
			return err
		}
	}
	for i := range d.Spec.Services {
		s := &Server{Name: fmt.Sprintf("%s-%d", d.Spec.ServiceName, i+1), Zone: zoneName(i % d.Spec.Zones)}
		s.Service = standin.NewService(s.Name)
		if err := d.startServer(&d.Services, s); err != nil {
			return err
		}
	}
	return nil
}

// checksFencingTokens reports whether the i-th engine refuses outdated fencing
// tokens: two in three do.
func checksFencingTokens(i int) bool { return i%3 != 2 }

// startServer starts the listener of a stand-in, registers it on the platform and
// appends it to list.
func (d *Deployment) startServer(list *[]*Server, s *Server) error {
	var err error
	if s.Engine != nil {
		s.Listener, err = standin.Serve("127.0.0.1:0", s.Engine)
	} else {
		s.Listener, err = standin.Serve("127.0.0.1:0", s.Service)
	}
	if err != nil {
		return fmt.Errorf("start %s: %w", s.Name, err)
	}
	d.Network.SetZone(s.Listener.Address, s.Zone)
	d.Platform.Register(standin.InstanceRow{
		Name: s.Name, Address: s.Listener.Address, Region: "region", Zone: s.Zone,
		Role: string(chestnutstream.RoleBackend), State: string(chestnutstream.Live),
	})
	*list = append(*list, s)
	return nil
}

func (d *Deployment) entrySettings(i int, opts Options) entry.Settings {
	s := entry.DefaultSettings()
	s.Zone = zoneName(i % d.Spec.Zones)
	s.Name = fmt.Sprintf("entry-%s%d", strings.TrimPrefix(s.Zone, "zone-"), i/d.Spec.Zones+1)
	s.CallerAddress, s.PeerAddress = "127.0.0.1:0", "127.0.0.1:0"
	s.Platform = d.PlatformListener.Address
	s.PeerSecret, s.OperatorSecret, s.CallerSecret = PeerSecret, OperatorSecret, CallerSecret
	s.Policy, s.Timer, s.Log = opts.Policy, timer.NewSystem(), opts.Log
	s.Dial = d.Network.Dial(s.Zone)
	return s
}

// Restart starts an entry instance again under its name, at new addresses. The old
// instance must have ended.
func (d *Deployment) Restart(e *Entry) error {
	s := e.settings
	s.CallerAddress, s.PeerAddress = "127.0.0.1:0", "127.0.0.1:0"
	in, err := entry.Start(s)
	if err != nil {
		return fmt.Errorf("restart %s: %w", e.Name, err)
	}
	d.Network.SetZone(in.CallerAddress, e.Zone)
	d.Network.SetZone(in.PeerAddress, e.Zone)
	e.Instance = in
	return nil
}

// Sections returns the initial sections of the deployment's configuration document
// by name.
func (d *Deployment) Sections() map[string][]byte {
	out := map[string][]byte{
		"measures": fmt.Appendf(nil, "load-stalls: %v\nbatch-efficiency: %v\n", d.Spec.Measures.LoadStall, d.Spec.Measures.BatchEfficiency),
		"limits":   fmt.Appendf(nil, "loads-in-flight: 16\nloads-per-second: %v\navailability-zones: %d\n", d.Spec.LoadsPerSecond, d.Spec.Zones),
		"services": fmt.Appendf(nil, "- name: %s\n  may-use: [%s]\n  idempotent:\n  - {method: GET, path: /stock}\n  - {method: GET, path: /route}\n  not-run-statuses: [503]\n", d.Spec.ServiceName, CallerName),
		"owners":   fmt.Appendf(nil, "- {section: owners, team: %s}\n", OperatorTeam),
	}
	var classes, servers bytes.Buffer
	for _, c := range d.Spec.Classes {
		fmt.Fprintf(&classes, "- {name: %s, urgency: %d, timeout-ms: %d, queue-limit: 512}\n", c.Name, c.Urgency, c.Timeout.Milliseconds())
	}
	for i, s := range d.Engines {
		fmt.Fprintf(&servers, "- {name: %s, kind: engine, availability-zone: %s, base-model: base, checks-fencing-numbers: %v}\n", s.Name, s.Zone, checksFencingTokens(i))
	}
	for _, s := range d.Services {
		fmt.Fprintf(&servers, "- {name: %s, kind: service, availability-zone: %s, service: %s}\n", s.Name, s.Zone, d.Spec.ServiceName)
	}
	out["classes"], out["backend-servers"] = classes.Bytes(), servers.Bytes()
	for t := range d.Spec.Teams {
		var b bytes.Buffer
		for i := t; i < d.Spec.Adapters; i += d.Spec.Teams {
			fmt.Fprintf(&b, "- {name: %s, base-model: base, versions: [v1, v2], current: v1, may-use: [%s]}\n", adapterName(i), CallerName)
		}
		out[fmt.Sprintf("adapters/team-%d", t)] = b.Bytes()
	}
	return out
}

// putConfiguration commits the configuration document section by section. The
// services section comes first because the servers refer to it.
func (d *Deployment) putConfiguration(ctx context.Context) error {
	c := platform.NewStore(d.PlatformListener.Address, 2*time.Second, nil)
	d.Store = operator.NewStore(c, c, time.Now)
	sections := d.Sections()
	order := []string{"services"}
	for name := range sections {
		if name != "services" {
			order = append(order, name)
		}
	}
	for _, name := range order {
		id := "start-" + strings.ReplaceAll(name, "/", "-")
		if _, err := d.Store.Put(ctx, OperatorTeam, name, 0, id, sections[name]); err != nil {
			return fmt.Errorf("put section %s: %w", name, err)
		}
	}
	return nil
}

// readyTimeout limits the start of a deployment.
const readyTimeout = 30 * time.Second

// waitReady waits until every instance accepts requests and every engine has an
// owner. It fails after readyTimeout.
func (d *Deployment) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		ready := true
		for _, e := range d.Entries {
			ready = ready && e.Instance.Ready()
		}
		if ready && d.ownedEngines() == len(d.Engines) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("deployment not ready in %v: %d of %d engines have an owner: %w", readyTimeout, d.ownedEngines(), len(d.Engines), ctx.Err())
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// ownedEngines returns the number of engines that have an owner.
func (d *Deployment) ownedEngines() int {
	n := 0
	for _, e := range d.Entries {
		n += e.Instance.OwnedServers()
	}
	return n
}

// Close stops all instances and stand-ins.
func (d *Deployment) Close() {
	d.cancel()
	for _, e := range d.Entries {
		e.Instance.Close()
	}
	for _, s := range append(append([]*Server{}, d.Engines...), d.Services...) {
		s.Listener.Close()
	}
	if d.PlatformListener != nil {
		d.PlatformListener.Close()
	}
}
