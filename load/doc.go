// Package load is the load and fault-injection tool. It starts a deployment of
// entry instances and stand-ins on loopback, sends requests at seeded open-loop
// arrival times, injects faults, and reports what callers and stand-ins observed.
//
// # Usage
//
//	report, err := load.Run(ctx, load.Plan{Deployment: "attiki", Seed: 1, Duration: 30 * time.Second})
//	if len(report.Violations()) > 0 { ... } // an invariant was violated
//
// # Measures
//
// A load stall is the time that a request waits for its adapter to be loaded: from
// the moment an instance accepted the request until the adapter was first observed
// loaded on a server that may execute it. It is 0 if the adapter was already loaded.
//
// Batch efficiency is the fraction of batch places in use over the engine steps in
// which requests were running or waiting: the sum of running requests over those
// steps divided by the sum of the batch limits.
//
// Latencies are measured from a request's planned arrival time. A slow response
// delays no later arrival, which avoids coordinated omission.
package load
