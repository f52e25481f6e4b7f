// Package propseed gives property tests a fixed seed, so that they draw the same
// cases on every run. Tests import it for its effect. PROPERTY_SEED draws others.
package propseed

import (
	"flag"
	"os"

	_ "pgregory.net/rapid" // defines the flags
)

// defaultSeed is the seed of every run without PROPERTY_SEED.
const defaultSeed = "1"

func init() {
	seed := os.Getenv("PROPERTY_SEED")
	if seed == "" {
		seed = defaultSeed
	}
	// Both flags exist: their package is initialised first.
	_ = flag.Set("rapid.seed", seed)
	_ = flag.Set("rapid.nofailfile", "true")
}
