package intake

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "catkinvalve/internal/propseed"
)

// fakeConn records what the limiter does to a connection.
type fakeConn struct{ disconnected, interrupted bool }

// Disconnect implements Conn.
func (c *fakeConn) Disconnect() { c.disconnected = true }

// InterruptRead implements Conn.
func (c *fakeConn) InterruptRead() { c.interrupted = true }

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// openBody opens a connection whose body of the given size is being read and holds memory.
func openBody(t *testing.T, l *Limiter, now time.Time, size, held int64) (*Client, *fakeConn) {
	t.Helper()
	conn := &fakeConn{}
	c, err := l.Open(now, conn)
	assert.NilError(t, err)
	assert.NilError(t, c.Received(now, make([]byte, 100)))
	c.StartServing(now)
	c.StartBody(now, now.Add(time.Minute), size)
	assert.NilError(t, c.Grow(now, held))
	return c, conn
}

// Guards against bodies without progress that keep out others, and against the eviction of bodies
// that make progress.
func TestBodyWithoutProgressIsEvicted(t *testing.T) {
	l := NewLimiter(Limits{Bytes: 1 << 20, ReservedBytes: 200 << 10})
	stalled, stalledConn := openBody(t, l, startTime, 300<<10, 300<<10)
	active, activeConn := openBody(t, l, startTime, 300<<10, 300<<10)
	now := startTime.Add(stallTime)
	assert.NilError(t, stalled.Received(now, make([]byte, minProgress-1)), "single bytes are no progress")
	assert.NilError(t, active.Received(now, make([]byte, 100<<10)))
	next, _ := openBody(t, l, now, 300<<10, 300<<10)
	assert.Assert(t, stalledConn.interrupted)
	assert.Assert(t, !activeConn.interrupted)
	var refused *RefusedError
	assert.Assert(t, errors.As(stalled.EndBody(now, -1), &refused) && refused.Evicted)
	assert.Assert(t, errors.As(next.Grow(now, 300<<10), &refused) && !refused.Evicted, "another body was evicted")
	assert.NilError(t, active.EndBody(now, -1))
	assert.Equal(t, l.Stats().EvictedRequests, int64(1))
	assert.Equal(t, l.Stats().RefusedRequests, int64(1))
}

// Guards against bodies at a rate that cannot complete before their deadline.
func TestBodyThatCannotCompleteIsEvicted(t *testing.T) {
	l := NewLimiter(Limits{Bytes: 1 << 20})
	slow, slowConn := openBody(t, l, startTime, 200<<10, 500<<10)
	now := startTime.Add(30 * time.Second)
	assert.NilError(t, slow.Received(now, make([]byte, 50<<10)))
	openBody(t, l, now, 300<<10, 600<<10)
	assert.Assert(t, slowConn.interrupted)
}

// Guards against large bodies that leave no room for small requests.
func TestSmallRequestsHaveReservedRoom(t *testing.T) {
	l := NewLimiter(Limits{Bytes: 1 << 20, ReservedBytes: 200 << 10})
	large, _ := openBody(t, l, startTime, 700<<10, 700<<10)
	assert.Assert(t, large.Grow(startTime, 200<<10) != nil)
	openBody(t, l, startTime, 1000, 8<<10)
}

// Guards against requests that were passed on and are evicted nevertheless.
func TestCompleteRequestIsNotEvicted(t *testing.T) {
	l := NewLimiter(Limits{Bytes: 1 << 20, Conns: 2})
	complete, conn := openBody(t, l, startTime, 700<<10, 700<<10)
	assert.NilError(t, complete.EndBody(startTime, -1))
	other, otherConn := openBody(t, l, startTime, 1000, 8<<10)
	now := startTime.Add(time.Hour)
	assert.Assert(t, other.Grow(now, 700<<10) != nil)
	_, err := l.Open(now, &fakeConn{})
	assert.NilError(t, err)
	assert.Assert(t, otherConn.disconnected)
	assert.Assert(t, !conn.disconnected && !conn.interrupted)
}

