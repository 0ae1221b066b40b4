// Package edge is one instance of the system on the users' platform: what it
// knows, put together, and the loops that feed it.
//
// # Usage
//
//	in, err := edge.Start(settings, logger)
//	err = in.Drain(ctx) // on SIGTERM
//
// # How it works
//
// node.go holds what the instance knows under one mutex: the backend servers
// (package fleet), who owns which engine (package lease), and the loaders of the
// engines that it owns itself (package loader). Each of these is a state machine
// without clock, socket or goroutine. Whatever happens is an event: a row of the
// platform's store (feeds.go), a word of another instance (peers.go), the end of
// a call (control.go), a request (place.go). Few instances read the store for
// the others (readers.go). After an event the machines are
// asked what is to be done now, and when next; no tick runs while nothing
// happens.
package edge
