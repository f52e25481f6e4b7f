// Package intakedrpc applies the limits of package intake to connections that carry drpc calls
// between daemons. A connection reserves memory for each message while it arrives.
package intakedrpc

import (
	"net"

	"catkinvalve/internal/adapters/intakenet"
	"catkinvalve/internal/intake"
)

// Conn is a connection on which another daemon may make calls.
type Conn interface {
	net.Conn
	// Identified records that the peer has said which daemon it is.
	Identified()
	// CallStarted records that a call is executed from now on, and CallEnded that it was answered.
	CallStarted()
	CallEnded()
	// Reserve reserves n bytes for the present call until it has ended. It waits for room for a
	// limited time and then returns an error.
	Reserve(n int64) error
}

// NewListener returns a listener for connections with one call at a time.
func NewListener(l net.Listener, limiter *intake.Limiter, limited func()) net.Listener {
	return intakenet.NewListener(l, intakenet.Options{Limiter: limiter, Limited: limited, Wrap: func(c *intakenet.Conn) net.Conn {
		return newConn(c, false)
	}})
}

// NewLinkListener returns a listener for links, whose peers identify themselves first: a
// connection is closed unless Conn.Identified is called in time.
func NewLinkListener(l net.Listener, limiter *intake.Limiter, limited func()) net.Listener {
	return intakenet.NewListener(l, intakenet.Options{Limiter: limiter, Limited: limited, Wrap: func(c *intakenet.Conn) net.Conn {
		return newConn(c, true)
	}})
}
