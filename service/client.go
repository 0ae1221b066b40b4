// Package service is the client for backend servers of plain services. It sends
// a call to one backend server, once; retries are decided by package caller.
//
// # Usage
//
//	resp, err := service.NewClient(nil).Call(ctx, "10.0.0.7:8080", call)
//	if errors.Is(err, service.ErrNotSent) { ... } // it did not run
//
// Any other error means that the call was handed to a connection, and that it is
// unknown whether it ran.
package service

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
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/http1"
)

var _ chestnutstream.Services = (*Client)(nil)

// ErrNotSent is returned when no byte of the call was handed to a connection.
var ErrNotSent = errors.New("not sent")

// Limits of the client.
const (
	dialTimeout      = time.Second
	healthTimeout    = time.Second
	maxResponseBytes = 32 << 20 // of one response body
	maxHeaderBytes   = 64 << 10 // of one response
)

// Client calls plain services. Each call uses a new connection: a pooled one may
// have become unresponsive, and a call that fails on it cannot be distinguished from
// a call that ran; and a late second response to an earlier call on it cannot be
// distinguished from the response to this one, since services need not echo
// Request-Id.
type Client struct{ http *http.Client }

// ErrResponseTimeout is returned when an idempotent call received no response
// within its ResponseTimeout, which follows the usual response time of the calls;
// a retry on another server is then better than more waiting.
var ErrResponseTimeout = errors.New("no answer in the usual time")

// NewClient returns a client for plain services. If dial is nil, a net.Dialer
// with dialTimeout is used.
func NewClient(dial chestnutstream.DialFunc) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{http: &http.Client{CheckRedirect: noRedirect, Transport: http1.NewTransport(&http.Transport{
		DialContext: dial, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderBytes,
	})}}
}

// unforwardedHeaders lists headers that apply to one connection or message, or
// carry the caller's credentials, and are not forwarded.
var unforwardedHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Host", "Content-Length", "Authorization",
}

// ForwardedHeaders returns a copy of h without hop-by-hop headers, headers named
// by Connection, and the caller's credentials.
func ForwardedHeaders(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		return http.Header{}
	}
	for _, names := range h.Values("Connection") {
		for _, name := range strings.Split(names, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range unforwardedHeaders {
		out.Del(name)
	}
	return out
}

// Call implements chestnutstream.Services. It returns a complete response or an
// error, which wraps ErrNotSent if the call was not sent.
func (c *Client) Call(ctx context.Context, address string, call chestnutstream.ServiceCall) (chestnutstream.ServiceResponse, error) {
	var sent atomic.Bool
	start := time.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if call.ResponseTimeout > 0 {
		responseTimer := time.AfterFunc(call.ResponseTimeout, func() { cancel(ErrResponseTimeout) })
		defer responseTimer.Stop()
	}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return chestnutstream.ServiceResponse{}, fmt.Errorf("build call: %w: %w", ErrNotSent, err)
	}
	req.GetBody = nil // prevents the HTTP library from sending the call again
	req.Header = ForwardedHeaders(call.Header)
	req.Header.Set("Request-Id", call.RequestID)
	resp, err := c.http.Do(req)
	if err != nil {
		if errors.Is(context.Cause(ctx), ErrResponseTimeout) {
			err = fmt.Errorf("%w after %v: %w", ErrResponseTimeout, time.Since(start).Round(time.Millisecond), err)
		}
		if !sent.Load() {
			return chestnutstream.ServiceResponse{}, fmt.Errorf("call %s: %w: %w", address, ErrNotSent, err)
		}
		return chestnutstream.ServiceResponse{}, fmt.Errorf("call %s: %w", address, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return chestnutstream.ServiceResponse{}, fmt.Errorf("read answer of %s: %w", address, err)
	}
	if len(body) > maxResponseBytes {
		return chestnutstream.ServiceResponse{}, fmt.Errorf("answer of %s is over %d bytes", address, maxResponseBytes)
	}
	return chestnutstream.ServiceResponse{Status: resp.StatusCode, Header: ForwardedHeaders(resp.Header), Body: body}, nil
}

// Health queries a backend server of a plain service and reports whether it is
// draining.
func (c *Client) Health(ctx context.Context, address string) (draining bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/healthz", http.NoBody)
	if err != nil {
		return false, fmt.Errorf("build health request: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return false, fmt.Errorf("health of %s: %w", address, err)
	}
	defer resp.Body.Close()
	var health struct {
		State string `json:"state"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, 4096)).Decode(&health); err != nil {
		return false, fmt.Errorf("decode health of %s: %w", address, err)
	}
	return health.State == string(chestnutstream.Leaving), nil
}
