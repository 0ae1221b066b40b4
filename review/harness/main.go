// Command harness plays the cases of this review: it starts edge processes of the project
// with the command of the deploy file, and stands in for the platform, servers and clients.
//
// Usage: harness CASE RECORD, in the repository's root, after the builds. With TROUBLE=0 in
// the environment a case runs without its disruption. The exit status is 1 if the rule was
// broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// errBroken is returned by a case in which the rule was broken.
var errBroken = fmt.Errorf("rule broken")

// cases holds the cases by name. The file of each case adds its own.
var cases = map[string]func(rec *recorder, trouble bool) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		os.Exit(2)
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	switch err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0"); err {
	case nil:
	case errBroken:
		os.Exit(1)
	default:
		rec.summary("could not run: %v", err)
		os.Exit(2)
	}
}
