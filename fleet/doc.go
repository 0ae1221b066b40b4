// Package fleet is what an instance knows of the backend servers: the list that
// the platform keeps of them, what became of the requests that were sent to
// them, and what the model engines among them hold. From these it chooses where
// a request goes.
//
// # Usage
//
//	f := fleet.New("zone-a", nil, rand.New(rand.NewPCG(1, 2)))
//	f.Listed(now, version, entries)
//	c := f.PickEngine(now, fleet.Request{Service: "assistant", Target: target, Version: 1}, nil, loadable)
//	f.Sent(c.Server.ID)
//	f.Outcome(now, c.Server.ID, fleet.Answered, took)
//	f.Done(c.Server.ID)
//
// directory.go is the list, judge.go what outcomes say of a server, place.go the
// choice, reading.go what engines still have to read, budget.go the share of
// repeated sends.
//
// Nothing here knows a clock, a socket or a goroutine, and nothing is safe for
// concurrent use: the instance guards it with its own mutex.
package fleet
