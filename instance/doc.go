// Package instance implements the protocol between the instances of the system on
// the users' platform, over WebSocket and CBOR.
//
// Each instance dials every other one and sends only on the connections that it
// dialled; it receives on the connections that the others dialled. A frame is one
// Bundle: all messages collected since the last frame. Nothing is acknowledged or
// retransmitted: messages lost with a connection are requested again by whoever
// waits for them.
//
// # Usage
//
//	m := instance.NewMesh(settings, handler)
//	router.Handle(instance.Path, m)
//	id := chestnutstream.InstanceIdentity("edge-a-1", "10.1.0.38:8144", incarnation)
//	m.Add(instance.Member{Name: id, Address: "10.1.0.38:8144"})
//	m.Send(id, func(b *instance.Bundle) { b.LoadRequests = append(b.LoadRequests, r) })
//
// A connection on which nothing arrives for a few heartbeats is considered lost and
// is dialled again.
//
// A member is an instance at its address: one of the same name at another address is
// another member, with a connection of its own.
package instance

import (
	"time"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/software"
	"github.com/chestnutstream/chestnutstream/workspace"
)

// Path is the HTTP path of the protocol.
const Path = "/instance"

// Member identifies an instance to the others.
type Member struct {
	Name    string // its identity, see chestnutstream.InstanceIdentity; of instances of earlier releases the name alone
	Address string // address of this protocol, "host:port"
	Zone    string
}

// Bundle is the content of one frame.
type Bundle struct {
	From             Member   // set in the first frame of a connection
	Incarnation      uint64   // incarnation of the sender's process, set in the first frame
	HasOwned         bool     // Owned is present, possibly empty
	Owned            []string // servers that the sender owns: it may send orders to them
	Draining         bool     // the sender is draining
	StateRequested   bool     // the sender does not know what the receiver's first frame says of it
	LoadRequests     []LoadRequest
	LoadResponses    []LoadResponse
	Usage            []Usage
	ConfigRequested  bool // the sender has no configuration and cannot read it from the store, or an older one than the receiver
	Config           []byte
	ConfigRowVersion uint64 // of the row of Config
	ConfigVersion    uint64 // version of the configuration that the sender has in force, set in the first frame; 0: it has none
	Servers          []chestnutstream.TableRow
	Versions         []chestnutstream.TableRow // rows that declare adapter versions
	EngineLoads      []EngineLoad              // loads of engines that the sender owns
	Prefills         []Prefill                 // prefills of large prompts that the sender has sent to engines
	SharedPrompts    []SharedPrompt            // shared beginnings of large prompts that the sender has sent to engines
	PrefillRequests  []PrefillRequest          // prefill requests for engines that the receiver owns
	PrefillResponses []PrefillResponse         // responses to PrefillRequests
	QuotaCharges     []QuotaCharge             // requests to charge to quotas that the receiver allocates; PermitResponses respond
	PacedServices    []string                  // services with prefill admission
	ServerNotices    []ServerNotice            // server states, reported in responses, that concern all instances
	RateLimits       []RateLimit               // rate limits of servers
	PermitRequests   []PermitRequest           // permit requests for servers with a rate limit
	PermitResponses  []PermitResponse          // responses to PermitRequests
	Evidence         []TraitEvidence           // evidence against parts of prompts
	EvidenceReplies  []TraitEvidence           // what the receiver's Evidence lacked
	SlotRequests     []SlotRequest             // requests for slots of brittle servers, and reports of those held
	SlotReports      []SlotReport              // further details for SlotRequests
	SlotResponses    []PermitResponse          // responses to SlotRequests
	BrittleServices  []BrittleService          // services whose servers are brittle, or no longer
	Rejections       []string                  // brittle servers that have rejected a request of the sender, one entry each
	HasCutOff        bool                      // CutOff is present, possibly empty
	CutOff           []string                  // services of which the sender reaches no server
	SoftwareRows     []chestnutstream.TableRow // software versions of services
	StreamOrigins    []software.Origin         // which software versions began streams
	OriginRequests   []OriginRequest           // requests for the origins of streams
	OriginResponses  []OriginResponse          // responses to OriginRequests
	RemovedServers   []RemovedServer           // servers whose entries were removed, as the sender is the first to know
	TableUpdates     []TableUpdate             // table changes that the sender has read for its availability zone
	QuotaReports     []workspace.Report        // the sender's shares of workspaces' limits, to their allocators and standbys
	QuotaShares      []workspace.Grant         // responses to QuotaReports
}

