// Package fleet holds what an instance knows of the backend servers: the
// platform's list of them, the outcomes of the requests sent to them, and the
// models and adapters loaded on the model engines. From these it chooses the
// server for each request.
//
// # Usage
//
//	f := fleet.New("zone-a", nil, rand.New(rand.NewPCG(1, 2)))
//	f.ApplySnapshot(now, version, entries)
//	c := f.PickEngine(now, fleet.Request{Service: "assistant", Target: target, Version: 1}, nil, loadable)
//	f.RecordSent(c.Server.ID)
//	f.RecordOutcome(now, c.Server.ID, fleet.Responded, took)
//	f.RecordDone(c.Server.ID)
//
// directory.go keeps the list of servers, outlier.go detects failing servers
// from request outcomes, placement.go chooses servers, prefill.go estimates the
// prefill backlog of engines, pace.go keeps how fast servers are, estimate.go compares them
// by it, pacing.go decides when prefill admission applies,
// backpressure.go applies the limits that servers signal, and budget.go is the
// retry budget.
//
// The package reads no clock, opens no sockets and starts no goroutines. Nothing
// in it is safe for concurrent use: the instance guards it with its own mutex.
package fleet
