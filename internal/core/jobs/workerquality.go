package jobs

import (
	"cmp"
	"time"
)

const (
	// suspicionTime is how long a failed run tells something about its worker.
	suspicionTime = 8 * time.Second
	// probationFailures is the number of failures in a row after which a worker is on probation. One
	// failure is as often the fault of the task.
	probationFailures = 2
	// probationPause is how long a worker gets no run after so many failures. It doubles with
	// each further one, up to maxProbationPause: a job has to find another worker soon, also when
	// many fail.
	probationPause    = 500 * time.Millisecond
	maxProbationPause = 2 * time.Second
	// lastAttemptWait is how long a task that must not fail again waits for a worker on which the
	// last run has not failed.
	lastAttemptWait = 1500 * time.Millisecond
)

// workerQuality tells how the last runs on a process of a worker have ended. It answers the load of
// workers that fail at once what they start while they report themselves healthy: they always have
// room, so that a wide job would use up the attempts of all its tasks there.
type workerQuality struct {
	// failures counts the runs that have failed since one has succeeded.
	failures int
	// lastSuccessAt and lastFailureAt are when a run last succeeded and failed; zero if none has.
	lastSuccessAt, lastFailureAt time.Time
}

func (q *workerQuality) recordSuccess(now time.Time) { q.failures, q.lastSuccessAt = 0, now }

func (q *workerQuality) recordFailure(now time.Time) {
	q.failures++
	q.lastFailureAt = now
}

// suspect reports whether the worker may fail all runs: the last one that ended has failed.
func (q *workerQuality) suspect(now time.Time) bool {
	return q.failures > 0 && now.Sub(q.lastFailureAt) < suspicionTime
}

// pause returns how long a worker on probation gets no run after its last failure.
func (q *workerQuality) pause() time.Duration {
	return min(probationPause<<min(q.failures-probationFailures, 4), maxProbationPause)
}

// onProbation reports whether the worker gets no further run now. On probation it gets one run at a
// time after a pause, until one succeeds.
func (w *worker) onProbation(now time.Time) bool {
	q := &w.quality
	if q.failures < probationFailures || !q.suspect(now) {
		return false
	}
	if now.Sub(q.lastFailureAt) < q.pause() {
		return true
	}
	for _, r := range w.runs {
		if r.sentAt.After(q.lastFailureAt) {
			return true
		}
	}
	return false
}

// lastAttempt reports whether the job fails if the task, or its gang, fails once more.
func (t *task) lastAttempt() bool {
	failed := len(t.failedRuns())
	if t.step.def.Gang {
		failed = len(t.step.gang.failed)
	}
	return failed > 0 && failed+1 >= t.step.job().queue.MaxAttempts
}

// awaitsSoundWorker reports whether the task should not start on the worker, because it must not fail
// again and the last run there has failed.
func (t *task) awaitsSoundWorker(now time.Time, w *worker) bool {
	return w.quality.suspect(now) && t.lastAttempt() && now.Sub(t.step.lastFailureAt) < lastAttemptWait
}

// compareWorkers orders the workers on which a task could start, the best first.
func compareWorkers(now time.Time, s *step, a, b *worker) int {
	return cmp.Or(compareBool(a.quality.suspect(now), b.quality.suspect(now)), cmp.Compare(score(s, a), score(s, b)))
}