// LoadRequest requests that the owner of a server loads an adapter there.
type LoadRequest struct {
	Server  string
	Target  chestnutstream.ModelAdapter
	Version int
	Waiting int // waiting requests; 0 cancels the load request
}

// LoadResponse is the response to a LoadRequest: the adapter is loaded, or cannot be
// loaded for a while.
type LoadResponse struct {
	Server       string
	Target       chestnutstream.ModelAdapter
	Version      int
	Loaded       bool
	Pending      bool   // the load is in progress: another response follows
	RetryAfterMS int64  // set if the adapter is not loaded
	Reason       string // why the adapter is not loaded
	Unloaded     bool   // unsolicited: the adapter has been unloaded
}

// Usage reports the sender's usage of an adapter to the owner of its server.
type Usage struct {
	Server     string
	Target     chestnutstream.ModelAdapter
	Begun      int // requests begun since the last report
	InProgress int // requests in progress
}

// EngineLoad is the number of requests that all instances have in progress at an engine.
type EngineLoad struct {
	Server   string
	Requests int
}

// ServerNotice is the state that a server, identified by its start time, has reported in
// responses.
type ServerNotice struct {
	Server  string
	Born    int64
	Leaving bool
}

// RemovedServer is the removal of a server's entry, as the sender has read it.
type RemovedServer struct {
	Server     string
	RowVersion uint64
}

// RateLimit is the newest rate limit that a server, identified by its start time, has
// reported, in requests per second from all instances together.
type RateLimit struct {
	Server string
	Born   int64
	Rate   float64 // 0: it no longer has a limit
	AgeMS  int64   // age of the report
}

// PermitRequest requests a permit to send a request to a server that has a rate
// limit.
type PermitRequest struct {
	Server string
	ID     uint64  // chosen by the sender
	Rate   float64 // the server's rate limit as known to the sender
}

// QuotaCharge requests that the receiver charges a request of the sender to its own share of a
// workspace's quota. A PermitResponse responds.
type QuotaCharge struct {
	Workspace string
	ID        uint64 // chosen by the sender
	Cost      float64
}

// PermitResponse is the response to a PermitRequest.
type PermitResponse struct {
	Server string
	ID     uint64
	OK     bool
	WaitMS int64 // until a permit may be requested again
}

// TraitEvidence is what the sender knows of a part of prompts that may crash the
// servers of a service. Ages are in milliseconds; a negative age stands for never.
type TraitEvidence struct {
	Service       string
	ID            string
	SurvivedAgeMS int64 // of the latest response that got under way
	ProbedAgeMS   int64
	Probes        int
	Crashes       []TraitCrash
}

// TraitCrash is a crash of a server that may have been caused by a part of a prompt.
type TraitCrash struct {
	Server     string
	Born       int64 // start of the process
	AgeMS      int64
	Weight     float64  // as evidence; 1: the response had begun
	Companions []string // IDs of the unknown parts in the same prompts
}

// SlotRequest requests a slot of a brittle server, to which a PermitResponse responds. With
// ID 0 it only reports what the sender holds.
type SlotRequest struct {
	Server string
	ID     uint64 // chosen by the sender
	Held   int    // requests of the sender in progress there, without this one
	Slots  int    // of the server
	// Received counts the grants for the server that the sender has received.
	Received uint64
}

