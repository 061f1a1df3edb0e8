package consensus_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, unless a run names one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}
