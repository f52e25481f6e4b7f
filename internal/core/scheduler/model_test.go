package scheduler

import (
	"flag"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "catkinvalve/internal/propseed"
)

// modelSeeds make runs repeatable; -rapid.seed runs another one.
var invariantSeeds = []string{"3", "7", "12", "17767", "6773052"}

// Guards against everything that section 1 of the design promises about
// requests, under takeovers, lost messages and crashes in any order.
func TestOwnersKeepPromises(t *testing.T) {
	seed := flag.Lookup("rapid.seed")
	if seed.Value.String() != seed.DefValue {
		rapid.Check(t, checkInvariants)
		return
	}
	for _, s := range invariantSeeds {
		t.Run("seed "+s, func(t *testing.T) {
			assert.NilError(t, flag.Set("rapid.seed", s))
			defer func() { assert.NilError(t, flag.Set("rapid.seed", seed.DefValue)) }()
			rapid.Check(t, checkInvariants)
		})
	}
}

func checkInvariants(t *rapid.T) {
	s := newSim(t)
	t.Repeat(s.actions())
	s.runToCompletion()
	s.checkIdle()
}
