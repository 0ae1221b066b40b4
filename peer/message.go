// Package peer speaks to the other entry instances over WebSocket and CBOR.
//
// Each instance dials each peer of its region and sends it its State: whenever
// something in it changed that the peer has to hear soon, and at an interval
// that grows with the number of peers, so that the cost per instance stays the
// same. A State is whole as far as the peer is concerned, and idempotent; there
// are no requests and replies. One message carries membership (it was heard),
// the configuration's revision, what the sender owns and has loaded, what it
// uses and wants of the receiver's servers, and the budget of the weight store.
//
// # Usage
//
//	m := peer.NewMesh(settings, node)
//	router.Handle(peer.Path, m)
//	m.Add(peer.Member{Name: "entry-b1", Address: "10.0.2.4:7001"})
//
// Promises: an owner's State that acknowledges sequence number n is a promise
// that holds for the validity counted from when the receiver sent n. So neither
// side has to trust the other's clock, and a late message extends nothing.
package peer

import (
	"time"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/engine"
)

// Path is the HTTP path of the peer protocol.
const Path = "/peer"

// Member is an instance as peers know it.
type Member struct {
	Name    string
	Address string // of the peer protocol, "host:port"
	Region  string
	Zone    string
}

// Hello is the first message of a connection.
type Hello struct {
	From        Member
	Incarnation uint64
	Members     []Member // whom the sender knows, for instances without a platform list
}

// State is what an instance tells a peer.
type State struct {
	Seq            uint64
	AckSeq         uint64 // newest sequence number heard from the receiver
	AckIncarnation uint64 // run of the receiver to which AckSeq and Applied belong
	Applied        uint64 // newest report version of the receiver that was applied
	Version        uint64 // report version of the sender
	Leaving        bool
	Gone           bool   // the sender stops now and uses nothing any more
	Revision       uint64 // of the configuration in force
	HasOwned       bool   // Owned is told: it changed since the receiver's version
	Owned          []string
	Reports        []engine.OwnerReport
	Loads          []Figures // of the servers that the sender owns, sorted by name
	Wants          []chestnutstream.Want
	Uses           map[chestnutstream.LoadName]int
	Quarantine     []chestnutstream.LoadName
	Asks           []engine.Ask // to the lead of the weight store's budget
	Granted        []string     // from the lead
	Servers        []ServiceState
}

// Figures are the load figures of a server as its engine reported them, late.
type Figures struct {
	Running, Waiting, Idle int
}

// ServiceState is the state of a plain service's server, told by the instance
// that probes it.
type ServiceState struct {
	Server  string
	Leaving bool
	Down    bool
}

// ConfigurationWanted asks for the sections that the sender lacks of a revision.
type ConfigurationWanted struct {
	Have []string // hashes of the contents that the sender has
}

// ConfigurationTold brings a head and the contents that the receiver lacked.
type ConfigurationTold struct {
	Head     chestnutstream.Head
	Contents []SectionContent
}

// SectionContent is the content of one section.
type SectionContent struct {
	Section string
	Bytes   []byte
}

// Heard is a State with what the receiver knows about its arrival.
type Heard struct {
	From        Member
	Incarnation uint64
	At          time.Time
	State       State
	// PromisedUntil is set when the State acknowledges a message of this run of
	// the receiver: the end of the promise that it carries.
	PromisedUntil time.Time
}
