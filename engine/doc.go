// Package engine speaks to model engines and decides about them.
//
//	client.go     orders and status over HTTP
//	stream.go     generations: offsets, end marker, resume
//	ownership.go  which instance may give a server orders, and until when
//	scheduler.go  what an owner loads and unloads, and when
//	placement.go  where an instance sends a request, and what it asks to load
//	naive.go      the baseline policy that measurements compare with
//
// # Usage
//
// The decision parts take (now, event) and return actions; entry.Node feeds
// them and carries the actions out:
//
//	s := engine.NewScheduler("entry-a1", engine.DefaultSchedulerSettings())
//	s.Step(now, engine.StatusRead{Server: "engine-1", Status: status, SentAt: sent})
//	for _, a := range s.Step(now, engine.Tick{}) { ... }
package engine
