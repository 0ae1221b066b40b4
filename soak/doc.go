// Package soak runs the real programs as separate processes on loopback, against
// the stand-ins of the users' platform, injects faults from outside, and checks
// what callers and backend servers see. It is a tool for developers and
// operators; nothing of it runs in production.
//
// # Usage
//
//	chestnutstream soak -seed 7 -seeds 3 -duration 30s -json
//
// or
//
//	report, err := soak.Run(ctx, soak.Settings{Program: path, Seed: 7, Duration: 30 * time.Second})
//
// A seed fixes which faults come, when, and to whom; the programs themselves run
// in real time. The first broken promise ends the process with status 1 and the
// seed; the logs of the run stay in the folder that the report names.
//
// Clocks are not changed: the programs read the boot clock and the time of day of
// the machine, and no setting replaces them. Pauses by SIGSTOP, which the boot
// clock counts, stand in for suspensions.
package soak
