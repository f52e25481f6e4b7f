package scheduler

import (
	"time"

	"catkinvalve/internal/core/model"
)

// Tick handles what depends on time alone: deadlines, the end of drain times,
// unreachable workers, the end of quarantines and the retention of records. The daemon
// calls it several times a second.
func (c *Core) Tick(now time.Time) {
	c.dropExpiredRecords(now)
	if !c.serving {
		c.evictRecords(now)
		return
	}
	for _, it := range c.queue.RemoveExpired(now) {
		if e := c.entries[it.Key]; e != nil {
			c.dropWaitingTasks(now, e, model.ReasonDeadline)
		}
	}
	c.stopOverdue(now)
	c.loseTasksOfUnreachable(now)
	c.drainWorkers(now)
	c.applyHealthChanges(now)
	if c.serviceSyncPending {
		c.syncServices(now)
	}
	c.updateInteractiveHeadroom(now)
	c.endDoubtIfResolved(now)
	if c.queue.Len() > 0 {
		// Ends of backoffs and ageing change the queue's order without any other event.
		c.dirty = true
	}
}
