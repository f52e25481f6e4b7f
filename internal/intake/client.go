package intake

import (
	"container/list"
	"time"
)

// phase is what a connection is doing.
type phase uint8

const (
	// phaseIdle: no byte of the next request has arrived.
	phaseIdle phase = iota
	phaseHeader
	phaseBody
	// phaseServing: the request is complete, or its body is not read yet.
	phaseServing
	// phaseAnswer: the answer is being written.
	phaseAnswer
)

// Client is the connection of a client with the memory that it holds. It serves one request after
// the other. It is safe for concurrent use.
type Client struct {
	limiter *Limiter
	conn    Conn
	// element is the client's place in Limiter.clients; nil once it is closed.
	element *list.Element
	phase   phase
	// since is when the phase began, or, in phaseBody, the time of the last progress.
	since time.Time
	// held is the memory reserved, ConnBytes included.
	held int64
	// header is what was read in phaseHeader, and next what may be in the server's buffer of the
	// header of the next request.
	header, next header
	// hasRead is set when something has arrived since the end of the last request.
	hasRead bool
	// afterHeader is the number of bytes that arrived together with the end of the header.
	afterHeader int64
	// beforeAnswer is the phase to which the connection returns after phaseAnswer.
	beforeAnswer phase
	// evicted is set when the current request was evicted.
	evicted bool
	// largeAnswer is set while memory is reserved for an answer, and cut when the connection is to be
	// closed since the client does not read it.
	largeAnswer, cut bool
	// inCall is set while a call is executed, on a connection that carries messages.
	inCall bool
	// bodyStart, deadline, expected and received describe the body being read. progress counts
	// the bytes since the last progress.
	bodyStart, deadline          time.Time
	expected, received, progress int64
}

// hold changes the memory held by n bytes. The limiter's mu must be held.
func (c *Client) hold(n int64) {
	c.held += n
	c.limiter.stats.Bytes += n
}

// enter begins a phase. The limiter's mu must be held.
func (c *Client) enter(p phase, now time.Time) {
	c.phase = p
	c.touch(now)
}

// touch records progress. The limiter's mu must be held.
func (c *Client) touch(now time.Time) {
	c.since = now
	if c.element != nil {
		c.limiter.clients.MoveToBack(c.element)
	}
}

// remove releases everything. The limiter's mu must be held.
func (c *Client) remove() {
	if c.element == nil {
		return
	}
	c.limiter.clients.Remove(c.element)
	c.element = nil
	c.limiter.stats.Conns--
	c.hold(-c.held)
}

// Close releases everything that the client holds. It may be called more than once.
func (c *Client) Close() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.remove()
}

// Touch records that something has arrived on a connection that carries no requests.
func (c *Client) Touch(now time.Time) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.touch(now)
}

// Received records data that has arrived. It returns a *RefusedError if it belongs to a header for
// which there is no room.
func (c *Client) Received(now time.Time, data []byte) error {
	c.limiter.mu.Lock()
	c.hasRead = true
	missing := int64(0)
	switch c.phase {
	case phaseIdle:
		c.enter(phaseHeader, now)
		missing = c.receivedHeader(data)
	case phaseHeader:
		missing = c.receivedHeader(data)
	case phaseBody:
		c.receivedBody(now, int64(len(data)))
		c.next = buffered(data)
	default:
		c.next.lines += buffered(data).lines
	}
	c.limiter.mu.Unlock()
	if missing > 0 {
		return c.Grow(now, missing)
	}
	return nil
}

// receivedHeader records data of a header and returns for how much memory it needs to be reserved.
// The limiter's mu must be held.
func (c *Client) receivedHeader(data []byte) int64 {
	rest := c.header.add(data)
	c.afterHeader = int64(len(rest))
	c.next = buffered(rest)
	missing := max(0, c.header.cost()-c.header.reserved)
	c.header.reserved += missing
	return missing
}

// receivedBody records n bytes of a body. The limiter's mu must be held.
func (c *Client) receivedBody(now time.Time, n int64) {
	c.received += n
	c.progress += n
	if c.progress >= minProgress {
		c.progress = 0
		c.touch(now)
	}
}

// StartServing records that the header of a request is complete.
func (c *Client) StartServing(now time.Time) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.enter(phaseServing, now)
}

