package jobs

import (
	"time"

	"catkinvalve/internal/core/model"
)

// admit reports whether a job is accepted. If not, it also returns the reason
// and the delay after which the client may retry.
func (c *Core) admit(now time.Time, spec *Spec, q *Queue) (model.Reason, time.Duration, bool) {
	if c.unfinishedJobs >= c.cfg.MaxUnfinishedJobs {
		return model.ReasonQueueFull, retryAfterFull, false
	}
	if c.neverFits(spec, q) {
		return model.ReasonNeverFits, retryAfterNeverFits, false
	}
	return "", 0, true
}

// retryAfterNeverFits is the delay after which a client may submit a job again
// that no worker could run; a suitable worker may have been added by then.
const retryAfterNeverFits = 30 * time.Second

// neverFits reports whether a step of the job fits on no worker of its service,
// even on an empty one.
func (c *Core) neverFits(spec *Spec, q *Queue) bool {
	for i := range spec.Steps {
		if def := &spec.Steps[i]; !c.fitsAnyWorker(def, q) {
			return true
		}
	}
	return false
}

// fitsAnyWorker reports whether a task of a step fits on some worker when that
// is empty. It returns true while no worker of the service is known.
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
