// Package testseed fixes the seed of stateful tests, so that every run in CI gives
// the same verdict; -rapid.seed sets another one.
//
// # Usage
//
//	func TestMain(m *testing.M) { os.Exit(testseed.Run(m)) }
package testseed

import (
	"flag"
	"testing"

	_ "pgregory.net/rapid" // declares the flag
)

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
