package jobs

import (
	"time"

	"catkinvalve/internal/core/model"
)

// admit decides whether a job is taken.
func (c *Core) admit(now time.Time, spec *Spec, q *Queue) (model.Reason, time.Duration, bool) {
	if c.unfinishedJobs >= c.cfg.MaxUnfinishedJobs {
		return model.ReasonQueueFull, retryAfterFull, false
	}
	if c.neverFits(spec, q) {
		return model.ReasonNeverFits, retryAfterNeverFits, false
	}
	return "", 0, true
}

// retryAfterHopeless is when a caller may ask again whether a worker has come
// that could run its job.
const retryAfterNeverFits = 30 * time.Second

// hopeless reports whether a step of the job could run on no worker of its
// service, even on an empty one. Without any worker nothing is known.
func (c *Core) neverFits(spec *Spec, q *Queue) bool {
	for i := range spec.Steps {
		if def := &spec.Steps[i]; !c.fitsAnyWorker(def, q) {
			return true
		}
	}
	return false
}

// anyCould reports whether a worker could run a task of a step when empty.
func (c *Core) fitsAnyWorker(def *Step, q *Queue) bool {
	known := false
	for _, w := range c.workerList {
		if !w.listed || w.Service != q.Service {
			continue
		}
		known = true
		if def.Size.Fits(w.resources.capacity) && w.hasLabel(def.Label) {
			return true
		}
	}
	return !known
}
