package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/http1"
	"github.com/chestnutstream/chestnutstream/tcp"
)

var (
	_ chestnutstream.EngineOrders = (*Client)(nil)
	_ chestnutstream.Generator    = (*Client)(nil)
)

// Limits of the client.
const (
	dialTimeout      = time.Second            // a new connection on one network
	statusTimeout    = time.Second            // a status read
	orderTimeout     = 30 * time.Second       // an order, a load included
	unackedTimeout   = 2 * time.Second        // the kernel closes an order's connection with unacknowledged bytes after this
	headerTimeout    = time.Second            // an engine sends a generation's response headers at once
	maxResponseBytes = 4 << 20                // of a status or error response
	maxHeaderBytes   = 64 << 10               // of a response
	resumePause      = 50 * time.Millisecond  // between attempts to resume a stream
	cancelTimeout    = 500 * time.Millisecond // a cancel is best effort
)

// Client is an HTTP client for model engines. Each request uses a new connection, so
// that none waits on a connection that no longer responds, or receives a late second
// response to an earlier request.
type Client struct {
	orders      *http.Client
	generations *http.Client
	stall       StallSettings

	mu   sync.Mutex
	gaps map[string]*GapEstimator // by address
}

// NewClient returns a client for model engines. A nil dial uses net.Dialer.
func NewClient(dial chestnutstream.DialFunc) *Client {
	orderDial := dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
		orderDial = (&net.Dialer{Timeout: dialTimeout, Control: tcp.LimitUnacked(unackedTimeout)}).DialContext
	}
	return &Client{
		orders:      &http.Client{Transport: http1.NewTransport(&http.Transport{DisableKeepAlives: true, DialContext: orderDial, MaxResponseHeaderBytes: maxHeaderBytes})},
		generations: &http.Client{Transport: http1.NewTransport(&http.Transport{DisableKeepAlives: true, DialContext: dial, ResponseHeaderTimeout: headerTimeout, MaxResponseHeaderBytes: maxHeaderBytes})},
		stall:       DefaultStallSettings(),
		gaps:        map[string]*GapEstimator{},
	}
}

type wireStatus struct {
	Epoch      string `json:"epoch"`
	Fence      uint64 `json:"fence"`
	Leaving    bool   `json:"leaving"`
	BatchLimit int    `json:"batch-limit"`
	SlotLimit  int    `json:"slot-limit"`
	Running    int    `json:"running"`
	Waiting    int    `json:"waiting"`
	Slots      []struct {
		Name     string   `json:"name"`
		Loading  bool     `json:"loading"`
		Requests []string `json:"requests"`
	} `json:"slots"`
}

// Status implements chestnutstream.EngineOrders.
func (c *Client) Status(ctx context.Context, address string) (chestnutstream.EngineStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", http.NoBody)
	if err != nil {
		return chestnutstream.EngineStatus{}, fmt.Errorf("build status request: %w", err)
	}
	resp, err := c.orders.Do(req)
	if err != nil {
		return chestnutstream.EngineStatus{}, fmt.Errorf("read status of %s: %w", address, err)
	}
	defer resp.Body.Close()
	var w wireStatus
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&w); err != nil {
		return chestnutstream.EngineStatus{}, fmt.Errorf("decode status of %s: %w", address, err)
	}
	return w.status(), nil
}

func (w wireStatus) status() chestnutstream.EngineStatus {
	st := chestnutstream.EngineStatus{
		Epoch: w.Epoch, Fence: w.Fence, Leaving: w.Leaving, BatchLimit: w.BatchLimit,
		SlotLimit: w.SlotLimit, Running: w.Running, Waiting: w.Waiting,
	}
	for _, s := range w.Slots {
		st.Slots = append(st.Slots, chestnutstream.EngineSlot{
			Name: chestnutstream.LoadName(s.Name), Loading: s.Loading, Requests: s.Requests,
		})
	}
	return st
}

