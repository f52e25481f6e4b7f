package testbed

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
)

// Listen ports are below the ephemeral ports (32768 and up on Linux). Otherwise an
// outgoing connection of any process could hold a daemon's port while the daemon
// restarts. Each test process uses a port range of its own. It listens on the first port
// of its range, so that no other process takes the same range.
const (
	lowestPort      = 20_000
	portsPerProcess = 1_000
	processRanges   = 12
	maxPortAttempts = 2_000
	loopbackHost    = "127.0.0.1"
)

// allocated holds the ports that this process has allocated. The port of a daemon that
// has not started yet or is down looks free but must not be allocated again.
var allocated = struct {
	sync.Mutex
	ports map[int]bool
	// rangeListener listens on the first port of this process's range; nil before
	// the first allocation.
	rangeListener net.Listener
}{ports: map[int]bool{}}

// freeAddr returns a loopback address that no process listens on and that it has not
// returned before.
func freeAddr() (string, error) {
	allocated.Lock()
	defer allocated.Unlock()
	if allocated.rangeListener == nil {
		rangeListener, err := claimRange()
		if err != nil {
			return "", err
		}
		allocated.rangeListener = rangeListener
	}
	first := allocated.rangeListener.Addr().(*net.TCPAddr).Port + 1
	for range maxPortAttempts {
		port := first + rand.IntN(portsPerProcess-1)
		if allocated.ports[port] {
			continue
		}
		addr := fmt.Sprintf("%s:%d", loopbackHost, port)
		l, err := net.Listen("tcp", addr)
		if err == nil {
			allocated.ports[port] = true
			return addr, l.Close()
		}
	}
	return "", errors.New("found no free loopback port")
}

// claimRange reserves a port range that no other process has, for as long as the
// returned listener is open.
func claimRange() (net.Listener, error) {
	for i := range processRanges {
		first := lowestPort + (os.Getpid()+i)%processRanges*portsPerProcess
		if l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", loopbackHost, first)); err == nil {
			return l, nil
		}
	}
	return nil, errors.New("all port ranges are in use by other test processes")
}
