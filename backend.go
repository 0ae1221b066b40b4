package chestnutstream

import "time"

// BackendState is the state under which a backend server registers itself.
type BackendState string

// The states of backend servers. A draining server gets no new work.
const (
	BackendReady    BackendState = "ready"
	BackendDraining BackendState = "draining"
)

// Backend is a backend server's entry in the platform's list. ID and Born
// together identify one process; a server that restarts under the same ID has
// nothing loaded.
type Backend struct {
	ID      string
	Born    int64 // process start in Unix milliseconds
	Service string
	Address string // "host:port"
	Zone    string
	Slots   int
	State   BackendState
	Models  []LoadedModel // as of the last entry; later orders are not included
	// Software is the version of the server's software, "" if unknown. A stream continues
	// only on the version that began it, and never if that is unknown.
	Software string
}

// LoadedModel is a base model loaded on an engine, with its loaded adapters.
type LoadedModel struct {
	Name     string
	Version  int
	Adapters []LoadedAdapter
}

// LoadedAdapter is a loaded adapter.
type LoadedAdapter struct {
	Name    string
	Version int
}

// ModelAdapter names an adapter of a base model; an empty Adapter is the base
// model itself.
type ModelAdapter struct {
	Model   string
	Adapter string
}

// String returns MODEL or MODEL/ADAPTER.
func (m ModelAdapter) String() string {
	if m.Adapter == "" {
		return m.Model
	}
	return m.Model + "/" + m.Adapter
}

// ResponseProgress is how far a backend server had got with a response when its
// connection ended.
type ResponseProgress string

// The stages of a response. A stream is under way once it has shown that the server
// can generate it: from its MinEventsUnderWay-th event on.
const (
	ResponseNone     ResponseProgress = "none"      // nothing has arrived; the request may not have begun to run
	ResponseBegun    ResponseProgress = "begun"     // the header has arrived
	ResponseUnderWay ResponseProgress = "under-way" // at least MinEventsUnderWay events have arrived
)

// MinEventsUnderWay is the number of events from which on a stream is under way.
const MinEventsUnderWay = 2

// Backpressure is the load signal that a backend server sends with a response.
type Backpressure struct {
	Leaving    bool          // the server takes no new work until it stops
	RateLimit  float64       // requests per second from all instances together; 0: no valid limit given
	Unlimited  bool          // no limit header at all; false for a limit that cannot be parsed
	RetryAfter time.Duration // Retry-After: send nothing from this instance for this long; 0: none given
	// Brittle is set if the server crashes when it has to reject more than MaxRejections
	// requests in a second for want of room; Sturdy if the response does not say so.
	Brittle       bool
	MaxRejections int
	Sturdy        bool
}

// Prompt describes the tokens of a request as its caller states them.
type Prompt struct {
	Tokens          int    // prompt tokens to prefill; 0: unknown
	MaxOutputTokens int    // maximum output tokens; 0: unknown
	SharedParts     string // the prompt parts shared with other requests, in order; "": none
	Parts           []PromptPart
}

// PromptPart is a part of a prompt. An engine that keeps it behind the same parts, for the same
// model and adapter version, need not prefill it again.
type PromptPart struct {
	ID     string
	Tokens int
	Own    bool // it belongs to the request or to its session
}

// BackendReport is the state that an engine reports about itself. It is some
// hundred milliseconds old.
type BackendReport struct {
	Born       int64
	OrderCount int // orders accepted since the process started
	Busy       bool
	Running    int
	Queued     int
	Models     []LoadedModel
	Pending    []PendingAdapter
}

// PendingAdapter is an adapter that an engine is still loading.
type PendingAdapter struct {
	ModelAdapter
	Version int
}

// OrderKind is the operation that an order instructs an engine to do.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
)

// BackendOrder is an order to an engine. The engine refuses it unless the number
// of orders accepted so far equals OrderCount and it is the process that Backend
// identifies. The order is not sent after NotAfter on the boot clock.
type BackendOrder struct {
	Kind       OrderKind
	Target     ModelAdapter
	Version    int // of an adapter; 0: the newest
	OrderCount int
	Holder     string
	Fence      uint64
	NotAfter   time.Duration
	Poll       bool // it was sent before, and its response only tells whether it is complete
}

// OrderResult is the outcome of an order.
type OrderResult string

// The outcomes of orders. OrderUnknown means that no response came: the engine
// may have accepted the order, or may still carry it out if its condition holds.
const (
	OrderAccepted    OrderResult = "under-way"
	OrderSatisfied   OrderResult = "holds" // the engine is already in the requested state
	OrderConflict    OrderResult = "conflict"
	OrderFenced      OrderResult = "fenced"
	OrderMisdirected OrderResult = "misplaced" // another server has the address
	OrderRejected    OrderResult = "rejected"
	OrderUnknown     OrderResult = "unknown"
)
