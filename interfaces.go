package chestnutstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Timer is the timer service. Components subscribe to it instead of reading clocks.
type Timer interface {
	// Now returns the current time, with a monotonic clock reading.
	Now() time.Time
	// Subscribe calls f about once per period until stop is called. Calls of one
	// subscription never overlap.
	Subscribe(period time.Duration, f func(now time.Time)) (stop func())
	// After calls f once after d unless stop is called first.
	After(d time.Duration, f func(now time.Time)) (stop func())
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Row is a row of the platform's table service. Version 0 means that it is absent.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
}

// Check is a condition of a transaction: the row has this version (0: it is absent).
type Check struct {
	Key     string
	Version uint64
}

// Write is a change of a transaction; Delete removes the row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// ErrUnavailable is returned when the platform did not respond: the operation may
// or may not have taken effect.
var ErrUnavailable = errors.New("platform gave no answer")

// ErrAbsent is returned for an object or row that does not exist.
var ErrAbsent = errors.New("absent")

// ConflictError lists the keys of the checks that failed. The transaction wrote
// nothing.
type ConflictError struct {
	Keys []string
}

// Error implements error.
func (e *ConflictError) Error() string { return "transaction conflict" }

// Table is the platform's transactional table service.
type Table interface {
	// Transact applies all writes if all checks hold. It returns the new
	// version of each written key, a *ConflictError, or ErrUnavailable.
	Transact(ctx context.Context, checks []Check, writes []Write) (map[string]uint64, error)
	// Get returns a row; an absent row has Version 0.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns the rows whose key starts with prefix.
	Scan(ctx context.Context, prefix string) ([]Row, error)
}

// Objects is the platform's object store.
type Objects interface {
	PutObject(ctx context.Context, key string, value []byte) error
	GetObject(ctx context.Context, key string) ([]byte, error)
}

// Directory is the platform's list of live and leaving instances. It lags.
type Directory interface {
	Instances(ctx context.Context) ([]Instance, error)
	Register(ctx context.Context, in Instance) error
}

// EngineStatus is an engine's response to a status read. Slots and requests are
// exact at the time of the response; Running and Waiting lag.
type EngineStatus struct {
	Epoch      string // changes when the engine restarts
	Fence      uint64 // highest fencing token seen; 0 when not checked
	Leaving    bool
	BatchLimit int
	SlotLimit  int
	Running    int
	Waiting    int
	Slots      []EngineSlot
}

// EngineSlot is one loaded adapter and the requests that use it.
type EngineSlot struct {
	Loading  bool
	Name     LoadName
	Requests []string
}

// Errors of engine orders.
var (
	// ErrFenced is returned when the engine has seen a higher fencing token.
	ErrFenced = errors.New("order refused: old fencing number")
	// ErrLoadFailed is returned when the engine could not load the adapter.
	ErrLoadFailed = errors.New("adapter load failed")
	// ErrNoSlot is returned when all adapter slots are occupied.
	ErrNoSlot = errors.New("no free adapter slot")
)

// Order is an order to a model engine. It is not sent after NotAfter, when the
// ownership of its sender ends; a zero NotAfter means no limit.
type Order struct {
	Name     LoadName
	Fence    uint64
	NotAfter time.Time
}

// ErrOrderExpired is returned when the last check before sending found that an
// order's NotAfter had passed. Nothing was sent.
var ErrOrderExpired = errors.New("order not sent: ownership had lapsed")

// EngineOrders reads the status of model engines and sends them orders. Each
// order carries the fencing token of its owner.
type EngineOrders interface {
	Status(ctx context.Context, address string) (EngineStatus, error)
	Load(ctx context.Context, address string, o Order) error
	Unload(ctx context.Context, address string, o Order) error
	Fence(ctx context.Context, address string, o Order) error
}

// Chunk is a piece of an engine's response. Offset is its index in the stream, from 0.
type Chunk struct {
	Offset int
	Data   []byte
}

// Generation is a generation request to an engine.
type Generation struct {
	RequestID string
	Path      string // "/v1/completions" or "/v1/chat/completions"
	Body      []byte // JSON whose model field is already the load name
	Priority  int
}

// Generator runs generations on model engines. Each chunk is passed to emit once
// and in order; Generate returns nil only after the engine's end marker.
type Generator interface {
	Generate(ctx context.Context, address string, g Generation, emit func(Chunk) error) error
}

// ServiceCall is a call of a plain service.
type ServiceCall struct {
	Method          string
	Path            string
	Header          http.Header
	Body            []byte
	RequestID       string
	ResponseTimeout time.Duration // wait timeout for the response; 0: no timeout but ctx
}

// ServiceResponse is a complete response of a plain service.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Services calls plain services.
type Services interface {
	// Call sends the request once, to one backend server.
	Call(ctx context.Context, address string, c ServiceCall) (ServiceResponse, error)
}

// Dumper writes the state of a component for the dump.
type Dumper interface {
	Dump(w io.Writer) error
}
