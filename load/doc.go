// Package load is the load and experiment tool. It starts a deployment of entry
// instances and stand-ins on loopback, sends seeded open-loop arrivals, switches
// faults, and reports what callers and stand-ins saw.
//
// # Usage
//
//	report, err := load.Run(ctx, load.Plan{Deployment: "attiki", Seed: 1, Duration: 30 * time.Second})
//	if report.Broken() { ... } // a rule that must always hold did not
//
// # Measures
//
// A load stall is the time that a request waits for its adapter to arrive: from
// when an instance took it until the adapter was first seen loaded on a server
// that may run it. Requests that found it loaded count with 0.
//
// Batch efficiency is the filled share of the batch, over the engine steps in
// which work was running or waiting: running requests summed over those steps,
// divided by the batch limits summed over them.
//
// Times count from a request's planned arrival, so that a slow answer delays no
// later arrival and hides nothing.
package load