// Guards against idle connections that keep out new ones, and against new ones that close links in
// use.
func TestIdleConnectionIsClosedForNewOne(t *testing.T) {
	l := NewLimiter(Limits{Conns: 2, MinIdle: time.Second})
	first, second := &fakeConn{}, &fakeConn{}
	c, err := l.Open(startTime, first)
	assert.NilError(t, err)
	_, err = l.Open(startTime, second)
	assert.NilError(t, err)
	_, err = l.Open(startTime, &fakeConn{})
	assert.Assert(t, err != nil)
	now := startTime.Add(time.Second)
	c.Touch(now)
	_, err = l.Open(now, &fakeConn{})
	assert.NilError(t, err)
	assert.Assert(t, second.disconnected && !first.disconnected)
	assert.Equal(t, l.Stats().Conns, 2)
}

// Guards against limits that an ordinary client of the smallest instance reaches.
func TestLimitsOfSmallestInstance(t *testing.T) {
	const maxBodyBytes, smallestMemoryMB, maxFiles = 262_144, 144, 4096
	l := CallerLimits(smallestMemoryMB, maxFiles)
	assert.Assert(t, l.Bytes-l.ReservedBytes > 20*2*maxBodyBytes, "%+v", l)
	assert.Assert(t, l.Conns > 1000, "%+v", l)
	assert.Assert(t, l.Conns+LinkLimits(smallestMemoryMB, maxFiles).Conns+2*OperatorLimits(maxFiles).Conns < maxFiles-reservedFiles)
	assert.DeepEqual(t, CallerLimits(0, 0), Limits{})
}

// Guards against memory that stays reserved, or is released twice, when requests end in any way.
func TestNothingStaysReserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLimiter(Limits{Bytes: 400 << 10, ReservedBytes: 80 << 10, Conns: 6})
		now := startTime
		var clients []*Client
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			if c, err := l.Open(now, &fakeConn{}); err == nil {
				clients = append(clients, c)
			}
			c := rapid.SampledFrom(clients).Draw(t, "client")
			n := rapid.IntRange(1, 100<<10).Draw(t, "bytes")
			act := rapid.SampledFrom([]func(){
				func() { _ = c.Received(now, make([]byte, n)) }, func() { _ = c.Received(now, bytes.Repeat([]byte("a:\n"), n/100)) }, func() { c.StartServing(now) }, func() { c.StartBody(now, now.Add(time.Second), int64(n)) },
				func() { _ = c.Grow(now, int64(n)) }, func() { c.Shrink(int64(n)) }, func() { _ = c.EndBody(now, -1) }, c.Abandon,
				func() { c.StartAnswer(now) }, func() { c.StartMessage(now) }, func() { c.ReceivedMessage(now, n) },
				func() { _ = c.EndMessage(now) }, func() { c.StartCall(now) }, func() { c.EndCall(now) }, func() { c.EndAnswer(now) }, func() { c.EndRequest(now) }, c.Close,
			}).Draw(t, "act")
			act()
			if s := l.Stats(); s.Bytes > 400<<10 || s.Conns > 6 || s.Bytes < int64(s.Conns)*ConnBytes {
				t.Fatalf("%+v", s)
			}
		}
		for _, c := range clients {
			c.Close()
		}
		if s := l.Stats(); s.Bytes != 0 || s.Conns != 0 || l.clients.Len() != 0 {
			t.Fatalf("%+v", s)
		}
	})
}

// Guards against headers whose short lines take far more memory than is reserved, also when they
// are in the server's buffer behind an earlier request.
func TestLinesOfHeaderAreCounted(t *testing.T) {
	l := NewLimiter(Limits{Bytes: 200 << 10})
	c, err := l.Open(startTime, &fakeConn{})
	assert.NilError(t, err)
	request, fields := []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), bytes.Repeat([]byte("a:\r\n"), 500)
	assert.NilError(t, c.Received(startTime, request))
	assert.Equal(t, l.Stats().Bytes, int64(ConnBytes))
	c.StartServing(startTime)
	c.EndRequest(startTime)

	assert.NilError(t, c.Received(startTime, append(request, fields...)))
	assert.Equal(t, l.Stats().Bytes, int64(ConnBytes), "the lines do not belong to the request")
	c.StartServing(startTime)
	c.EndRequest(startTime)
	assert.Assert(t, l.Stats().Bytes >= ConnBytes+400*headerLineBytes)
	assert.Assert(t, c.Received(startTime, fields) == nil)
	assert.Assert(t, c.Received(startTime, fields) != nil)
}