// SlotReport has what a SlotRequest to an instance of an earlier release cannot have.
type SlotReport struct {
	Server    string
	Abandoned int // of the requests that the sender holds: those that ended there before the server's response did
	// Load counts the requests that run and wait at the server, by a response to the sender just
	// now; -1: there is none.
	Load int
}

// BrittleService is what the servers of a service have last signalled.
type BrittleService struct {
	Service       string
	Brittle       bool
	MaxRejections int   // of one server in a second
	AgeMS         int64 // age of the signal
}

// OriginRequest requests the software version that began a stream.
type OriginRequest struct {
	ID     uint64 // chosen by the sender
	Stream software.StreamKey
}

// OriginResponse is the response to an OriginRequest.
type OriginResponse struct {
	ID       uint64
	Known    bool
	Software string
}

// Prefill is a large prompt that an engine has to prefill.
type Prefill struct {
	Server string
	Tokens int
}

// PrefillRequest requests that the owner of a server grants the prefill of a prompt
// there.
type PrefillRequest struct {
	Server    string
	ID        uint64 // chosen by the sender
	Target    chestnutstream.ModelAdapter
	Tokens    int // 0 cancels the request
	Priority  int
	OnTimeMS  int64 // time left until the latency target is missed
	UsefulMS  int64 // for how long a grant is of use
	MaxWaitMS int64 // maximum wait

	// Both are unset in requests of an earlier release, and in those that name no workspace.
	Workspace    string
	OutputTokens int // maximum output tokens
}

// PrefillState is the decision of an owner on a prefill request.
type PrefillState string

// The decisions on a prefill request. After PrefillQueued another one follows.
const (
	PrefillGranted PrefillState = "now"
	PrefillQueued  PrefillState = "later"
	PrefillRefused PrefillState = "never" // it would wait longer than its limit
)

// PrefillResponse is the response to a PrefillRequest.
type PrefillResponse struct {
	Server string
	ID     uint64
	State  PrefillState
	WaitMS int64 // estimated time until the grant
}

// TableUpdate is an update that the sender has read from the store: all changes of a
// table after the version After, up to the version To.
type TableUpdate struct {
	Table string
	After uint64
	To    uint64
	Rows  []chestnutstream.TableRow
	// ReadAt is when the store was read, by the clock of this process. A message states the
	// age instead.
	ReadAt time.Time
	From   string // instance that sent it, set on receipt
}

func (b *Bundle) empty() bool {
	return !b.HasOwned && !b.Draining && !b.StateRequested && len(b.LoadRequests) == 0 && len(b.LoadResponses) == 0 && len(b.Usage) == 0 && !b.ConfigRequested && b.Config == nil && b.ConfigVersion == 0 && len(b.Versions) == 0 && len(b.TableUpdates) == 0 && len(b.EngineLoads) == 0 && len(b.Prefills) == 0 && len(b.SharedPrompts) == 0 &&
		len(b.PrefillRequests) == 0 && len(b.PrefillResponses) == 0 && len(b.PacedServices) == 0 && len(b.ServerNotices) == 0 && len(b.RemovedServers) == 0 && len(b.RateLimits) == 0 && len(b.PermitRequests) == 0 && len(b.PermitResponses) == 0 &&
		len(b.Evidence) == 0 && len(b.EvidenceReplies) == 0 &&
		!b.HasCutOff && len(b.SlotRequests) == 0 && len(b.SlotReports) == 0 && len(b.SlotResponses) == 0 && len(b.BrittleServices) == 0 && len(b.Rejections) == 0 && len(b.SoftwareRows) == 0 && len(b.StreamOrigins) == 0 && len(b.OriginRequests) == 0 && len(b.OriginResponses) == 0 &&
		len(b.QuotaReports) == 0 && len(b.QuotaShares) == 0 && len(b.QuotaCharges) == 0
}
