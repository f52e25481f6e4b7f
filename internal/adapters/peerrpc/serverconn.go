package peerrpc

import (
	"net"
	"sync"
	"time"
)

// serverConn is an accepted connection with the state of its current call. drpc makes one
// call at a time on a connection.
type serverConn struct {
	trackedConn
	mu sync.Mutex
	// busy is true from the start of a call until its response was written.
	busy bool
	// idleSince is when the connection was accepted or its last call ended.
	idleSince time.Time
	// receiveTimer closes the connection when the message of a call does not arrive in time.
	receiveTimer *time.Timer
}

// callLimiter is a connection that limits the memory of calls.
type callLimiter interface {
	CallStarted()
	CallEnded()
}

func newServerConn(conn net.Conn, writeTimeout time.Duration) *serverConn {
	return &serverConn{trackedConn: trackedConn{Conn: conn, writeTimeout: writeTimeout}, idleSince: time.Now()}
}

// beginCall marks the connection as busy and limits the time for receiving the message.
func (c *serverConn) beginCall(limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = true
	if limited, ok := c.Conn.(callLimiter); ok {
		limited.CallStarted()
	}
	c.receiveTimer = time.AfterFunc(limit, func() { _ = c.Close() })
}

// messageReceived ends the time limit for receiving the message.
func (c *serverConn) messageReceived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiveTimer.Stop()
}

// endCall marks the connection as idle.
func (c *serverConn) endCall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiveTimer.Stop()
	c.busy = false
	if limited, ok := c.Conn.(callLimiter); ok {
		limited.CallEnded()
	}
	c.idleSince = time.Now()
}

// closeIfIdle closes the connection if it has been idle for at least grace.
func (c *serverConn) closeIfIdle(grace time.Duration) {
	c.mu.Lock()
	idle := !c.busy && time.Since(c.idleSince) >= grace
	c.mu.Unlock()
	if idle {
		_ = c.Close()
	}
}
