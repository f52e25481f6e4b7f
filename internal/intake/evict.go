package intake

import "time"

const (
	// stallTime is how long a request may make no progress, or an answer may wait for its
	// client, while others need the room.
	stallTime = 500 * time.Millisecond
	// minProgress is how much of a body must arrive to count as progress, so that single bytes do
	// not protect a request.
	minProgress = 1 << 10
)

// connVictim returns the client whose connection is closed for a new one, or nil: the one that is
// idle for the longest time, or else one that keeps others waiting. mu must be held.
func (l *Limiter) connVictim(now time.Time) *Client {
	var slow *Client
	for e := l.clients.Front(); e != nil; e = e.Next() {
		c := e.Value.(*Client)
		if c.phase == phaseIdle && now.Sub(c.since) >= l.limits.MinIdle {
			return c
		}
		if slow == nil && (c.evicted || c.tooSlow(now)) {
			slow = c
		}
	}
	return slow
}

// requestVictim returns the client whose request is evicted so that another can grow, or nil: of
// those that hold memory and are too slow, or idle, the one without progress for the longest time.
// mu must be held.
func (l *Limiter) requestVictim(now time.Time, requester *Client) *Client {
	for e := l.clients.Front(); e != nil; e = e.Next() {
		c := e.Value.(*Client)
		if c == requester || c.evicted || c.held <= ConnBytes {
			continue
		}
		if c.evictable() && c.tooSlow(now) || c.phase == phaseIdle && now.Sub(c.since) >= l.limits.MinIdle {
			return c
		}
	}
	return nil
}

// evictable reports whether the request may be evicted if it is too slow: it is still being read, so
// that nobody has acted on it, or its answer is large.
func (c *Client) evictable() bool {
	return c.phase == phaseHeader || c.phase == phaseBody || c.phase == phaseAnswer && c.largeAnswer
}

// tooSlow reports whether the client keeps others waiting that need the room.
func (c *Client) tooSlow(now time.Time) bool {
	switch c.phase {
	case phaseHeader, phaseAnswer:
		return now.Sub(c.since) >= stallTime
	case phaseBody:
		return now.Sub(c.since) >= stallTime || c.cannotComplete(now)
	}
	return false
}

// cannotComplete reports whether the body, at its rate so far, is not complete by its deadline.
func (c *Client) cannotComplete(now time.Time) bool {
	elapsed := now.Sub(c.bodyStart)
	if elapsed < stallTime || c.deadline.IsZero() {
		return false
	}
	perSecond := float64(c.received) / elapsed.Seconds()
	return float64(c.expected-c.received) > perSecond*c.deadline.Sub(now).Seconds()
}
