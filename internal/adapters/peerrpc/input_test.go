package peerrpc

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcwire"

	"catkinvalve/internal/fault"
)

// Guards against a caller that occupies a connection by starting a call without sending its
// message.
func TestCallWithoutMessage(t *testing.T) {
	_, to := startPeer(t, &fakePeer{}, Options{CallTimeout: 100 * time.Millisecond})
	conn, err := net.Dial("tcp", to.Addr)
	assert.NilError(t, err)
	defer conn.Close()
	invoke := drpcwire.Frame{Data: []byte("/catkinvalve.peer.Peer/Fate"), ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindInvoke, Done: true}
	_, err = conn.Write(drpcwire.AppendFrame(nil, invoke))
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = io.ReadAll(conn)
	assert.Assert(t, !isTimeout(err), "the connection stayed open")
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// Guards against messages that exceed the server's limit, by little or by much, from a
// caller whose own limit is higher.
func TestOversizedMessage(t *testing.T) {
	_, to := startPeer(t, &fakePeer{}, Options{MaxMessageBytes: 1000})
	c := startClient(t, Options{CallTimeout: time.Second})
	err := fate(c, to, string(make([]byte, 1001)))
	assert.Equal(t, fault.KindOf(err), fault.TooLarge)
	err = fate(c, to, string(make([]byte, 2<<20)))
	assert.Equal(t, fault.KindOf(err), fault.FateUnknownYet, "the server closes the connection")
	assert.Assert(t, !NotSent(err))
	assert.NilError(t, fate(c, to, "a"))
}
