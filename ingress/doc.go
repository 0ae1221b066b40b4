// Package ingress speaks to the callers of the routed interface: HTTP/1.1
// requests that a host and the longest path prefix send to a service.
//
// A request passes through these steps, each a file:
//
//	receive ▸ route ▸ place ▸ send ▸ check ▸ relay
//
// # Usage
//
//	s := ingress.NewServer(settings, dispatcher)
//	httpServer.Handler = s
//
// # What may be said
//
// The statuses 408, 421, 429 and 503 promise that the request has not run and
// never will. The exchange keeps whether it may have run: from the moment when
// a connection was handed its first byte until a backend server itself says
// that it did not run it. After that only 502 and 504 are said.
//
// An answer goes to the caller only when it echoes the request's id and bears
// the signature of the backend server. An answer that ends early ends the
// caller's connection, so that it does not look complete.
package ingress
