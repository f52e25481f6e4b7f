package scheduler

import (
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/placement"
)

// backfillReservation reserves workers for a waiting gang from its estimated start,
// so that smaller tasks which backfill them do not delay the gang.
type backfillReservation struct {
	key string
	// start is when all tasks of the gang are expected to fit.
	start time.Time
	// expires is when the estimate has to be made again.
	expires time.Time
	workers map[model.WorkerID]bool
}

// gangReservationTTL is how long the estimated start of a waiting gang is used.
// The estimate visits all tasks of the data centre, which is too expensive for
// every call of Schedule.
const gangReservationTTL = 200 * time.Millisecond

// reserveForGang estimates when and where a waiting gang can start, so that
// backfilled tasks do not delay it. It keeps the reservation of another gang that
// has not expired.
func (c *Core) reserveForGang(now time.Time, e *entry, spec placement.TaskSpec, tasks int) {
	if c.gangReservation.key != "" {
		return
	}
	start, workers, ok := c.index.EarliestStart(spec, tasks, func(id model.TaskID) time.Time { return c.estimateEnd(now, id) })
	if !ok {
		return
	}
	c.gangReservation = backfillReservation{
		key: e.rec.Request.Key, start: start, expires: now.Add(gangReservationTTL), workers: make(map[model.WorkerID]bool, len(workers)),
	}
	for _, w := range workers {
		c.gangReservation.workers[w] = true
	}
}

// estimateEnd estimates when a running task ends. A task past its declared run
// time is assumed to run as long again as it already has. A task without a run time
// is assumed to end after the retention, unless it belongs to a service: services last,
// so the result is the zero time.
func (c *Core) estimateEnd(now time.Time, id model.TaskID) time.Time {
	e := c.entries[id.Key]
	switch {
	case e == nil || id.Index >= len(e.tasks):
		return now.Add(c.cfg.Retention)
	case e.rec.Request.RunTime <= 0 && e.rec.Request.Class == model.Service:
		return time.Time{}
	case e.rec.Request.RunTime <= 0:
		return now.Add(c.cfg.Retention)
	}
	startedAt := e.tasks[id.Index].startedAt
	end := startedAt.Add(e.rec.Request.RunTime)
	if end.Before(now) {
		end = now.Add(now.Sub(startedAt))
	}
	return end
}

// delaysGang reports whether a batch task on worker w might still run when the
// gang for which w is reserved can start. More urgent classes ignore the
// reservation.
func (c *Core) delaysGang(now time.Time, e *entry, w model.WorkerID) bool {
	if c.gangReservation.key == "" || e.rec.Request.Class != model.Batch || !c.gangReservation.workers[w] {
		return false
	}
	runTime := e.rec.Request.RunTime
	return runTime <= 0 || now.Add(runTime).After(c.gangReservation.start)
}
