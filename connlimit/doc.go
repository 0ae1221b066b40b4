// Package connlimit bounds what clients of an HTTP server can use up before they have sent
// a whole request: connections, which are file descriptors, and memory for heads.
//
// Each listener has its own part of the budget of the process, so that the clients of one
// do not displace those of another. When a part is used up, the connection that has been
// without a whole request for longest is closed. A connection with a request in progress
// is never closed, and the request of a connection that was closed never reaches the handler.
//
// # Usage
//
//	limits := connlimit.Shares(connlimit.Machine{Descriptors: 3075, MemoryBytes: 144 << 20}, "callers", "peers")
//	l := connlimit.NewListener(listener, connlimit.Settings{Name: "callers", Limits: limits["callers"], Log: logger, Metrics: set})
//	srv := l.Server(handler)
//	err := srv.Serve(l)
//
// # Files
//
// part.go has the decisions, without clock and sockets; shares.go the parts of the budget;
// listener.go and server.go connect them with package net and net/http.
package connlimit
