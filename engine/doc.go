// Package engine speaks to model engines and decides about them.
//
//	client.go     orders and status over HTTP
//	stream.go     generations: offsets, end marker, resume
//	ownership.go  which instance may give a server orders, and until when
//	scheduler.go  the owner's half of the promise; loading.go and retire.go: what
//	              is loaded, and what makes room
//	placement.go  the user's half of the promise; queue.go and dispatch.go: who waits,
//	              and where requests go
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
