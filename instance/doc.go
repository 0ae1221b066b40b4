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
//	m.Add(instance.Member{Name: "edge-a-1", Address: "10.1.0.38:8144"})
//	m.Send("edge-a-1", func(b *instance.Bundle) { b.Wants = append(b.Wants, w) })
//
// A connection on which nothing arrives for a few heartbeats is considered lost and
// is dialled again.
package instance

import "github.com/chestnutstream/chestnutstream"

// Path is the HTTP path of the protocol.
const Path = "/instance"

// Member identifies an instance to the others.
type Member struct {
	Name    string
	Address string // address of this protocol, "host:port"
	Zone    string
}

// Bundle is the content of one frame.
type Bundle struct {
	From       Member   // set in the first frame of a connection
	Run        uint64   // incarnation of the sender's process, set in the first frame
	HasOwned   bool     // Owned is present, possibly empty
	Owned      []string // servers that the sender owns: it may send orders to them
	Leaving    bool     // the sender is draining
	Wants      []Want
	Got        []Got
	Used       []Use
	AskConfig  bool // the sender has no configuration and cannot read it from the store
	Config     []byte
	ConfigRow  uint64
	Servers    []chestnutstream.TableRow
	Versions   []chestnutstream.TableRow // rows that declare adapter versions
	Loads      []Load                    // loads of engines that the sender owns
	Reading    []Reading                 // prefills of large prompts that the sender has sent to engines
	Asks       []Ask                     // prefill requests for engines that the receiver owns
	Turns      []Turn                    // responses to Asks
	Paced      []string                  // services with prefill admission
	Said       []Said                    // server states, reported in responses, that concern all instances
	Limits     []Limit                   // rate limits of servers
	PermitAsks []PermitAsk               // permit requests for servers with a rate limit
	Permits    []Permit                  // responses to PermitAsks
	Fed        []Fed                     // table changes that the sender has read for its availability zone
}

// Want is a load request: it asks the owner of a server to load an adapter there.
type Want struct {
	Server  string
	Target  chestnutstream.ModelAdapter
	Version int
	Waiting int // waiting requests; 0 cancels the load request
}

// Got is the load response to a Want: the adapter is loaded, or cannot be loaded for
// a while.
type Got struct {
	Server       string
	Target       chestnutstream.ModelAdapter
	Version      int
	Held         bool
	Pending      bool   // the load is in progress: another response follows
	RetryAfterMS int64  // set if the adapter is not loaded
	Reason       string // why the adapter is not loaded
	Dropped      bool   // unsolicited: the adapter has been unloaded
}

// Use reports the sender's usage of an adapter to the owner of its server.
type Use struct {
	Server     string
	Target     chestnutstream.ModelAdapter
	Begun      int // requests begun since the last report
	InProgress int // requests in progress
}

// Load is the number of requests that all instances have in progress at an engine.
type Load struct {
	Server   string
	Requests int
}

// Said is the state that a server, identified by its start time, has reported in
// responses.
type Said struct {
	Server  string
	Born    int64
	Leaving bool
}

// Limit is the newest rate limit that a server, identified by its start time, has
// reported, in requests per second from all instances together.
type Limit struct {
	Server string
	Born   int64
	Rate   float64 // 0: it no longer has a limit
	AgeMS  int64   // age of the report
}

// PermitAsk is a permit request: it asks whether a request may be sent to a server
// that has a rate limit.
type PermitAsk struct {
	Server string
	ID     uint64  // chosen by the sender
	Rate   float64 // the server's rate limit as known to the sender
}

// Permit is the response to a PermitAsk.
type Permit struct {
	Server string
	ID     uint64
	OK     bool
	WaitMS int64 // until a permit may be requested again
}

// Reading is a large prompt that an engine has to prefill.
type Reading struct {
	Server string
	Tokens int
}

// Ask is a prefill request: it asks the owner of a server when a prompt may be sent
// there.
type Ask struct {
	Server   string
	ID       uint64 // chosen by the sender
	Target   chestnutstream.ModelAdapter
	Tokens   int // 0 cancels the request
	Priority int
	FreshMS  int64 // time left until the latency target is missed
	UntilMS  int64 // for how long a grant is of use
	LimitMS  int64 // maximum wait
}

// TurnState is the decision of an owner on a prefill request.
type TurnState string

// The decisions on a prefill request. After TurnLater another one follows.
const (
	TurnNow   TurnState = "now"
	TurnLater TurnState = "later"
	TurnNever TurnState = "never" // it would wait longer than its limit
)

// Turn is the response to an Ask.
type Turn struct {
	Server string
	ID     uint64
	State  TurnState
	WaitMS int64 // estimated time until the grant
}

// Fed is an update that the sender has read from the store: all changes of a table
// after the version After, up to the version To.
type Fed struct {
	Table string
	After uint64
	To    uint64
	Rows  []chestnutstream.TableRow
}

func (b *Bundle) empty() bool {
	return !b.HasOwned && !b.Leaving && len(b.Wants) == 0 && len(b.Got) == 0 && len(b.Used) == 0 && !b.AskConfig && b.Config == nil && len(b.Fed) == 0 && len(b.Loads) == 0 && len(b.Reading) == 0 &&
		len(b.Asks) == 0 && len(b.Turns) == 0 && len(b.Paced) == 0 && len(b.Said) == 0 && len(b.Limits) == 0 && len(b.PermitAsks) == 0 && len(b.Permits) == 0
}
