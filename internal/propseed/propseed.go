// Package propseed sets a fixed seed for property tests, so that they generate the same
// cases in every run. Tests import it for this side effect. The environment variable
// PROPERTY_SEED sets another seed.
package propseed

import (
	"flag"
	"os"

	_ "pgregory.net/rapid" // registers the flags set below
)

// defaultSeed applies when PROPERTY_SEED is not set.
const defaultSeed = "1"

func init() {
	seed := os.Getenv("PROPERTY_SEED")
	if seed == "" {
		seed = defaultSeed
	}
	// Set cannot fail for a missing flag: the imported package registers its flags before
	// this function runs.
	_ = flag.Set("rapid.seed", seed)
	_ = flag.Set("rapid.nofailfile", "true")
}
