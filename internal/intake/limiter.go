package intake

import (
	"container/list"
	"fmt"
	"sync"
	"time"
)

// Conn is the connection of a client. Its methods must not block and must not call the Limiter,
// except for Client.Close.
type Conn interface {
	// Disconnect closes the connection.
	Disconnect()
	// InterruptRead makes the current and later reads fail, so that the request can be refused.
	InterruptRead()
}

// RefusedError means that there is no room for a request or connection. Nothing of it was
// processed.
type RefusedError struct {
	// RetryAfter is when the client may try again.
	RetryAfter time.Duration
	// Evicted is set if the request was evicted for another one while it was being read.
	Evicted bool
}

// Error implements the error interface.
func (e *RefusedError) Error() string {
	if e.Evicted {
		return fmt.Sprintf("the daemon is busy and the request arrives too slowly; send it faster, after %s", e.RetryAfter)
	}
	return fmt.Sprintf("the daemon has no room for the request; retry after %s", e.RetryAfter)
}

// retryAfter is when a refused client may try again. Requests that make no progress are evicted
// within this time.
const retryAfter = time.Second

// Stats counts what a Limiter holds, and what it has done so far.
type Stats struct {
	// Bytes and Conns are what clients hold.
	Bytes int64
	Conns int
	// RefusedRequests and RefusedConns found no room, or were not what the listener serves.
	RefusedRequests, RefusedConns int64
	// EvictedRequests were interrupted while they were being read or answered, and ClosedIdle
	// connections were closed while they were idle.
	EvictedRequests, ClosedIdle int64
}

// Limiter applies Limits to the clients of one listener. It is safe for concurrent use.
type Limiter struct {
	limits Limits
	// mu guards all other fields, and those of the clients.
	mu    sync.Mutex
	stats Stats
	// clients lists the open connections in the order of their last progress, *Client, the
	// longest without progress first.
	clients *list.List
}

// NewLimiter returns a Limiter without clients.
func NewLimiter(l Limits) *Limiter { return &Limiter{limits: l, clients: list.New()} }

// Stats returns the current counts.
func (l *Limiter) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stats
}

// Open reserves a connection. If there are too many, or there is no memory for it, others are
// closed for it. Otherwise it returns a *RefusedError.
func (l *Limiter) Open(now time.Time, conn Conn) (*Client, error) {
	c := &Client{limiter: l, conn: conn, since: now}
	var victims []*Client
	defer func() { disconnect(victims) }()
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.limits.Conns > 0 && l.stats.Conns >= l.limits.Conns || l.limits.Bytes > 0 && l.stats.Bytes+ConnBytes > l.limits.Bytes {
		v := l.connVictim(now)
		if v == nil {
			l.stats.RefusedConns++
			return nil, &RefusedError{RetryAfter: retryAfter}
		}
		l.countEviction(v)
		v.remove()
		victims = append(victims, v)
	}
	c.element = l.clients.PushBack(c)
	c.hold(ConnBytes)
	l.stats.Conns++
	return c, nil
}

// disconnect closes the connections of evicted clients.
func disconnect(victims []*Client) {
	for _, v := range victims {
		v.conn.Disconnect()
	}
}

// countRefusal counts a request that was refused.
func (l *Limiter) countRefusal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.RefusedRequests++
}

// countEviction counts the eviction of a client in its present phase. mu must be held.
func (l *Limiter) countEviction(v *Client) {
	if v.phase == phaseIdle {
		l.stats.ClosedIdle++
	} else {
		l.stats.EvictedRequests++
	}
}

// makeRoom evicts requests until n more bytes fit under limit. It returns the clients whose
// connections are to be interrupted, and whether the bytes fit. mu must be held.
func (l *Limiter) makeRoom(now time.Time, n, limit int64, requester *Client) (victims []*Client, ok bool) {
	for l.stats.Bytes+n > limit {
		v := l.requestVictim(now, requester)
		if v == nil {
			return victims, false
		}
		l.countEviction(v)
		v.evicted, v.cut = true, v.phase == phaseAnswer
		v.hold(ConnBytes - v.held)
		victims = append(victims, v)
	}
	return victims, true
}
