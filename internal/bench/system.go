package bench

import (
	"time"

	"catkinvalve/internal/core/model"
)

// start is a task that a system starts on a worker.
type start struct {
	worker  model.WorkerID
	id      model.TaskID
	attempt int
	size    model.Size
}

// stop ends a running task; its remaining work is kept when it is a checkpoint.
type stop struct {
	worker     model.WorkerID
	id         model.TaskID
	attempt    int
	checkpoint bool
}

// system is a scheduler under test. All of them get the same calls.
type system interface {
	name() string
	submit(now time.Time, j *job) (accepted bool)
	cancel(now time.Time, j *job)
	// ended reports the end of a task, ok or failed.
	taskEnded(now time.Time, s start, ok bool)
	taskStopped(now time.Time, s start)
	// usage reports the measured use of running tasks of a worker.
	recordUsage(now time.Time, w model.WorkerID, u []model.Usage)
	// planned returns the size that the system holds for a running task.
	plannedSize(s start) model.Size
	tick(now time.Time)
	// take schedules and returns what to start and stop.
	takeActions(now time.Time) ([]start, []stop)
}
