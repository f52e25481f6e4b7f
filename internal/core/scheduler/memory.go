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
type memoryUsage struct {
	// settled lists the records with a final fate, about in the order of their end.
	finalized []finalizedKey
	// answers lists the records that hold an answer, oldest first.
	answerKeys   []string
	answerBytes  int
	payloadBytes int
	lastSweep    time.Time
}

// noteSettled accounts for a record that reached its final fate.
func (c *Core) accountFinalized(e *entry, at time.Time) {
	c.mem.finalized = append(c.mem.finalized, finalizedKey{e.rec.Request.Key, at})
	c.dropPayload(e)
	if n := len(e.rec.Answer); n > 0 {
		c.mem.answerKeys = append(c.mem.answerKeys, e.rec.Request.Key)
		c.mem.answerBytes += n
	}
	c.evictAnswers()
}

// trimAnswers drops the oldest answers beyond the bound. The newest answer
// stays, because its caller may not have read it yet.
func (c *Core) evictAnswers() {
	for c.mem.answerBytes > maxAnswerBytes && len(c.mem.answerKeys) > 1 {
		if e := c.entries[c.mem.answerKeys[0]]; e != nil && e.rec.Fate.Terminal() {
			c.dropAnswer(e)
			e.rec.AnswerDropped = true
		}
		c.mem.answerKeys = c.mem.answerKeys[1:]
	}
}

func (c *Core) dropAnswer(e *entry) {
	if e.rec.Fate.Terminal() {
		c.mem.answerBytes -= len(e.rec.Answer)
		e.rec.Answer = nil
	}
}

// takePayload accounts for the payload of a new record.
func (c *Core) accountPayload(e *entry) { c.mem.payloadBytes += len(e.rec.Request.Payload) }

func (c *Core) dropPayload(e *entry) {
	c.mem.payloadBytes -= len(e.rec.Request.Payload)
	e.rec.Request.Payload = nil
}

// checkRoom refuses a request for which the record table has no room.
func (c *Core) checkMemoryLimits(now time.Time, r *model.Request) *fault.Error {
	const remedy = "retry later with backoff and the same key; the bound is on what waits and runs in one data centre"
	if !c.evictRecords(now) {
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
	sweepDivisor  = 10
)

// dropExpired forgets final fates past the retention.
func (c *Core) dropExpiredRecords(now time.Time) {
	n := 0
	for n < len(c.mem.finalized) && now.Sub(c.mem.finalized[n].endedAt) > c.cfg.Retention {
		c.dropRecord(c.mem.finalized[n].key)
		n++
	}
	c.mem.finalized = c.mem.finalized[n:]
}

func (c *Core) dropRecord(key string) {
	if e := c.entries[key]; e != nil && e.rec.Fate.Terminal() {
		c.dropAnswer(e)
		delete(c.entries, key)
		c.counters.RecordsDropped++
	}
}

// makeRoom keeps the record table within its bound. Only records of idempotent
// requests may be dropped before the retention ends; forgetting another one
// would let a late retry run it twice.
func (c *Core) evictRecords(now time.Time) bool {
	if len(c.entries) < c.cfg.MaxRecords {
		return true
	}
	if now.Sub(c.mem.lastSweep) < sweepInterval {
		return false
	}
	c.mem.lastSweep = now
	c.dropExpiredRecords(now)
	kept := c.mem.finalized[:0]
	for _, s := range c.mem.finalized {
		e := c.entries[s.key]
		if e == nil {
			continue
		}
		if len(c.entries) > c.cfg.MaxRecords-c.cfg.MaxRecords/sweepDivisor && e.rec.Request.Idempotent {
			c.dropRecord(s.key)
			continue
		}
		kept = append(kept, s)
	}
	c.mem.finalized = kept
	return len(c.entries) < c.cfg.MaxRecords
}
