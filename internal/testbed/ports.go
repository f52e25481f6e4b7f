package testbed

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
)

// Listen ports lie below the range from which systems take the ports of
// outgoing connections (32768 and up on Linux). A connection of any process
// could otherwise hold a daemon's port while the daemon restarts. Each test
// process uses a part of the range of its own, and holds the part's first port so
// that no other process takes the same part.
const (
	lowestPort      = 20_000
	portsPerProcess = 1_000
	processRanges   = 12
	maxPortAttempts = 2_000
	loopbackHost    = "127.0.0.1"
)

// given holds the ports that this process handed out. The port of a daemon that
// has not started yet, or is down, looks free but must not be given to another.
var allocated = struct {
	sync.Mutex
	ports map[int]bool
	// part holds the first port of this process's part, once there is one.
	rangeListener net.Listener
}{ports: map[int]bool{}}

// freeAddr returns a loopback address that nobody listens on and that was not
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

// claimPart takes a part of the range that no other process has, for as long as
// the listener is open.
func claimRange() (net.Listener, error) {
	for i := range processRanges {
		first := lowestPort + (os.Getpid()+i)%processRanges*portsPerProcess
		if l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", loopbackHost, first)); err == nil {
			return l, nil
		}
	}
	return nil, errors.New("other test processes have all parts of the port range")
}
