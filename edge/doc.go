// Package edge is one instance of the system on the users' platform: its state,
// and the loops that update it.
//
// # Usage
//
//	in, err := edge.Start(settings, logger)
//	err = in.Drain(ctx) // on SIGTERM
//
// # How it works
//
// node.go holds the state of the instance under one mutex: the backend servers
// (package fleet), the owners of the engines (package lease), and the loaders of
// the engines that this instance owns (package loader). Each of these is a state
// machine without clock, socket or goroutine. Events drive them: a row of the
// platform's store (watch.go), a message of another instance (peers.go), the end
// of a call (control.go), a request (place.go). A few instances read the store and
// send its changes to the others (readers.go). After an event, and at least every
// 250 ms, the control loop runs the due actions of the state machines.
package edge
