package lease

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes rapid's seed, so that a run in CI repeats; -rapid.seed sets
// another one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
