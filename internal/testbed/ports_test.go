package testbed

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against two daemons with the same port: one that is not started yet or
// is down leaves its port free to listen on.
func TestAddressesAreGivenOnce(t *testing.T) {
	seen := map[string]bool{}
	for range 300 {
		addr, err := freeAddr()
		assert.NilError(t, err)
		assert.Assert(t, !seen[addr], "%s was given twice", addr)
		seen[addr] = true
	}
}
