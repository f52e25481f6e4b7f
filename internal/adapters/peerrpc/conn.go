package peerrpc

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"
)

// trackedConn limits the time of each write and records whether a write was attempted.
type trackedConn struct {
	net.Conn
	writeTimeout time.Duration
	wrote        atomic.Bool
	// sent and received count the bytes of a client connection. They are nil on a server
	// connection, whose bytes are not counted.
	sent, received metrics.Counter
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.received != nil {
		c.received.Inc(int64(n))
	}
	return n, err
}

// Write implements net.Conn. It sets wrote first, because a write that fails may have sent
// part of its data.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.wrote.Store(true)
	if err := c.Conn.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if c.sent != nil {
		c.sent.Inc(int64(n))
	}
	return n, err
}

// clientConn is a drpc connection that carries one call at a time.
type clientConn struct {
	*drpcconn.Conn
	tracked *trackedConn
}

func newClientConn(conn net.Conn, counters byteCounters, opts Options) *clientConn {
	tracked := &trackedConn{Conn: conn, writeTimeout: opts.WriteTimeout, sent: counters.sent, received: counters.received}
	options := drpcconn.Options{Manager: managerOptions(opts)}
	return &clientConn{Conn: drpcconn.NewWithOptions(tracked, options), tracked: tracked}
}

func managerOptions(opts Options) drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: opts.MaxMessageBytes + readerSlackBytes}}
}
