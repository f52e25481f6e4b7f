// Package intakehttp applies the limits of package intake to listeners, to HTTP servers and to
// the bodies that their handlers read.
package intakehttp

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"catkinvalve/internal/intake"
)

const (
	// answerTimeout limits one write to a client that does not read.
	answerTimeout = 10 * time.Second
	// refusalTimeout limits the write of a refusal to a new connection, which fits into the
	// socket's buffer.
	refusalTimeout = 50 * time.Millisecond
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

// Listener limits the connections that it accepts.
type Listener struct {
	net.Listener
	limiter *intake.Limiter
	// http is set if the connections carry HTTP, and not the links of daemons.
	http bool
	// limited is called after a client was refused or evicted.
	limited func()
}

// NewListener returns a listener for a server of NewServer.
func NewListener(l net.Listener, limiter *intake.Limiter, limited func()) *Listener {
	return &Listener{Listener: l, limiter: limiter, http: true, limited: limited}
}

// NewLinkListener returns a listener for links between daemons.
func NewLinkListener(l net.Listener, limiter *intake.Limiter, limited func()) *Listener {
	return &Listener{Listener: l, limiter: limiter, limited: limited}
}

// Accept implements net.Listener. It returns only connections for which there is room.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, listener: l}
		if c.client, err = l.limiter.Open(time.Now(), c); err == nil {
			return c, nil
		}
		l.refuse(raw)
	}
}

// refuse closes a new connection.
func (l *Listener) refuse(c net.Conn) {
	if l.http && c.SetWriteDeadline(time.Now().Add(refusalTimeout)) == nil {
		_, _ = c.Write([]byte(connRefusal)) // The client may have disconnected.
	}
	_ = c.Close()
	l.limited()
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	listener *Listener
	client   *intake.Client
	// abandoned is set when the rest of a body is not read.
	abandoned atomic.Bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if !c.listener.http {
		c.client.Touch(time.Now())
		return n, err
	}
	if refused := c.client.Received(time.Now(), p[:n]); refused != nil {
		c.listener.limited()
		return 0, refused
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if !c.listener.http {
		return c.Conn.Write(p)
	}
	now := time.Now()
	if err := c.SetWriteDeadline(now.Add(answerTimeout)); err != nil {
		return 0, err
	}
	c.client.StartAnswer(now)
	n, err := c.Conn.Write(p)
	c.client.EndAnswer(time.Now())
	return n, err
}

// Close implements net.Conn. A client that may still be sending a body gets lingerTime to receive its
// answer: a closed socket would reset the connection, and the answer would be lost.
func (c *conn) Close() error {
	if c.abandoned.CompareAndSwap(true, false) && c.CloseWrite() == nil {
		time.AfterFunc(lingerTime, func() { _ = c.Close() })
		return nil
	}
	c.client.Close()
	return c.Conn.Close()
}

// CloseWrite closes the sending side, so that a client that is still sending gets its answer.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Disconnect implements intake.Conn.
func (c *conn) Disconnect() {
	_ = c.Conn.Close()
	c.listener.limited()
}

// InterruptRead implements intake.Conn.
func (c *conn) InterruptRead() {
	_ = c.SetReadDeadline(time.Unix(1, 0))
	c.listener.limited()
}

// connKey is the key of a request's *conn in its context.
type connKey struct{}

// NewServer returns a server for callers. Its listener must be a *Listener.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ConnState:   recordState}
}

// NewOperatorServer returns a server for requests without payload. Its listener must be a
// *Listener.
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
		accepted.client.StartServing(time.Now())
	case http.StateIdle:
		accepted.client.EndRequest(time.Now())
	}
}
