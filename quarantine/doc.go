// Package quarantine finds what requests that crash backend servers (queries of death)
// have in common, and decides which requests are kept from the servers because of it.
//
// # Traits
//
// A trait is anything that requests may share and that may crash a server: a part of
// their prompts, their adapter version, or an adapter version whose load they need. To this
// package it is a name. The request itself is a trait as well (RequestPrefix), since its
// caller may send it again. Its survivals are not remembered, as most requests come once, and
// it is suspected only under a verdict, as most of those on a server that crashes are sound.
//
// # Usage
//
//	t := quarantine.NewTracker(quarantine.DefaultSettings())
//	t.RecordSurvival(now, service, traits)               // a response got under way
//	report := t.RecordCrash(now, crash)                  // a server ended; report goes to all other instances
//	r := t.Merge(evidence)                               // received from another instance; r.Reply goes back
//	t.Update(now)                                        // after Merge, and once a second
//	d := t.Check(now, service, traits, slot)             // may the request be sent?
//	for _, c := range t.Changes() { ... }                // traits quarantined and released
//
// # Evidence
//
// A harmful trait crashes each server that begins to respond to a request with it. So
// one response that got under way shows that all traits of its request are harmless,
// whereas a crash is only weak evidence: all requests whose response had just begun
// share the blame. A trait is convicted by two crashes of different servers without a
// survival, or by three if it is known to have been harmless earlier.
//
// Traits that were together in a request in each of these crashes cannot be told apart,
// for example the part of a prompt that crashes servers and the one of the caller who
// sends it. Those that have never survived form the signature of the verdict, and only
// requests with the whole signature are kept from the servers. So requests of the same
// caller without the harmful part go on, and the first of them to survive removes the
// caller's part from the signature.
//
// # Several instances
//
// Instances exchange evidence, not verdicts. Merging is commutative and idempotent, so
// that instances with the same evidence have the same verdicts, in whatever order it
// arrived. All times that are sent are ages.
//
// # End of a verdict
//
// One request with the signature is let through as a probe after probeInterval, which
// doubles with each probe. Of all instances, the first in the trait's order that has
// such a request sends it. A probe that survives, or an operator, releases the trait.
package quarantine
