// Package citest holds what CI asks of tests: a fixed seed for stateful ones, and
// no verdict that hangs on how busy the machine is.
//
// # Usage
//
//	func TestMain(m *testing.M) { os.Exit(citest.Run(m)) }
//	citest.Timely(t, time.Since(began), 2*time.Second)
package citest

import (
	"flag"
	"os"
	"testing"
	"time"

	_ "pgregory.net/rapid" // declares the flag
)

// seed is that of every run in CI; -rapid.seed sets another one.
const seed = "20261204"

// Run runs a package's tests under the fixed seed, unless one is given.
func Run(m *testing.M) int {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set(seed); err != nil {
			panic(err) // the value is a constant
		}
	}
	return m.Run()
}

// Timely fails a test that took longer than its bound. In CI (CI=true) it only
// logs that: the machine may be busy there.
func Timely(t testing.TB, took, bound time.Duration) {
	t.Helper()
	if took <= bound {
		return
	}
	if os.Getenv("CI") == "true" {
		t.Logf("took %v, bound %v", took, bound)
		return
	}
	t.Fatalf("took %v, bound %v", took, bound)
}
