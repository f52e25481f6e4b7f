package jobs

import (
	"time"

	"catkinvalve/internal/core/model"
)

// admit decides whether a job is taken.
func (c *Core) admit(now time.Time, spec *Spec, q *Queue) (model.Reason, time.Duration, bool) {
	if c.open >= c.cfg.MaxJobs {
		return model.ReasonQueueFull, retryAfterFull, false
	}
	return "", 0, true
}
