// Package testseed makes property tests use the same seed on every run. Test
// packages import it for its side effect; the flag -rapid.seed overrides the seed.
package testseed

import (
	"flag"
	"fmt"

	_ "pgregory.net/rapid" // defines the flag
)

// seed is the default seed.
const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(fmt.Sprintf("setting the seed of property tests to %s: %v", seed, err))
	}
}
