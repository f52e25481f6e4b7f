// Package intakehttp applies the limits of package intake to listeners, to HTTP servers and to
// the bodies that their handlers read.
package intakehttp

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"catkinvalve/internal/adapters/intakenet"
	"catkinvalve/internal/intake"
)

const (
	// answerTimeout limits one write to a client that does not read.
	answerTimeout = 10 * time.Second
	// lingerTime is how long a connection stays open for an answer to arrive.
	lingerTime = 500 * time.Millisecond
	// headerTimeout and idleTimeout are above what any configuration promises to callers.
	headerTimeout = 5 * time.Second
	idleTimeout   = time.Minute
	// maxHeaderBytes is what a request line and a header may have. The server allows 4 KiB more.
	maxHeaderBytes = 16 << 10
	// operatorTimeout limits the reading of a whole request that has no payload.
	operatorTimeout = 5 * time.Second
)

// connRefusal answers a connection that is refused.
const connRefusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// NewListener returns a listener for a server of NewServer or Limit.
func NewListener(l net.Listener, limiter *intake.Limiter, limited func()) net.Listener {
	return NewListenerWithRefusal(l, limiter, []byte(connRefusal), limited)
}

// NewListenerWithRefusal is NewListener with the answer that refused connections get.
func NewListenerWithRefusal(l net.Listener, limiter *intake.Limiter, refusal []byte, limited func()) net.Listener {
	return intakenet.NewListener(l, intakenet.Options{Limiter: limiter, Refusal: refusal, Limited: limited,
		Wrap: func(c *intakenet.Conn) net.Conn { return &conn{Conn: c} }})
}

// conn is an accepted connection.
type conn struct {
	*intakenet.Conn
	// abandoned is set when the rest of a body is not read.
	abandoned atomic.Bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if refused := c.Client.Received(time.Now(), p[:n]); refused != nil {
		c.Limited()
		return 0, refused
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	now := time.Now()
	if err := c.SetWriteDeadline(now.Add(answerTimeout)); err != nil {
		return 0, err
	}
	c.Client.StartAnswer(now)
	n, err := c.Conn.Write(p)
	c.Client.EndAnswer(time.Now())
	return n, err
}

// Close implements net.Conn. A client that may still be sending a body gets lingerTime to receive its
// answer: a closed socket would reset the connection, and the answer would be lost.
func (c *conn) Close() error {
	if c.abandoned.CompareAndSwap(true, false) && c.CloseWrite() == nil {
		time.AfterFunc(lingerTime, func() { _ = c.Close() })
		return nil
	}
	return c.Conn.Close()
}

// CloseWrite closes the sending side, so that a client that is still sending gets its answer.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// connKey is the key of a request's *conn in its context.
type connKey struct{}

// Limit makes a server pass the state of its connections to the limiter. The server must be set up
// otherwise, and its listener must be one of this package.
func Limit(s *http.Server) {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	s.ConnState = recordState
}

// NewServer returns a server for callers. Its listener must be one of this package.
func NewServer(h http.Handler) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	Limit(s)
	return s
}

// NewOperatorServer returns a server for requests without payload. Its listener must be one of this
// package.
func NewOperatorServer(h http.Handler) *http.Server {
	s := NewServer(h)
	s.ReadTimeout = operatorTimeout
	return s
}

// recordState passes the state of a connection to its client.
func recordState(c net.Conn, s http.ConnState) {
	accepted, ok := c.(*conn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		accepted.Client.StartServing(time.Now())
	case http.StateIdle:
		accepted.Client.EndRequest(time.Now())
	}
}
