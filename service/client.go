// Package service speaks to plain services. A call is sent to one backend
// server, once; what may be asked again, and where, is decided by the caller's
// pipeline.
//
// # Usage
//
//	answer, err := service.NewClient(nil).Call(ctx, "10.0.0.7:8080", call)
//	if errors.Is(err, service.ErrNotSent) { ... } // it did not run
//
// Any other error means that bytes were handed to a connection: whether the
// call ran is unknown.
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
)

var _ chestnutstream.Services = (*Client)(nil)

// ErrNotSent is returned when no byte of the call was handed to a connection.
var ErrNotSent = errors.New("not sent")

// Limits of the client.
const (
	dialTimeout   = time.Second
	healthTimeout = time.Second
	maxAnswer     = 32 << 20 // bytes of one answer
)

// Client calls plain services. Calls that may not be repeated get a fresh
// connection each: one out of a pool may have gone silent, and a failure on it
// could not be told from a call that ran.
type Client struct {
	pooled *http.Client
	fresh  *http.Client
}

// ErrStalled is returned when an idempotent call brought no answer within the
// time that the service's calls take; asking elsewhere is better than waiting.
var ErrStalled = errors.New("no answer in the usual time")

// NewClient returns a client for plain services. dial may be nil.
func NewClient(dial chestnutstream.DialFunc) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		pooled: &http.Client{CheckRedirect: noRedirect, Transport: &http.Transport{
			DialContext: dial, MaxIdleConnsPerHost: 16, IdleConnTimeout: 10 * time.Second,
		}},
		fresh: &http.Client{CheckRedirect: noRedirect, Transport: &http.Transport{
			DialContext: dial, DisableKeepAlives: true,
		}},
	}
}

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Host", "Content-Length", "Authorization",
}

// PassHeaders copies h without the headers that belong to one connection, those
// that Connection names, and the caller's credentials.
func PassHeaders(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		return http.Header{}
	}
	for _, names := range h.Values("Connection") {
		for _, name := range strings.Split(names, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// Call implements chestnutstream.Services. The answer is whole or an error.
func (c *Client) Call(ctx context.Context, address string, call chestnutstream.ServiceCall) (chestnutstream.ServiceAnswer, error) {
	var sent atomic.Bool
	began := time.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if call.Patience > 0 {
		stalled := time.AfterFunc(call.Patience, func() { cancel(ErrStalled) })
		defer stalled.Stop()
	}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return chestnutstream.ServiceAnswer{}, fmt.Errorf("build call: %w: %w", ErrNotSent, err)
	}
	req.GetBody = nil // the HTTP library never sends it a second time
	req.Header = PassHeaders(call.Header)
	req.Header.Set("Request-Id", call.RequestID)
	client := c.fresh
	if call.Idempotent {
		client = c.pooled
	}
	resp, err := client.Do(req)
	if err != nil {
		if errors.Is(context.Cause(ctx), ErrStalled) {
			c.pooled.CloseIdleConnections()
			err = fmt.Errorf("%w after %v: %w", ErrStalled, time.Since(began).Round(time.Millisecond), err)
		}
		if !sent.Load() {
			return chestnutstream.ServiceAnswer{}, fmt.Errorf("call %s: %w: %w", address, ErrNotSent, err)
		}
		return chestnutstream.ServiceAnswer{}, fmt.Errorf("call %s: %w", address, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return chestnutstream.ServiceAnswer{}, fmt.Errorf("read answer of %s: %w", address, err)
	}
	if len(body) > maxAnswer {
		return chestnutstream.ServiceAnswer{}, fmt.Errorf("answer of %s is over %d bytes", address, maxAnswer)
	}
	return chestnutstream.ServiceAnswer{Status: resp.StatusCode, Header: PassHeaders(resp.Header), Body: body}, nil
}

// Health reads whether a backend server of a plain service is leaving.
func (c *Client) Health(ctx context.Context, address string) (leaving bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/healthz", http.NoBody)
	if err != nil {
		return false, fmt.Errorf("build health request: %w", err)
	}
	resp, err := c.fresh.Do(req)
	if err != nil {
		return false, fmt.Errorf("health of %s: %w", address, err)
	}
	defer resp.Body.Close()
	var state struct {
		State string `json:"state"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, 4096)).Decode(&state); err != nil {
		return false, fmt.Errorf("decode health of %s: %w", address, err)
	}
	return state.State == string(chestnutstream.Leaving), nil
}
