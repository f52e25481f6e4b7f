package jsonhttp

import (
	"context"
	"errors"
	"net"
	"net/http"
)

// Conn is a single connection to a server, outside the client's own pool. What is sent over
// it reaches only the process that accepted it. One request at a time may be sent.
type Conn struct {
	client *Client
	conn   *http.ClientConn
}

// Dial opens a connection to an address, HOST:PORT. NotSent reports whether its error means
// that the server refused the connection.
func (c *Client) Dial(ctx context.Context, address string) (*Conn, error) {
	conn, err := c.dialer.NewClientConn(ctx, "http", address)
	var network net.Error
	if errors.As(err, &network) && network.Timeout() {
		// The server did not refuse the connection; it did not answer.
		return nil, context.DeadlineExceeded
	}
	if err != nil {
		return nil, err
	}
	return &Conn{client: c, conn: conn}, nil
}

// Send sends a request over the connection and returns the response, whatever its status
// is. After an error the connection cannot be used any more.
func (k *Conn) Send(ctx context.Context, r Request) (Reply, error) {
	reply, err := k.client.exchange(ctx, &r, k.conn.RoundTrip)
	if err != nil {
		k.Close()
	}
	return reply, err
}

// Usable reports whether the connection is not known to be closed.
func (k *Conn) Usable() bool { return k.conn.Err() == nil }

// Close closes the connection.
func (k *Conn) Close() {
	_ = k.conn.Close() // Nothing waits for a response on it.
}
