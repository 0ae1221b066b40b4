package table

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the stateful tests, unless one is given, so that
// every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set("20261204"); err != nil {
			panic(err) // the value is a constant
		}
	}
	os.Exit(m.Run())
}
