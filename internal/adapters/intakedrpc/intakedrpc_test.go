package intakedrpc

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
	"storj.io/drpc/drpcwire"

	"catkinvalve/internal/intake"
	_ "catkinvalve/internal/propseed"
)

// frames returns a message of n bytes in frames.
func frames(kind drpcwire.Kind, message uint64, n int) []byte {
	var out []byte
	packet := drpcwire.Packet{Data: make([]byte, n), ID: drpcwire.ID{Stream: 1, Message: message}, Kind: kind}
	_ = drpcwire.SplitN(packet, 0, func(f drpcwire.Frame) error { // The function returns no error.
		out = drpcwire.AppendFrame(out, f)
		return nil
	})
	return out
}

// Guards against a scanner that loses the boundaries of messages, however their bytes arrive.
func TestScannerFindsMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(0, 3*MaxFrameBytes), 1, 5).Draw(t, "sizes")
		var data []byte
		for i, n := range sizes {
			data = append(data, frames(drpcwire.KindMessage, uint64(i+1)<<20, n)...)
		}
		var s scanner
		var found []int
		for len(data) > 0 {
			part := data[:rapid.IntRange(1, len(data)).Draw(t, "part")]
			data = data[len(part):]
			for len(part) > 0 {
				rest, ended, err := s.next(part)
				assert.NilError(t, err)
				if ended {
					found = append(found, int(s.messageBytes))
					s.messageBytes = 0
				}
				part = rest
			}
		}
		assert.DeepEqual(t, found, sizes)
	})
}

// pair returns the two ends of a connection, the second one accepted by a listener with limits.
func pair(t *testing.T, listen func(net.Listener, *intake.Limiter, func()) net.Listener, limits intake.Limits) (net.Conn, Conn, *intake.Limiter) {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	limiter := intake.NewLimiter(limits)
	l := listen(raw, limiter, func() {})
	client, err := net.Dial("tcp", raw.Addr().String())
	assert.NilError(t, err)
	accepted, err := l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _, _, _ = client.Close(), accepted.Close(), raw.Close() })
	return client, accepted.(Conn), limiter
}

// receive reads n bytes of a connection to which data is sent.
func receive(t *testing.T, to net.Conn, from Conn, data []byte) error {
	t.Helper()
	go func() { _, _ = to.Write(data) }() // The connection may be closed.
	_, err := io.ReadFull(from, make([]byte, len(data)))
	return err
}

// Guards against data of a stranger that fills the memory, and against a peer that is cut off
// because it sends more at once after its hello.
func TestPeerOfLinkIdentifiesItself(t *testing.T) {
	client, accepted, limiter := pair(t, NewLinkListener, intake.Limits{})
	hello := frames(drpcwire.KindMessage, 1, 100)
	large := frames(drpcwire.KindMessage, 2, 100<<10)
	go func() {
		_, _ = client.Write(append(hello, large...))
		time.Sleep(50 * time.Millisecond)
		accepted.Identified()
	}()
	_, err := io.ReadFull(accepted, make([]byte, len(hello)+len(large)))
	assert.NilError(t, err)
	assert.Equal(t, limiter.Stats().Bytes, int64(intake.ConnBytes), "the memory of complete messages is released")

	client, accepted, _ = pair(t, NewLinkListener, intake.Limits{})
	accepted.(*conn).identifyBy = time.Now().Add(50 * time.Millisecond)
	err = receive(t, client, accepted, large)
	var unknown *FrameError
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
}

// Guards against frames that no daemon sends, and against messages beyond the limit.
func TestLargeMessagesAreLimited(t *testing.T) {
	limits := intake.Limits{Bytes: 1 << 20}
	client, accepted, _ := pair(t, NewListener, limits)
	var unknown *FrameError
	frame := drpcwire.AppendFrame(nil, drpcwire.Frame{Data: make([]byte, MaxFrameBytes+1), Kind: drpcwire.KindMessage})
	assert.Assert(t, errors.As(receive(t, client, accepted, frame), &unknown))

	client, accepted, _ = pair(t, NewListener, limits)
	var refused *intake.RefusedError
	assert.Assert(t, errors.As(receive(t, client, accepted, frames(drpcwire.KindMessage, 1, 1<<20)), &refused))
}

// Guards against the buffer of a large message that is not counted while drpc keeps it, and against
// one that is counted for ever.
func TestBufferOfCallIsHeldUntilItIsDropped(t *testing.T) {
	client, accepted, limiter := pair(t, NewListener, intake.Limits{Bytes: 1 << 20})
	accepted.CallStarted()
	assert.NilError(t, receive(t, client, accepted, frames(drpcwire.KindMessage, 1, 200<<10)))
	accepted.CallEnded()
	assert.Assert(t, limiter.Stats().Bytes >= intake.ConnBytes+400<<10)
	for i := range bufferMessages {
		assert.NilError(t, receive(t, client, accepted, frames(drpcwire.KindMessage, uint64(i+2), 100)))
	}
	assert.Equal(t, limiter.Stats().Bytes, int64(intake.ConnBytes))
	assert.NilError(t, accepted.Close())
	assert.Equal(t, limiter.Stats().Bytes, int64(0))
}
