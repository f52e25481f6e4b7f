package intakenet

import (
	"context"
	"net"
	"syscall"
)

// receiveBufferBytes is what the kernel holds for a connection while nobody reads it. It counts as
// memory of the instance, and bounds the data that a client can send at once.
const receiveBufferBytes = 32 << 10

// Listen listens on a TCP address for clients that need not be trusted.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: limitReceiveBuffer}
	return config.Listen(ctx, "tcp", address)
}

// limitReceiveBuffer limits the buffers of the connections that a socket accepts. Without the limit
// the socket works as well, so an error is not reported.
func limitReceiveBuffer(_, _ string, socket syscall.RawConn) error {
	return socket.Control(func(fd uintptr) {
		// The kernel doubles the value for its own overhead.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes/2)
	})
}
