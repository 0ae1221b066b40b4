// Package peer exchanges state with the other entry instances over WebSocket and
// CBOR.
//
// Each instance dials each peer of its region and sends it its State: when
// something changed that the peer has to know soon, and at an interval that
// grows with the number of peers, so that the cost per instance stays the same.
// A State is complete with regard to its receiver, and idempotent; it has no
// reply. One message carries membership (by its arrival), the configuration's
// revision, what the sender owns and has loaded, its usage of and demand on the
// receiver's servers, and the permits of the weight store's budget.
//
// # Usage
//
//	m := peer.NewMesh(settings, node)
//	router.Handle(peer.Path, m)
//	m.Add(peer.Member{Name: "entry-b1@10.0.2.4:7001", Address: "10.0.2.4:7001"})
//
// # Report leases
//
// An owner's State that acknowledges sequence number n grants its receiver a
// report lease: the slots that the owner reported may be used for
// Settings.ReportLeaseDuration from the time at which the receiver sent n. So
// neither side depends on the other's clock, and a late message extends nothing.
package peer

import (
	"time"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/engine"
)

// Path is the HTTP path of the peer protocol.
const Path = "/peer"

// Member identifies an instance to its peers.
type Member struct {
	Name    string // its identity, see chestnutstream.InstanceIdentity; messages have the instance name
	Address string // of the peer protocol, "host:port"
	Region  string
	Zone    string
}

// Hello is the first message of a connection.
type Hello struct {
	From        Member
	Incarnation uint64
	Members     []Member // known to the sender; for instances that have no platform list
}

// State is the state that an instance sends to a peer.
type State struct {
	Seq            uint64
	AckSeq         uint64 // latest sequence number received from the receiver
	AckIncarnation uint64 // incarnation of the receiver to which AckSeq and Applied belong
	Applied        uint64 // latest report version of the receiver that was applied
	Version        uint64 // report version of the sender
	Leaving        bool   // the sender is draining
	Departed       bool   // the sender is stopping and uses no server any more
	Revision       uint64 // of the active configuration
	HasOwned       bool   // Owned is set; else it is unchanged since the last State on this connection
	Owned          []string
	Reports        []engine.OwnerReport
	LoadFigures    []LoadFigures // of the servers that the sender owns, sorted by their names
	Demand         []chestnutstream.Demand
	Usage          map[chestnutstream.LoadName]int
	Quarantine     []chestnutstream.LoadName
	PermitRequests []engine.PermitRequest // to the leader, which grants the weight store's budget
	GrantedPermits []string               // IDs, from the leader
	ServerHealth   []ServerHealth
}

// LoadFigures is the load of a server as its engine last reported it. Running and
// Waiting count requests; Idle counts slots that are free, or ready and not in
// use.
type LoadFigures struct {
	Running, Waiting, Idle int
}

// ServerHealth is the health of a plain service's server, as reported by the
// instance that probes it.
type ServerHealth struct {
	Server  string
	Leaving bool
	Down    bool
}

// ConfigurationRequest requests the active configuration, without the contents
// that the sender has.
type ConfigurationRequest struct {
	Have []string // hashes of the contents that the sender has
}

// ConfigurationUpdate is the response to a ConfigurationRequest: a head and the
// contents that the receiver lacks.
type ConfigurationUpdate struct {
	Head     chestnutstream.Head
	Contents []SectionContent
}

// SectionContent is the content of one section.
type SectionContent struct {
	Section string
	Bytes   []byte
}

// ReceivedState is a State together with the data of its arrival.
type ReceivedState struct {
	From        Member
	Incarnation uint64
	ReceivedAt  time.Time
	State       State
	// ReportLeaseUntil is the end of the report lease. It is zero if the State
	// acknowledges no message that this incarnation of the receiver sent lately.
	ReportLeaseUntil time.Time
}
