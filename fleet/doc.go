// Package fleet is what an instance knows of the backend servers: the list that
// the platform keeps of them, what became of the requests that were sent to
// them, and what the model engines among them hold. From these it chooses where
// a request goes.
//
// # Usage
//
//	f := fleet.New("zone-a", nil, rand.New(rand.NewPCG(1, 2)))
//	f.Listed(now, rows, decode)
//	s := f.PickPlain(now, "order-desk", nil)
//	f.Sent(now, s.ID)
//	f.Ended(now, s.ID, fleet.Outcome{...})
//
// Nothing here knows a clock, a socket or a goroutine, and nothing is safe for
// concurrent use: the instance guards it with its own mutex.
package fleet
