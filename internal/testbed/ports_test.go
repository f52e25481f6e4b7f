package testbed

import (
	"net"
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

// Guards against two test processes that use the same ports: the port of a
// daemon that is down then goes to the other process. Found by TestSoak/seed_2:
// "cannot listen for fault injection: address already in use" after a kill.
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
