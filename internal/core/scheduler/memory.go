package scheduler

import (
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
)

// Bounds on the variable parts of all records together, in bytes. Answers of
// finished requests beyond the bound are dropped, oldest first. Payloads are
// needed until the request ends, so a request that would exceed their bound is
// refused.
const (
	maxAnswerBytes  = 8 << 20
	maxPayloadBytes = 16 << 20
)

// memoryUsage tracks what the records hold, to keep them within their bounds.
type memoryUsage struct {
	// finalized lists the keys with a final fate, roughly in the order of their end.
	finalized []finalizedKey
	// answerKeys lists the keys whose records hold an answer, oldest first.
	answerKeys   []string
	answerBytes  int
	payloadBytes int
	// lastSweep is when evictRecords last visited all finalized keys.
	lastSweep time.Time
}

// accountFinalized accounts for a record that has just reached its final fate. It
// drops the payload, and old answers beyond their bound.
func (c *Core) accountFinalized(e *entry, at time.Time) {
	c.mem.finalized = append(c.mem.finalized, finalizedKey{e.rec.Request.Key, at})
	c.dropPayload(e)
	if n := len(e.rec.Answer); n > 0 {
		c.mem.answerKeys = append(c.mem.answerKeys, e.rec.Request.Key)
		c.mem.answerBytes += n
	}
	c.evictAnswers()
}

// evictAnswers drops the oldest answers beyond the bound. The newest answer
// stays even if it exceeds the bound alone, because its caller may not have read
// it yet.
func (c *Core) evictAnswers() {
	for c.mem.answerBytes > maxAnswerBytes && len(c.mem.answerKeys) > 1 {
		if e := c.entries[c.mem.answerKeys[0]]; e != nil && e.rec.Fate.Terminal() {
			c.dropAnswer(e)
			e.rec.AnswerDropped = true
		}
		c.mem.answerKeys = c.mem.answerKeys[1:]
	}
}

// dropAnswer removes the answer of a record with a final fate.
func (c *Core) dropAnswer(e *entry) {
	if e.rec.Fate.Terminal() {
		c.mem.answerBytes -= len(e.rec.Answer)
		e.rec.Answer = nil
	}
}

// accountPayload adds the payload of a new record to the accounted bytes.
func (c *Core) accountPayload(e *entry) { c.mem.payloadBytes += len(e.rec.Request.Payload) }

// dropPayload removes a record's payload and its accounted bytes.
func (c *Core) dropPayload(e *entry) {
	c.mem.payloadBytes -= len(e.rec.Request.Payload)
	e.rec.Request.Payload = nil
}

// checkMemoryLimits returns a fault if the record table or the payload bound has
// no room for a new request. It evicts records to make room first.
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

// A sweep of a full record table visits all finalized records. To limit its cost,
// it runs at most once per sweepInterval and frees up to 1/sweepDivisor of the
// table.
const (
	sweepInterval = time.Second
	sweepDivisor  = 10
)

// dropExpiredRecords drops records whose final fate is older than the retention.
func (c *Core) dropExpiredRecords(now time.Time) {
	n := 0
	for n < len(c.mem.finalized) && now.Sub(c.mem.finalized[n].endedAt) > c.cfg.Retention {
		c.dropRecord(c.mem.finalized[n].key)
		n++
	}
	c.mem.finalized = c.mem.finalized[n:]
}

// dropRecord removes the record of a key if its fate is final.
func (c *Core) dropRecord(key string) {
	if e := c.entries[key]; e != nil && e.rec.Fate.Terminal() {
		c.dropAnswer(e)
		delete(c.entries, key)
		c.counters.RecordsDropped++
	}
}

// evictRecords keeps the record table within its bound and reports whether it has
// room for another record. Only records of idempotent requests may be dropped
// before the retention ends. Without the record of a non-idempotent request, a
// late retry of the caller would run it twice.
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
	for _, f := range c.mem.finalized {
		e := c.entries[f.key]
		if e == nil {
			continue
		}
		if len(c.entries) > c.cfg.MaxRecords-c.cfg.MaxRecords/sweepDivisor && e.rec.Request.Idempotent {
			c.dropRecord(f.key)
			continue
		}
		kept = append(kept, f)
	}
	c.mem.finalized = kept
	return len(c.entries) < c.cfg.MaxRecords
}
