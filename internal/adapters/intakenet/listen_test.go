package intakenet

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against connections for which the kernel holds far more than the limit while nobody reads.
func TestUnreadDataIsLimited(t *testing.T) {
	l, err := Listen(t.Context(), "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer client.Close()
	assert.NilError(t, client.(*net.TCPConn).SetWriteBuffer(4<<10))
	assert.NilError(t, client.SetWriteDeadline(time.Now().Add(200*time.Millisecond)))
	n, err := client.Write(make([]byte, 1<<20))
	assert.Assert(t, err != nil)
	// A part is in the sender's buffer.
	assert.Assert(t, n < 3*receiveBufferBytes, "%d bytes", n)
}
