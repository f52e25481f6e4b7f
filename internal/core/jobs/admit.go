package jobs

import (
	"iter"
	"maps"
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

// admit reports whether a job is accepted. If not, it also returns the reason
// and the delay after which the client may retry.
func (c *Core) admit(now time.Time, spec *Spec, q *Queue) (model.Reason, time.Duration, bool) {
	if c.unfinishedJobs >= c.cfg.MaxUnfinishedJobs {
		return model.ReasonQueueFull, retryAfterFull, false
	}
	if c.neverFits(now, spec, q) {
		if c.listMayBeIncomplete(now, q) {
			return model.ReasonNeverFits, retryAfterIncompleteList, false
		}
		return model.ReasonNeverFits, retryAfterNeverFits, false
	}
	return "", 0, true
}

// retryAfterNeverFits is the delay after which a client may submit a job again
// that no worker could run; a suitable worker may have been added by then.
const retryAfterNeverFits = 30 * time.Second

const (
	// listReturnTime is how long after its first reading the list of workers may lack entries
	// that expired while the store was unavailable.
	listReturnTime = 2500 * time.Millisecond
	// retryAfterIncompleteList replaces retryAfterNeverFits for that time.
	retryAfterIncompleteList = 2 * time.Second
)

// listMayBeIncomplete reports whether a worker of the queue's service may be missing from the
// list: an earlier leader has recorded it, and the list was first read only a short time ago.
func (c *Core) listMayBeIncomplete(now time.Time, q *Queue) bool {
	return now.Sub(c.listFirstReadAt) < listReturnTime && slices.ContainsFunc(c.workerList, func(w *worker) bool {
		return !w.listed && w.recordState != recordNone && w.Service == q.Service
	})
}

// neverFits reports whether a step of the job could not run even if nothing else did: a task
// fits on no worker of its service, or the members of a gang do not all fit at the same time.
func (c *Core) neverFits(now time.Time, spec *Spec, q *Queue) bool {
	for i := range spec.Steps {
		def := &spec.Steps[i]
		if !c.fitsAnyWorker(now, def, q) || def.Gang && !c.gangFitsAllWorkers(now, def, q) {
			return true
		}
	}
	return false
}

// fitsAnyWorker reports whether a task of a step fits on some worker when that
// is empty. It returns true while no worker of the service is known.
func (c *Core) fitsAnyWorker(now time.Time, def *Step, q *Queue) bool {
	known := false
	for e := range c.admissionWorkers(now, q.Service) {
		known = true
		if def.Size.Fits(e.Capacity) && e.hasLabel(def.Label) {
			return true
		}
	}
	return !known
}

// admissionWorkers returns the workers of a service on which a job may count when it is accepted:
// the listed ones and those that may come back. While many restart, or their entries have expired
// with the store, a job that needs them is not hopeless.
func (c *Core) admissionWorkers(now time.Time, service string) iter.Seq[*WorkerEntry] {
	return func(yield func(*WorkerEntry) bool) {
		for _, w := range c.workerList {
			if w.countsForAdmission(now) && w.Service == service && !yield(&w.WorkerEntry) {
				return
			}
		}
		for _, a := range c.absent {
			if now.Sub(a.leftAt) <= absenceTime && a.entry.Service == service && !yield(&a.entry) {
				return
			}
		}
	}
}

// firstAnswerTime is how long a listed worker may leave this leader's first calls without an answer
// before its entry no longer counts: nothing shows then that there is such a worker.
const firstAnswerTime = 10 * time.Second

// countsForAdmission reports whether jobs may be accepted because they fit on the worker.
func (w *worker) countsForAdmission(now time.Time) bool {
	return w.listed && (w.answered || w.failedAt.IsZero() || now.Sub(w.failedAt) < firstAnswerTime)
}

// absenceTime is how long a worker that has left without notice may be expected to come back.
const absenceTime = time.Minute

// absentWorker is a worker that left without notice.
type absentWorker struct {
	entry  WorkerEntry
	leftAt time.Time
}

// recordAbsences records which workers have left without notice since the last list of
// workers, in which previous were listed.
func (c *Core) recordAbsences(now time.Time, previous []*worker) {
	maps.DeleteFunc(c.absent, func(id model.WorkerID, a absentWorker) bool {
		w := c.workers[id]
		return w != nil && w.listed || now.Sub(a.leftAt) > absenceTime
	})
	for _, w := range previous {
		if !w.listed && !w.Draining {
			c.absent[w.ID] = absentWorker{w.WorkerEntry, now}
		}
	}
}

// gangFitsAllWorkers reports whether all members of a gang fit on the workers of its service at
// the same time when these are empty. It returns true while no worker of the service is known.
func (c *Core) gangFitsAllWorkers(now time.Time, def *Step, q *Queue) bool {
	known, missing := false, def.Count
	for e := range c.admissionWorkers(now, q.Service) {
		known = true
		if e.hasLabel(def.Label) {
			missing -= min(copiesIn(e.Capacity, def.Size), maxPerWorker(def))
		}
		if missing <= 0 {
			return true
		}
	}
	return !known
}

// maxPerWorker returns how many tasks of a step one worker may have at the same time.
func maxPerWorker(def *Step) int {
	if def.MaxPerWorker == 0 {
		return def.Count
	}
	return def.MaxPerWorker
}
