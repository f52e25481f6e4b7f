package scheduler

import (
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
)

// Bounds of what records may hold besides their fixed part. Answers that were
// told and exceed the bound are dropped, oldest first; payloads are needed
// until the request ends, so a request that exceeds their bound is refused.
const (
	maxAnswerBytes  = 8 << 20
	maxPayloadBytes = 16 << 20
)

// memory keeps the records and their answers within bounds.
type memory struct {
	// settled lists the records with a final fate, about in the order of their end.
	settled []settledKey
	// answers lists the records that hold an answer, oldest first.
	answers      []string
	answerBytes  int
	payloadBytes int
	lastSweep    time.Time
}

// noteSettled accounts for a record that reached its final fate.
func (c *Core) noteSettled(e *entry, at time.Time) {
	c.mem.settled = append(c.mem.settled, settledKey{e.rec.Request.Key, at})
	c.dropPayload(e)
	if n := len(e.rec.Answer); n > 0 {
		c.mem.answers = append(c.mem.answers, e.rec.Request.Key)
		c.mem.answerBytes += n
	}
	c.trimAnswers()
}

// trimAnswers drops the oldest answers beyond the bound. The newest answer
// stays, because its caller may not have read it yet.
func (c *Core) trimAnswers() {
	for c.mem.answerBytes > maxAnswerBytes && len(c.mem.answers) > 1 {
		if e := c.entries[c.mem.answers[0]]; e != nil && e.rec.Fate.Terminal() {
			c.forgetAnswer(e)
			e.rec.AnswerDropped = true
		}
		c.mem.answers = c.mem.answers[1:]
	}
}

func (c *Core) forgetAnswer(e *entry) {
	if e.rec.Fate.Terminal() {
		c.mem.answerBytes -= len(e.rec.Answer)
		e.rec.Answer = nil
	}
}

// takePayload accounts for the payload of a new record.
func (c *Core) takePayload(e *entry) { c.mem.payloadBytes += len(e.rec.Request.Payload) }

func (c *Core) dropPayload(e *entry) {
	c.mem.payloadBytes -= len(e.rec.Request.Payload)
	e.rec.Request.Payload = nil
}

// checkRoom refuses a request for which the record table has no room.
func (c *Core) checkRoom(now time.Time, r *model.Request) *fault.Error {
	const remedy = "retry later with backoff and the same key; the bound is on what waits and runs in one data centre"
	if !c.makeRoom(now) {
		return fault.New(fault.Overloaded, remedy, "the table of %d key records is full", c.cfg.MaxRecords)
	}
	if c.mem.payloadBytes+len(r.Payload) > maxPayloadBytes {
		return fault.New(fault.Overloaded, remedy, "the payloads of unfinished requests exceed %d bytes", maxPayloadBytes)
	}
	return nil
}

// A sweep of a full record table visits all settled records, so it frees a
// share of the table at a time and runs at most once an interval.
const (
	sweepInterval = time.Second
	sweepShare    = 10
)

// dropExpired forgets final fates past the retention.
func (c *Core) dropExpired(now time.Time) {
	n := 0
	for n < len(c.mem.settled) && now.Sub(c.mem.settled[n].at) > c.cfg.Retention {
		c.dropRecord(c.mem.settled[n].key)
		n++
	}
	c.mem.settled = c.mem.settled[n:]
}

func (c *Core) dropRecord(key string) {
	if e := c.entries[key]; e != nil && e.rec.Fate.Terminal() {
		c.forgetAnswer(e)
		delete(c.entries, key)
		c.stat.RecordsDropped++
	}
}

// makeRoom keeps the record table within its bound. Only records of idempotent
// requests may be dropped before the retention ends; forgetting another one
// would let a late retry run it twice.
func (c *Core) makeRoom(now time.Time) bool {
	if len(c.entries) < c.cfg.MaxRecords {
		return true
	}
	if now.Sub(c.mem.lastSweep) < sweepInterval {
		return false
	}
	c.mem.lastSweep = now
	c.dropExpired(now)
	kept := c.mem.settled[:0]
	for _, s := range c.mem.settled {
		e := c.entries[s.key]
		if e == nil {
			continue
		}
		if len(c.entries) > c.cfg.MaxRecords-c.cfg.MaxRecords/sweepShare && e.rec.Request.Idempotent {
			c.dropRecord(s.key)
			continue
		}
		kept = append(kept, s)
	}
	c.mem.settled = kept
	return len(c.entries) < c.cfg.MaxRecords
}