// Load implements chestnutstream.EngineOrders. It returns when the adapter is
// loaded or has failed to load.
func (c *Client) Load(ctx context.Context, address string, o chestnutstream.Order) error {
	return c.order(ctx, address, "load", o)
}

// Unload implements chestnutstream.EngineOrders.
func (c *Client) Unload(ctx context.Context, address string, o chestnutstream.Order) error {
	return c.order(ctx, address, "unload", o)
}

// Fence implements chestnutstream.EngineOrders: it raises the fencing token.
func (c *Client) Fence(ctx context.Context, address string, o chestnutstream.Order) error {
	return c.order(ctx, address, "fence", o)
}

func (c *Client) order(ctx context.Context, address, verb string, o chestnutstream.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	body, err := json.Marshal(map[string]any{"name": string(o.Name), "fence": o.Fence})
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	// The deadline is checked after the connection is established and before
	// the first byte is written, so that a process paused since its decision
	// sends nothing.
	expired := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		if !o.NotAfter.IsZero() && time.Now().After(o.NotAfter) {
			expired = true
			cancel()
		}
	}})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/orders/"+verb, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build %s order: %w", verb, err)
	}
	req.GetBody = nil
	resp, err := c.orders.Do(req)
	if expired {
		if err == nil {
			_ = resp.Body.Close()
		}
		return fmt.Errorf("%s %s: %w", verb, o.Name, chestnutstream.ErrOrderExpired)
	}
	if err != nil {
		return fmt.Errorf("%s %s on %s: %w", verb, o.Name, address, err)
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusPreconditionFailed:
		return fmt.Errorf("%s %s on %s: %w", verb, o.Name, address, chestnutstream.ErrFenced)
	case http.StatusInsufficientStorage:
		return fmt.Errorf("%s %s on %s: %w", verb, o.Name, address, chestnutstream.ErrNoSlot)
	default:
		return fmt.Errorf("%s %s on %s: %w: %s", verb, o.Name, address, chestnutstream.ErrLoadFailed, bytes.TrimSpace(text))
	}
}

// gapEstimator returns the gap estimator of an engine.
func (c *Client) gapEstimator(address string) *GapEstimator {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.gaps[address]
	if g == nil {
		g = &GapEstimator{}
		c.gaps[address] = g
	}
	return g
}

// RefusedError is the engine's refusal of a request, or another response without a
// stream. DidNotRun tells them apart.
type RefusedError struct {
	Status int
	Code   string // the engine's code, or the beginning of the body if it has none
}

// The codes with which an engine refuses a generation that it does not run.
const (
	codeUnknownModel = "unknown-model"
	codeQueueFull    = "queue-full"
)

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("engine refused: %d %s", e.Status, e.Code) }

// ErrNotSent is returned when no byte of the request was handed to a
// connection.
var ErrNotSent = errors.New("not sent")

// ErrStreamLost is returned when a stream broke and cannot be resumed: it is unknown
// whether the generation ran.
var ErrStreamLost = errors.New("stream lost")

// IsUnknownModel reports whether the engine refused because the load name is not
// loaded.
func IsUnknownModel(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.Code == codeUnknownModel
}

// DidNotRun reports whether err of Generate means that the request was not sent, or
// that the engine refused it when it was first sent.
func DidNotRun(err error) bool {
	var refused *RefusedError
	if errors.Is(err, ErrNotSent) {
		return true
	}
	return errors.As(err, &refused) && !errors.Is(err, ErrStreamLost) && (refused.Code == codeUnknownModel || refused.Code == codeQueueFull)
}

func parseRefusal(resp *http.Response) error {
	var body struct {
		Code string `json:"code"`
	}
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	_ = json.Unmarshal(text, &body)
	if body.Code == "" {
		body.Code = strings.TrimSpace(string(text[:min(len(text), 80)]))
	}
	return &RefusedError{Status: resp.StatusCode, Code: body.Code}
}