// StartBody records that the body is read from now on. Of expected bytes all must arrive before
// the deadline.
func (c *Client) StartBody(now, deadline time.Time, expected int64) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.enter(phaseBody, now)
	c.bodyStart, c.deadline, c.expected, c.received, c.progress = now, deadline, expected, 0, 0
}

// EndBody records that the body is complete. From now on the request is not evicted. It returns a
// *RefusedError if it was before. declared is the length in the header, and -1 if that has none.
func (c *Client) EndBody(now time.Time, declared int64) error {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.enter(phaseServing, now)
	if c.afterHeader+c.received <= declared {
		c.next = header{}
	}
	if c.evicted {
		return &RefusedError{RetryAfter: retryAfter, Evicted: true}
	}
	return nil
}

// Abandon releases what the request holds, since the rest of it is not read. Its connection may be
// closed for a new one.
func (c *Client) Abandon() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.evicted = true
	if c.element != nil {
		c.hold(ConnBytes - c.held)
	}
}

// StartAnswer records that an answer is being written, which may be an interim one in the middle
// of a body.
func (c *Client) StartAnswer(now time.Time) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.beforeAnswer = c.phase
	c.enter(phaseAnswer, now)
}

// EndAnswer records that an answer was written.
func (c *Client) EndAnswer(now time.Time) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.phase == phaseAnswer {
		c.enter(c.beforeAnswer, now)
	}
}

// EndRequest releases what the request held. The connection remains open, unless there is no room
// for what the client has sent of the next request.
func (c *Client) EndRequest(now time.Time) {
	c.limiter.mu.Lock()
	c.enter(phaseIdle, now)
	c.evicted, c.largeAnswer = false, false
	if c.element != nil {
		c.hold(ConnBytes - c.held)
	}
	// If nothing has arrived since the last request, the buffer contained this one.
	if c.hasRead {
		c.header, c.next, c.hasRead = c.next, header{}, false
	}
	c.header.reserved = c.header.cost()
	missing := c.header.reserved
	c.limiter.mu.Unlock()
	if missing > 0 && c.Grow(now, missing) != nil {
		c.conn.Disconnect()
	}
}

// Grow reserves n more bytes for the request, and evicts others for them if necessary. It returns
// a *RefusedError if there is no room.
func (c *Client) Grow(now time.Time, n int64) error {
	err := c.TryGrow(now, n)
	if err != nil && !err.Evicted {
		c.limiter.countRefusal()
	}
	if err != nil {
		return err
	}
	return nil
}

// CountRefusal counts a request that was refused for another reason than missing room.
func (c *Client) CountRefusal() { c.limiter.countRefusal() }

// TryGrow is Grow for a client that tries again. It does not count as a refusal.
func (c *Client) TryGrow(now time.Time, n int64) *RefusedError {
	victims, err := c.grow(now, n)
	for _, v := range victims {
		if v.cut {
			v.conn.Disconnect()
		} else {
			v.conn.InterruptRead()
		}
	}
	return err
}

// GrowAnswer reserves n more bytes for the answer to the request. If the client does not read it while
// others need the room, its connection may be closed. GrowAnswer returns a *RefusedError if there is
// no room.
func (c *Client) GrowAnswer(now time.Time, n int64) error {
	if err := c.Grow(now, n); err != nil {
		return err
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.largeAnswer = true
	return nil
}

// grow reserves n more bytes and returns the clients that were evicted for them.
func (c *Client) grow(now time.Time, n int64) (victims []*Client, err *RefusedError) {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.evicted || c.element == nil {
		return nil, &RefusedError{RetryAfter: retryAfter, Evicted: true}
	}
	if l.limits.Bytes == 0 {
		c.hold(n)
		return nil, nil
	}
	limit := l.limits.Bytes
	if c.held-ConnBytes+n > SmallRequestBytes {
		limit -= l.limits.ReservedBytes
	}
	victims, ok := l.makeRoom(now, n, limit, c)
	if !ok {
		return victims, &RefusedError{RetryAfter: retryAfter}
	}
	c.hold(n)
	return victims, nil
}

// Shrink releases n bytes of the request.
func (c *Client) Shrink(n int64) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.element != nil {
		c.hold(-min(n, c.held-ConnBytes))
	}
}