// Guards against a body with many lines that counts as a header.
func TestLinesOfBodyAreNotCounted(t *testing.T) {
	l := NewLimiter(Limits{Bytes: 200 << 10})
	c, err := l.Open(startTime, &fakeConn{})
	assert.NilError(t, err)
	body := bytes.Repeat([]byte("\n"), 500)
	assert.NilError(t, c.Received(startTime, append([]byte("POST / HTTP/1.1\r\nContent-Length: 500\r\n\r\n"), body...)))
	c.StartServing(startTime)
	c.StartBody(startTime, startTime.Add(time.Second), 500)
	assert.NilError(t, c.EndBody(startTime, 500))
	c.EndRequest(startTime)
	assert.Equal(t, l.Stats().Bytes, int64(ConnBytes))
}

// Guards against links that keep memory while they carry no messages, and against the eviction of
// one during a call.
func TestSilentLinkWithMemoryIsEvicted(t *testing.T) {
	l := NewLimiter(Limits{Bytes: 1 << 20, MinIdle: 2 * time.Second})
	open := func(now time.Time) (*Client, *fakeConn) {
		conn := &fakeConn{}
		c, err := l.Open(now, conn)
		assert.NilError(t, err)
		c.StartMessage(now)
		assert.NilError(t, c.Grow(now, 400<<10))
		c.ReceivedMessage(now, 200<<10)
		assert.NilError(t, c.EndMessage(now))
		return c, conn
	}
	busy, busyConn := open(startTime)
	_, silentConn := open(startTime)
	busy.StartCall(startTime)
	next, err := l.Open(startTime, &fakeConn{})
	assert.NilError(t, err)
	assert.Assert(t, next.TryGrow(startTime.Add(time.Second), 400<<10) != nil)
	assert.Assert(t, next.TryGrow(startTime.Add(2*time.Second), 400<<10) == nil)
	assert.Assert(t, silentConn.interrupted && !busyConn.interrupted)
	assert.Equal(t, l.Stats().RefusedRequests, int64(0), "a client that tries again is not refused")
}

// Guards against large answers that nobody reads and that keep out other requests, and against an
// answer that is cut off while its client reads it.
func TestUnreadLargeAnswerIsCut(t *testing.T) {
	l := NewLimiter(Limits{Bytes: 1 << 20})
	answered := func(now time.Time) (*Client, *fakeConn) {
		conn := &fakeConn{}
		c, err := l.Open(now, conn)
		assert.NilError(t, err)
		c.StartServing(now)
		assert.NilError(t, c.GrowAnswer(now, 400<<10))
		c.StartAnswer(now)
		return c, conn
	}
	_, unread := answered(startTime)
	read, readConn := answered(startTime)
	now := startTime.Add(stallTime)
	read.StartAnswer(now)
	next, _ := openBody(t, l, now, 100, 400<<10)
	assert.Assert(t, unread.disconnected && !readConn.disconnected)
	assert.Assert(t, next.Grow(now, 400<<10) != nil)
	read.EndAnswer(now)
	read.EndRequest(now)
	assert.NilError(t, next.Grow(now, 400<<10))
}

// Guards against lines in the server's buffer that stay there although there is no room for them: the
// server sets read deadlines of its own after a request.
func TestBufferedHeaderWithoutRoomEndsConnection(t *testing.T) {
	l := NewLimiter(Limits{Bytes: 40 << 10})
	conn := &fakeConn{}
	c, err := l.Open(startTime, conn)
	assert.NilError(t, err)
	assert.NilError(t, c.Received(startTime, append([]byte("GET / HTTP/1.1\r\n\r\n"), bytes.Repeat([]byte("a:\r\n"), 500)...)))
	c.StartServing(startTime)
	c.EndRequest(startTime)
	assert.Assert(t, conn.disconnected)
}
