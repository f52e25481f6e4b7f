package bench

import (
	"time"

	"catkinvalve/internal/core/model"
)

// start is a task attempt that a system starts on a worker.
type start struct {
	worker  model.WorkerID
	id      model.TaskID
	attempt int
	size    model.Size
}

// stop ends a running task attempt. With checkpoint the next attempt continues
// where this one stopped.
type stop struct {
	worker     model.WorkerID
	id         model.TaskID
	attempt    int
	checkpoint bool
}

// system is a scheduler under test. All systems receive the same calls.
type system interface {
	name() string
	submit(now time.Time, j *job) (accepted bool)
	cancel(now time.Time, j *job)
	// taskEnded reports that a task succeeded or failed, taskStopped that it was
	// stopped.
	taskEnded(now time.Time, s start, ok bool)
	taskStopped(now time.Time, s start)
	// recordUsage reports the measured usage of running tasks of a worker.
	recordUsage(now time.Time, w model.WorkerID, u []model.Usage)
	// plannedSize returns the size that the system reserves for a running task.
	plannedSize(s start) model.Size
	tick(now time.Time)
	// takeActions schedules and returns the tasks to start and to stop.
	takeActions(now time.Time) ([]start, []stop)
}
