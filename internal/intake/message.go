package intake

import "time"

// A connection between daemons carries messages, some of which are calls. While a message
// arrives, its connection can be evicted like that of a caller whose body arrives.

// StartMessage records that a message begins to arrive.
func (c *Client) StartMessage(now time.Time) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.enter(phaseBody, now)
	c.bodyStart, c.deadline, c.progress = now, time.Time{}, 0
}

// ReceivedMessage records n bytes of a message.
func (c *Client) ReceivedMessage(now time.Time, n int) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.receivedBody(now, int64(n))
}

// EndMessage records that a message is complete. It returns a *RefusedError if the connection was
// evicted before.
func (c *Client) EndMessage(now time.Time) error {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.evicted {
		return &RefusedError{RetryAfter: retryAfter, Evicted: true}
	}
	if c.inCall {
		c.enter(phaseServing, now)
	} else {
		c.enter(phaseIdle, now)
	}
	return nil
}

// StartCall records that a call is executed from now on, during which its connection is not
// evicted.
func (c *Client) StartCall(now time.Time) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.inCall = true
	if c.phase == phaseIdle {
		c.enter(phaseServing, now)
	}
}

// EndCall records that a call was answered.
func (c *Client) EndCall(now time.Time) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.inCall = false
	if c.phase == phaseServing {
		c.enter(phaseIdle, now)
	}
}
