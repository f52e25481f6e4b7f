package intakedrpc

import (
	"errors"
	"net"
	"sync"
	"time"

	"catkinvalve/internal/adapters/intakenet"
)

const (
	// bytesPerMessageByte covers the buffers of a message, which grow with it.
	bytesPerMessageByte = 2
	// firstBufferBytes is the first size of these buffers, which is reserved for each connection.
	firstBufferBytes = 4 << 10
	// bufferMessages is the number of small messages after which drpc drops the buffer of an
	// earlier large one.
	bufferMessages = 16
	// roomTimeout is how long a message may wait for room. Messages without progress are evicted in
	// this time.
	roomTimeout       = 2 * time.Second
	roomRetryInterval = 20 * time.Millisecond
	// unidentifiedBytes is what the peer of a link may send before it has identified itself: the
	// name of a method and a description of the peer, which are a few hundred bytes long.
	unidentifiedBytes = 4 << 10
	// identifyTimeout is how long it may take until then.
	identifyTimeout = 5 * time.Second
)

// conn implements Conn.
type conn struct {
	*intakenet.Conn
	// link is set if the peer has to identify itself.
	link bool
	// identified is closed when it has, and closed when the connection is closed.
	identified, closed         chan struct{}
	identifiedOnce, closedOnce sync.Once
	// identifyBy is when it must have.
	identifyBy time.Time

	// reservedByCall is the memory that Reserve has reserved. The goroutine that serves calls uses it.
	reservedByCall int64

	// The goroutine that reads uses the fields below.

	// allowance is what the peer may still send before it has identified itself.
	allowance int
	scanner   scanner
	// inMessage is set while a message arrives that did not arrive at once.
	inMessage bool
	// reserved is the memory reserved for messages.
	reserved int64
	// smallMessages counts the messages since the last one that needed much of reserved.
	smallMessages int
}

func newConn(c *intakenet.Conn, link bool) *conn {
	accepted := &conn{Conn: c, link: link, identified: make(chan struct{}), closed: make(chan struct{})}
	if !link {
		accepted.Identified()
		return accepted
	}
	accepted.allowance = unidentifiedBytes
	accepted.identifyBy = time.Now().Add(identifyTimeout)
	// If the connection is closed already, its reads fail anyway.
	_ = c.SetReadDeadline(accepted.identifyBy)
	return accepted
}

// Identified implements Conn.
func (c *conn) Identified() {
	c.identifiedOnce.Do(func() {
		_ = c.SetReadDeadline(time.Time{}) // As in newConn.
		close(c.identified)
	})
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closedOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// CallStarted implements Conn.
func (c *conn) CallStarted() { c.Client.StartCall(time.Now()) }

// CallEnded implements Conn.
func (c *conn) CallEnded() {
	c.Client.Shrink(c.reservedByCall)
	c.reservedByCall = 0
	c.Client.EndCall(time.Now())
}

// Reserve implements Conn.
func (c *conn) Reserve(n int64) error {
	if err := c.awaitRoom(time.Now(), n); err != nil {
		c.Limited()
		return err
	}
	c.reservedByCall += n
	return nil
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	allowed, err := c.awaitAllowance(len(p))
	if err != nil {
		return 0, c.refused(err)
	}
	n, err := c.Conn.Read(p[:allowed])
	if n == 0 {
		return n, err
	}
	c.allowance -= n
	if err := c.account(time.Now(), p[:n]); err != nil {
		return 0, c.refused(err)
	}
	return n, err
}

// refused counts that the connection ends with err, and returns err.
func (c *conn) refused(err error) error {
	var unknown *FrameError
	if errors.As(err, &unknown) {
		c.Client.CountRefusal()
	}
	c.Limited()
	return err
}

// awaitAllowance returns how many of n bytes may be read. If the peer has sent what it may before
// it has identified itself, it waits until then, which the goroutine that serves the connection may
// not have noticed yet.
func (c *conn) awaitAllowance(n int) (int, error) {
	select {
	case <-c.identified:
		return n, nil
	default:
	}
	if c.allowance > 0 {
		return min(n, c.allowance), nil
	}
	timer := time.NewTimer(time.Until(c.identifyBy))
	defer timer.Stop()
	select {
	case <-c.identified:
		return n, nil
	case <-c.closed:
		return 0, net.ErrClosed
	case <-timer.C:
		return 0, &FrameError{"the peer has not identified itself"}
	}
}

// account reserves memory for the messages of which data was received. It returns an error if
// there is no room, or if the data is not what a daemon sends.
func (c *conn) account(now time.Time, data []byte) error {
	for len(data) > 0 {
		rest, ended, err := c.scanner.next(data)
		if err != nil {
			return err
		}
		if err := c.received(now, len(data)-len(rest), ended); err != nil {
			return err
		}
		data = rest
	}
	return nil
}

// received records n bytes of the present message.
func (c *conn) received(now time.Time, n int, ended bool) error {
	size := c.scanner.messageBytes
	if ended {
		c.scanner.messageBytes = 0
	}
	if ended && !c.inMessage && size <= firstBufferBytes {
		c.Client.Touch(now)
		c.countMessage(size)
		return nil
	}
	if !c.inMessage {
		c.Client.StartMessage(now)
		c.inMessage = true
	}
	c.Client.ReceivedMessage(now, n)
	if err := c.reserve(now, size); err != nil {
		return err
	}
	if !ended {
		return nil
	}
	c.inMessage = false
	c.countMessage(size)
	return c.Client.EndMessage(now)
}

// reserve reserves the memory for a message of which size bytes have arrived.
func (c *conn) reserve(now time.Time, size int64) error {
	missing := bytesPerMessageByte*size - c.reserved
	if size <= firstBufferBytes || missing <= 0 {
		return nil
	}
	missing = (missing + firstBufferBytes - 1) / firstBufferBytes * firstBufferBytes
	if err := c.awaitRoom(now, missing); err != nil {
		return err
	}
	c.reserved += missing
	return nil
}

// awaitRoom reserves n bytes. Until there is room it reads nothing more, so that the peer waits and
// its message is not lost.
func (c *conn) awaitRoom(now time.Time, n int64) error {
	for deadline := now.Add(roomTimeout); now.Before(deadline); now = time.Now() {
		refused := c.Client.TryGrow(now, n)
		if refused == nil {
			return nil
		}
		if refused.Evicted {
			return refused
		}
		select {
		case <-c.closed:
			return net.ErrClosed
		case <-time.After(roomRetryInterval):
		}
	}
	return c.Client.Grow(now, n)
}

// countMessage releases the memory of a message that has ended: on a link at once, since what is
// done with the message is limited elsewhere, otherwise when drpc has dropped its buffer.
func (c *conn) countMessage(size int64) {
	if c.reserved == 0 {
		return
	}
	c.smallMessages++
	if 2*bytesPerMessageByte*size > c.reserved {
		c.smallMessages = 0
	}
	if c.link || c.smallMessages >= bufferMessages {
		c.Client.Shrink(c.reserved)
		c.reserved, c.smallMessages = 0, 0
	}
}
