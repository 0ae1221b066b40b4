// Package citest makes tests reproducible in CI: it fixes the seed of property-based
// tests and fails no test for exceeding a time bound on a busy machine. It also has what tests of
// several packages share.
//
// # Usage
//
//	func TestMain(m *testing.M) { os.Exit(citest.Run(m)) }
//	citest.CheckDuration(t, time.Since(start), 2*time.Second)
package citest

import (
	"flag"
	"os"
	"testing"
	"time"

	_ "pgregory.net/rapid" // defines -rapid.seed
)

// seed is the default of -rapid.seed.
const seed = "20261204"

// Run runs a package's tests with the fixed seed unless -rapid.seed is given, and
// returns the exit code.
func Run(m *testing.M) int {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set(seed); err != nil {
			panic(err) // unreachable: the value is a valid constant
		}
	}
	return m.Run()
}

// CheckDuration fails the test if took exceeds bound. With CI=true it only logs the
// excess, since the CI machine may be busy.
func CheckDuration(t testing.TB, took, bound time.Duration) {
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
