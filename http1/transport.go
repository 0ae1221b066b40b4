// Package http1 reads responses of HTTP/1.1 servers. Package net/http does so too, but passes
// over some violations of the grammar (RFC 9110, RFC 9112) and takes some ends of a connection
// for the end of a response. Here, such a response fails like one whose connection broke. All
// clients of servers, instances and the platform's store use this package.
//
// # Usage
//
//	t := http1.NewTransport(&http.Transport{DialContext: dial})
//	resp, err := t.RoundTrip(req)
//	var malformed *http1.MalformedError
//	if errors.As(err, &malformed) { ... malformed.Fault ... }
//
// The error of a malformed body comes from reading it.
//
// # Responses
//
// A Conn checks each line of a head before net/http sees it, those of interim responses
// included. It does not parse what frames a body, which net/http does well: a head begins with
// the first byte after a request begins, and ends with a blank line.
//
// A response without a length ends with its connection. One whose connection was reset, or given
// up by the kernel, fails, also if a write of the request got that error. A response that is
// whole is read to its end although the server takes no more of its request.
//
// Everything else that RFC 9112 allows a recipient to accept is accepted, such as lines that end
// in LF alone, more than one blank after the version, no reason phrase, and folded values.
package http1

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"

	"golang.org/x/net/http/httpguts"

	"github.com/chestnutstream/chestnutstream"
)

// Transport is an http.RoundTripper that fails for malformed responses.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport that sends requests by t, whose DialContext it replaces by
// one that checks the connections. A nil DialContext stands for that of a net.Dialer.
func NewTransport(t *http.Transport) *Transport {
	var dial chestnutstream.DialFunc = t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, fmt.Errorf("connect: %w", err)
		}
		return &Conn{Conn: conn}, nil
	}
	return &Transport{base: t}
}

// RoundTrip implements http.RoundTripper. A malformed head fails with a *MalformedError.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	return t.RoundTripConn(req, nil)
}

// RoundTripConn is RoundTrip that calls gotConn, unless it is nil, with each connection that the
// request is given, before it is written. A second trace in the request's context would cost
// more than all checks.
func (t *Transport) RoundTripConn(req *http.Request, gotConn func(c *Conn, reused bool)) (*http.Response, error) {
	if gotConn != nil || !t.base.DisableKeepAlives {
		req = req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
			c := i.Conn.(*Conn)
			c.beginRequest()
			if gotConn != nil {
				gotConn(c, i.Reused)
			}
		}}))
	}
	resp, err := t.base.RoundTrip(req)
	if err != nil {
		return nil, fmt.Errorf("send request: %w", err)
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &chunkedBody{resp.Body, resp}
	}
	return resp, nil
}

// chunkedBody is a body in chunks, which end with the trailers.
type chunkedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader. A body with a malformed trailer ends with a *MalformedError.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	for name, values := range b.resp.Trailer {
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) { // else it is announced only
			return n, newMalformedError(FaultField, []byte(name+": "+values[0]))
		}
	}
	return n, io.EOF
}
