package scheduler

import (
	"time"

	"catkinvalve/internal/core/model"
)

// Tick handles what only time brings: deadlines, drains, lost workers, the end
// of quarantine and of retention. The daemon calls it several times a second.
func (c *Core) Tick(now time.Time) {
	if !c.serving {
		return
	}
	for _, it := range c.queue.Expired(now) {
		if e := c.entries[it.Key]; e != nil {
			c.dropWaiting(now, e, model.ReasonDeadline)
		}
	}
	c.stopOverdue(now)
	c.expireWorkers(now)
	c.drainWorkers(now)
	c.updateHealth(now)
	c.dropExpired(now)
	c.refreshDoubt(now)
	if c.queue.Len() > 0 {
		// Backoff ends and ageing change the order without any other event.
		c.dirty = true
	}
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
	for n < len(c.settled) && now.Sub(c.settled[n].at) > c.cfg.Retention {
		c.dropRecord(c.settled[n].key)
		n++
	}
	c.settled = c.settled[n:]
}

func (c *Core) dropRecord(key string) {
	if e := c.entries[key]; e != nil && e.rec.Fate.Terminal() {
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
	if now.Sub(c.lastSweep) < sweepInterval {
		return false
	}
	c.lastSweep = now
	c.dropExpired(now)
	kept := c.settled[:0]
	for _, s := range c.settled {
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
	c.settled = kept
	return len(c.entries) < c.cfg.MaxRecords
}
