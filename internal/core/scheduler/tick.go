package scheduler

import (
	"time"

	"catkinvalve/internal/core/model"
)

// Tick handles what only time brings: deadlines, drains, lost workers, the end
// of quarantine and of retention. The daemon calls it several times a second.
func (c *Core) Tick(now time.Time) {
	c.dropExpiredRecords(now)
	if !c.serving {
		c.evictRecords(now)
		return
	}
	for _, it := range c.queue.Expired(now) {
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
	c.updateInteractiveRoom(now)
	c.endDoubtIfResolved(now)
	if c.queue.Len() > 0 {
		// Backoff ends and ageing change the order without any other event.
		c.dirty = true
	}
}
