package chestnutstream

import "time"

// BackendState is the state of a backend server as it registers itself.
type BackendState string

// The states of backend servers. A draining server gets no new work.
const (
	BackendReady    BackendState = "ready"
	BackendDraining BackendState = "draining"
)

// Backend is a backend server as the platform's list has it. ID and Born name
// one start of it; a server that starts again under its ID holds nothing of
// before.
type Backend struct {
	ID      string
	Born    int64 // Unix milliseconds of its start
	Service string
	Address string // "host:port"
	Zone    string
	Slots   int
	State   BackendState
	Models  []HeldModel // as of its last entry; orders since do not show
}

// HeldModel is a base model on an engine, with the adapters loaded for it.
type HeldModel struct {
	Name     string
	Version  int
	Adapters []HeldAdapter
}

// HeldAdapter is a loaded adapter.
type HeldAdapter struct {
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

// Backpressure is what a backend server says in an answer of the work that it
// wants.
type Backpressure struct {
	Leaving   bool          // it takes no new work until its end
	Limit     float64       // requests a second that it takes from all instances together; 0: it names none
	Unlimited bool          // the answer names no limit; false also for one that cannot be read
	Pause     time.Duration // it wants nothing from this instance for so long; 0: it says none
}

// Prompt is what a request says of the tokens that an engine has to read.
type Prompt struct {
	Tokens int    // in all; 0: not said
	Output int    // tokens that the answer has at most; 0: not said
	Shared string // names the parts that other requests have too, in order; "": none
}

// BackendReport is an engine's word about itself, some hundred milliseconds old.
type BackendReport struct {
	Born       int64
	OrderCount int // orders accepted since its start
	Busy       bool
	Running    int
	Queued     int
	Models     []HeldModel
	Pending    []PendingAdapter
}

// PendingAdapter is an adapter on its way to an engine.
type PendingAdapter struct {
	ModelAdapter
	Version int
}

// OrderKind is what an order asks of an engine.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
)

// BackendOrder is an order to an engine. It is refused when the engine has
// accepted another number of orders than OrderCount, or is another start than
// Backend names, and it is not sent after NotAfter on the boot clock.
type BackendOrder struct {
	Kind       OrderKind
	Target     ModelAdapter
	Version    int // of an adapter; 0: the newest
	OrderCount int
	Holder     string
	Fence      uint64
	NotAfter   time.Duration
}

// OrderAnswer is what an engine made of an order.
type OrderAnswer string

// The answers to orders. Unknown: no answer; it may have been accepted, or may
// be carried out later if its condition still holds.
const (
	OrderUnderWay  OrderAnswer = "under-way"
	OrderHolds     OrderAnswer = "holds"
	OrderConflict  OrderAnswer = "conflict"
	OrderFenced    OrderAnswer = "fenced"
	OrderMisplaced OrderAnswer = "misplaced" // another server has the address
	OrderRejected  OrderAnswer = "rejected"
	OrderUnknown   OrderAnswer = "unknown"
)
