package peerrpc

import (
	"net"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"
)

// trackedConn bounds each write and remembers whether any was tried.
type trackedConn struct {
	net.Conn
	writeTimeout time.Duration
	wrote        atomic.Bool
}

// Write implements net.Conn. The flag is set first, so that a write that fails
// halfway counts.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.wrote.Store(true)
	if err := c.Conn.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// clientConn is a drpc connection that carries one call at a time.
type clientConn struct {
	*drpcconn.Conn
	tracked *trackedConn
}

func newClientConn(conn net.Conn, opts Options) *clientConn {
	tracked := &trackedConn{Conn: conn, writeTimeout: opts.WriteTimeout}
	options := drpcconn.Options{Manager: managerOptions(opts)}
	return &clientConn{Conn: drpcconn.NewWithOptions(tracked, options), tracked: tracked}
}

func managerOptions(opts Options) drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: opts.MessageBytes + readerSlackBytes}}
}
