package jobs

import "time"

// yieldShare is the fraction of the time until its latest start for which a step lets more
// urgent gangs go first.
const yieldShare = 0.5

// scarceShare is the share of a pool's capacity in use below which a gang that waits does
// not lack capacity, but advice or workers that its policy allows.
const scarceShare = 2.0 / 3

// idleShare is the share of a pool's capacity in use below which it is mostly idle: no step should
// lack a run for long.
const idleShare = 0.5

// noteWaitingGang records that a gang was not placed although its turn had come. A gang in a
// pool with enough free capacity does not count: it gains nothing if other steps wait.
func (c *Core) noteWaitingGang(s *step) {
	if !s.def.Gang || !s.admitted || !c.placeable(s) {
		return
	}
	p := c.pool(s)
	if p.usedShare < scarceShare || p.hasSpare() {
		return
	}
	p.gangWaits, p.gangPriority = true, s.job().queue.Priority
}

// yields reports whether a step does not start tasks now because a gang of a higher
// priority waits for capacity. Otherwise its tasks, one by one, would take all capacity that
// becomes free, although they have time to spare and the gang has not. Steps are tried in
// the order of priority, so the gangs of this round are known.
func (c *Core) yields(now time.Time, s *step) bool {
	p := c.pool(s)
	if s.def.Gang || !p.gangWaits || s.job().queue.Priority <= p.gangPriority {
		return false
	}
	slack := s.startBy.Sub(s.job().acceptedAt)
	return s.startBy.Sub(now) > time.Duration((1-yieldShare)*float64(slack))
}
