package testbed

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

// Listen ports lie below the range from which systems take the ports of
// outgoing connections (32768 and up on Linux). A connection of any process
// could otherwise hold a daemon's port while the daemon restarts.
const (
	lowestPort  = 20_000
	highestPort = 32_000
	portTries   = 200
)

// freeAddr returns a loopback address that nobody listens on.
func freeAddr() (string, error) {
	for range portTries {
		addr := fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(highestPort-lowestPort))
		l, err := net.Listen("tcp", addr)
		if err == nil {
			return addr, l.Close()
		}
	}
	return "", errors.New("found no free loopback port")
}
