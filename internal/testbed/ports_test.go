package testbed

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against two daemons with the same port. The port of a daemon that has not
// started yet or is down is free to listen on.
func TestAddressesAreGivenOnce(t *testing.T) {
	seen := map[string]bool{}
	for range 300 {
		addr, err := freeAddr()
		assert.NilError(t, err)
		assert.Assert(t, !seen[addr], "%s was returned twice", addr)
		seen[addr] = true
	}
}

// Guards against two test processes that use the same ports: the other process can then
// take the port of a daemon that is down. This failed TestSoak/seed_2 with "cannot
// listen for fault injection: address already in use" after a kill.
func TestProcessesHaveDifferentPorts(t *testing.T) {
	one, err := claimRange()
	assert.NilError(t, err)
	defer func() { assert.NilError(t, one.Close()) }()
	other, err := claimRange()
	assert.NilError(t, err)
	defer func() { assert.NilError(t, other.Close()) }()
	distance := one.Addr().(*net.TCPAddr).Port - other.Addr().(*net.TCPAddr).Port
	assert.Assert(t, max(distance, -distance) >= portsPerProcess, "%v and %v", one.Addr(), other.Addr())
}
