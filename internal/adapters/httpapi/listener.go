package httpapi

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"catkinvalve/internal/fault"
)

// refusalTimeout limits writing a refusal in the accept loop. The response fits into the
// empty send buffer of a new connection, so the write normally does not block.
const refusalTimeout = 100 * time.Millisecond

// limitedListener limits the number of open connections. It responds to further
// connections with an error of kind overloaded and closes them without reading from them;
// the response may be lost when the caller is still sending.
type limitedListener struct {
	net.Listener
	limit   int64
	open    atomic.Int64
	refused metrics.Counter
	refusal []byte
}

func newLimitedListener(inner net.Listener, limit int, refused metrics.Counter) *limitedListener {
	return &limitedListener{Listener: inner, limit: int64(limit), refused: refused, refusal: refusalResponse(limit)}
}

// refusalResponse returns the whole HTTP response to a connection above the limit.
func refusalResponse(limit int) []byte {
	e := fault.New(fault.Overloaded, "retry later or through another daemon; nothing was read from this connection",
		"the daemon has %d open connections, its limit", limit)
	body := errorBody(e)
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n",
		e.HTTPStatus(), http.StatusText(e.HTTPStatus()), len(body))
	return append([]byte(head), body...)
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &countedConn{Conn: conn, release: sync.OnceFunc(func() { l.open.Add(-1) })}, nil
		}
		l.open.Add(-1)
		l.refuse(conn)
	}
}

func (l *limitedListener) refuse(conn net.Conn) {
	l.refused.Inc(1)
	_ = conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = conn.Write(l.refusal)
	_ = conn.Close()
}

// countedConn decrements the listener's connection count when it is closed.
type countedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.release()
	return c.Conn.Close()
}

// CloseWrite closes the sending side, which net/http does so that the response arrives
// before it closes a connection with an unread request body.
func (c *countedConn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}
