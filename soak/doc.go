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
// Clock faults are not injected: instances read the machine's boot clock and wall
// clock, and no setting replaces them. SIGSTOP pauses, which the boot clock
// counts, simulate suspensions of the machine.
package soak
