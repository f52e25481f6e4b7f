package scheduler

import (
	"time"

	"catkinvalve/internal/core/model"
)

// Tick handles what only time brings: deadlines, drains, lost workers, the end
// of quarantine and of retention. The daemon calls it several times a second.
func (c *Core) Tick(now time.Time) {
	c.dropExpired(now)
	if !c.serving {
		c.makeRoom(now)
		return
	}
	for _, it := range c.queue.RemoveExpired(now) {
		if e := c.entries[it.Key]; e != nil {
			c.dropWaiting(now, e, model.ReasonDeadline)
		}
	}
	c.stopDue(now)
	c.expireWorkers(now)
	c.drainWorkers(now)
	c.updateHealth(now)
	if c.servicesPending {
		c.syncServices(now)
	}
	c.keepInteractiveRoom(now)
	c.refreshDoubt(now)
	if c.queue.Len() > 0 {
		// Backoff ends and ageing change the order without any other event.
		c.dirty = true
	}
}
