// Package ingress serves the callers of the routed interface: HTTP/1.1
// requests that are routed to a service by host and longest path prefix.
//
// A request passes through these steps:
//
//	receive ▸ route ▸ place ▸ send ▸ check ▸ relay
//
// # Usage
//
//	s := ingress.NewServer(settings, dispatcher)
//	httpServer.Handler = s
//
// # Status codes
//
// The statuses 408, 421, 429 and 503 guarantee that the request has not run and
// never will. The exchange records whether the request may have run: from the
// moment a connection accepts its first byte until a backend server itself
// reports that it did not run it. After that only 502 and 504 are returned.
//
// A response is relayed only if it echoes the request's id and carries the
// signature of the backend server. If a response ends early, the caller's
// connection is closed, so that the response does not appear complete.
//
// # Attribution
//
// A server may send a second response to an earlier request late, where the response to the
// next request on the connection is due. A response says something of a request, or of its
// server, only if it bears the request's ID; conn.go decides that and closes the connection
// otherwise. A connection on which a server has rejected an ID never carries that ID again.
//
// # Streams
//
// A stream that breaks off is resumed on another server of the software version that began
// it, within the response or by a new request of its caller.
//
// # Forwarding
//
// The dispatcher may place a request on another instance instead of a server. Forwarded is
// the handler of such requests; forward.go has what is added to them on the way.
package ingress
