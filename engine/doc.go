// Package engine is a client for model engines and decides which instance owns
// them, which adapters they load and where requests run.
//
//	client.go     orders and status over HTTP
//	stream.go     generations: offsets, end marker, resume
//	ownership.go  which instance may send a server orders, and until when;
//	              takeover.go: acquisition and handover
//	scheduler.go  the owner's side of the report lease; loading.go and retire.go: what
//	              is loaded, and what is unloaded to make room
//	placement.go  the user's side of the report lease; queue.go and dispatch.go: which
//	              requests wait, and where they are sent
//	permits.go    the region's budget of loads from the weight store
//	policy.go     the default policy
//	naive.go      the baseline policy that measurements compare with
//
// # Report lease
//
// The reports of a server's owner may be acted on until their report lease
// expires. Until then the owner unloads no adapter that another instance may
// still use according to them.
//
// # Usage
//
// The decision modules take (now, event) and return actions; entry.Node
// passes them events and carries the actions out:
//
//	s := engine.NewScheduler("entry-a1", engine.DefaultSchedulerSettings(), engine.DefaultLoads{})
//	s.Step(now, engine.StatusRead{Server: "engine-1", Status: status, SentAt: sent})
//	for _, a := range s.Step(now, engine.Tick{}) { ... }
package engine
