// Package soak runs instances as separate processes on loopback against stand-ins
// of the users' platform, injects faults from outside, and checks what callers
// and backend servers observe. It is a tool for developers and operators and is
// not part of the production code.
//
// # Usage
//
//	chestnutstream soak -seed 7 -seeds 3 -duration 30s -json
//
// or
//
//	report, err := soak.Run(ctx, soak.Settings{Program: path, Seed: 7, Duration: 30 * time.Second})
//
// The seed determines which faults are injected, when, and into which process or
// server; the instances run in real time. Any violation makes the command exit
// with status 1 and report the seed; the logs of that run stay in the folder
// named in the report.
//
// # Parts
//
// Three quarters of the seeds select parts, whose faults are injected in addition to the others,
// by a source of random numbers of their own: without the part the same seed injects the
// same other faults. The report names the parts and the number of requests to which the checks
// with a time bound applied.
//
//   - workspaces: the configuration has three workspaces, one of them with a quota of a fraction
//     of its demand, and a public route. Keys are added and removed, also while the store is
//     unavailable or an instance is cut off from it, the quota is changed, and clients send
//     unknown, empty, duplicate, long and removed keys.
//   - strict-revoke: with workspaces; the settings ask instances to reject all keys while
//     their configuration may be out of date.
//   - pace: servers send a fourth number in the header of their load, which is correct,
//     wrong, malformed, missing or followed by another one, and changes. In two thirds of
//     these runs one of the services sends no valid number.
//
// The links between instances have no faults in any run.
//
// Clock faults are not injected: instances read the machine's boot clock and wall
// clock, and no setting replaces them. SIGSTOP pauses, which the boot clock
// counts, simulate suspensions of the machine.
package soak
