package peerrpc

import (
	"net"
	"sync"
	"time"
)

// serverConn is an accepted connection and the state of the call on it. drpc
// carries one call at a time on a connection.
type serverConn struct {
	trackedConn
	mu sync.Mutex
	// busy is true from the invocation until the answer was written.
	busy bool
	// idleSince is when the connection was accepted or last answered.
	idleSince time.Time
	// receiving closes the connection when the message does not arrive in time.
	receiveTimer *time.Timer
}

func newServerConn(conn net.Conn, writeTimeout time.Duration) *serverConn {
	return &serverConn{trackedConn: trackedConn{Conn: conn, writeTimeout: writeTimeout}, idleSince: time.Now()}
}

// begin marks the connection busy and limits the time for receiving the message.
func (c *serverConn) beginCall(limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = true
	c.receiveTimer = time.AfterFunc(limit, func() { _ = c.Close() })
}

// received is called when the message of the call has arrived.
func (c *serverConn) messageReceived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiveTimer.Stop()
}

// end marks the connection idle.
func (c *serverConn) endCall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiveTimer.Stop()
	c.busy = false
	c.idleSince = time.Now()
}

// closeIfIdle closes the connection if no call was on it for at least grace.
func (c *serverConn) closeIfIdle(grace time.Duration) {
	c.mu.Lock()
	idle := !c.busy && time.Since(c.idleSince) >= grace
	c.mu.Unlock()
	if idle {
		_ = c.Close()
	}
}
