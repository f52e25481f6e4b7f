// Package intakenet applies the limits of package intake to the connections of a listener,
// whatever protocol they carry.
package intakenet

import (
	"net"
	"time"

	"catkinvalve/internal/intake"
)

// refusalTimeout limits the write of a refusal to a new connection, which fits into the
// socket's buffer.
const refusalTimeout = 50 * time.Millisecond

// Options configure a Listener.
type Options struct {
	Limiter *intake.Limiter
	// Refusal, if any, is sent to a connection that is refused.
	Refusal []byte
	// Limited is called after a client was refused or evicted.
	Limited func()
	// Wrap returns the connection that Accept returns. The intake.Conn of the client is Conn.
	Wrap func(*Conn) net.Conn
}

// Listener limits the connections that it accepts.
type Listener struct {
	net.Listener
	opts Options
}

// NewListener returns a listener that accepts the connections of l.
func NewListener(l net.Listener, opts Options) *Listener { return &Listener{Listener: l, opts: opts} }

// Accept implements net.Listener. It returns only connections for which there is room.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: raw, limited: l.opts.Limited}
		if c.Client, err = l.opts.Limiter.Open(time.Now(), c); err == nil {
			return l.opts.Wrap(c), nil
		}
		l.refuse(raw)
	}
}

// refuse closes a new connection.
func (l *Listener) refuse(c net.Conn) {
	l.opts.Limited()
	if len(l.opts.Refusal) > 0 && c.SetWriteDeadline(time.Now().Add(refusalTimeout)) == nil {
		_, _ = c.Write(l.opts.Refusal) // The client may have disconnected.
	}
	_ = c.Close()
}

// Conn is an accepted connection. It implements intake.Conn.
type Conn struct {
	net.Conn
	// Client is the connection's entry in the limiter.
	Client  *intake.Client
	limited func()
}

// Limited reports that the client was refused something.
func (c *Conn) Limited() { c.limited() }

// Close releases what the client holds and closes the connection.
func (c *Conn) Close() error {
	c.Client.Close()
	return c.Conn.Close()
}

// Disconnect implements intake.Conn.
func (c *Conn) Disconnect() {
	_ = c.Conn.Close()
	c.limited()
}

// InterruptRead implements intake.Conn.
func (c *Conn) InterruptRead() {
	_ = c.SetReadDeadline(time.Unix(1, 0))
	c.limited()
}
