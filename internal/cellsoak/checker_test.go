package cellsoak

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/core/model"
)

// Guards against checks that cannot fail: each case violates one rule, and only
// violations with the label of that rule may be reported.
func TestEachBrokenPromiseIsSeen(t *testing.T) {
	task := jobs.TaskRef{Job: "j"}
	newRequest := func(run int64) jobs.StartRequest {
		return jobs.StartRequest{Task: task, Run: run, Payload: "100", LeaseDeadlineMs: 5000}
	}
	for name, c := range map[string]struct {
		rule    string
		violate func(chk *checker, a, b *worker, j *trackedJob)
	}{
		"unknown job": {"UNASKED", func(_ *checker, a, _ *worker, _ *trackedJob) {
			a.start(1, &jobs.StartRequest{Task: jobs.TaskRef{Job: "other"}, Run: 1, LeaseDeadlineMs: 5000})
		}},
		"another payload": {"UNASKED", func(_ *checker, a, _ *worker, _ *trackedJob) {
			a.start(1, &jobs.StartRequest{Task: task, Run: 1, Payload: "7", LeaseDeadlineMs: 5000})
		}},
		"refused job": {"REFUSED", func(_ *checker, a, _ *worker, j *trackedJob) {
			j.accepted, j.refused = false, 1
			req := newRequest(1)
			a.start(1, &req)
		}},
		"over capacity": {"LIMIT", func(_ *checker, a, _ *worker, j *trackedJob) {
			j.spec.Steps[0].Size.MilliCPU = 5000
			req, other := newRequest(1), newRequest(1)
			other.Task.Index = 1
			a.start(1, &req)
			a.start(1, &other)
		}},
		"beyond the limit of its tenant": {"QUOTA", func(chk *checker, a, b *worker, j *trackedJob) {
			j.tenant = "t"
			chk.limitChanged("t", model.Size{MilliCPU: 1500})
			req, other := newRequest(1), newRequest(1)
			other.Task.Index = 1
			a.start(1, &req)
			b.start(1, &other)
		}},
		"on two workers": {"TWICE", func(_ *checker, a, b *worker, _ *trackedJob) {
			req, again := newRequest(1), newRequest(2)
			a.start(1, &req)
			b.start(1, &again)
		}},
		"done and started again": {"TWICE", func(chk *checker, a, b *worker, _ *trackedJob) {
			req, again := newRequest(1), newRequest(2)
			a.start(1, &req)
			a.endRun(task, a.runs[task], jobs.EndDone)
			b.start(1, &again)
			chk.acknowledged(&a.unackedEnds[0])
		}},
		"before its step": {"ORDER", func(_ *checker, a, _ *worker, j *trackedJob) {
			req := newRequest(1)
			req.Task.Step = 1
			a.start(1, &req)
		}},
		"failed too often": {"BUDGET", func(chk *checker, a, _ *worker, _ *trackedJob) {
			chk.task(task).failures = maxAttempts
			req := newRequest(9)
			a.start(1, &req)
		}},
		"completed early":      {"MIXED", func(chk *checker, _, _ *worker, j *trackedJob) { chk.checkReported(j, jobs.ViewCompleted) }},
		"failed without cause": {"LOST", func(chk *checker, _, _ *worker, j *trackedJob) { chk.checkReported(j, jobs.ViewFailed) }},
		"failed before its ends were reported": {"LOST", func(chk *checker, a, _ *worker, j *trackedJob) {
			failRuns(a, task, maxAttempts)
			chk.checkReported(j, jobs.ViewFailed)
		}},
		"cancelled by nobody": {"LOST", func(chk *checker, _, _ *worker, j *trackedJob) { chk.checkReported(j, jobs.ViewCancelled) }},
		"three starts after three crashes": {"BUDGET", func(_ *checker, a, _ *worker, j *trackedJob) {
			j.spec = deadlyJob("j").spec
			crashWorker(t, a, "j", maxCrashes+startsAfterCrashes-1)
			a.start(1, deadlyRequest("j", 9))
		}},
		"innocent job failed after crashes": {"LOST", func(chk *checker, a, _ *worker, j *trackedJob) {
			chk.jobs["guilty"] = deadlyJob("guilty")
			for run := range int64(maxCrashes) {
				req := newRequest(run + 1)
				a.start(1, &req)
				crashWorker(t, a, "guilty", 1)
			}
			assert.Equal(t, chk.task(task).crashes, maxCrashes)
			chk.checkReported(j, jobs.ViewFailed)
		}},
		"failed after its workers were killed": {"LOST", func(chk *checker, a, _ *worker, j *trackedJob) {
			for run := range int64(maxCrashes) {
				req := newRequest(run + 1)
				a.start(1, &req)
				a.restart()
			}
			chk.checkReported(j, jobs.ViewFailed)
		}},
		"deadly job failed after one crash": {"LOST", func(chk *checker, a, _ *worker, j *trackedJob) {
			j.spec = deadlyJob("j").spec
			crashWorker(t, a, "j", 1)
			chk.checkReported(j, jobs.ViewFailed)
		}},
		"deadly job without an end": {"LOST", func(chk *checker, a, _ *worker, j *trackedJob) {
			j.spec = deadlyJob("j").spec
			crashWorker(t, a, "j", maxCrashes)
			chk.checkUnfinished(chk.unfinished())
		}},
		"deadly job completed": {"MIXED", func(chk *checker, a, _ *worker, j *trackedJob) {
			j.spec = deadlyJob("j").spec
			crashWorker(t, a, "j", minCrashes)
			chk.checkReported(j, jobs.ViewCompleted)
		}},
	} {
		chk := newChecker()
		a, b := newWorker(chk, "w-00", workerCapacity, 1), newWorker(chk, "w-01", workerCapacity, 2)
		size := model.Size{MilliCPU: 1000, MemMB: 10}
		j := &trackedJob{accepted: true, spec: &jobs.Spec{ID: "j", Payload: "100", Steps: []jobs.Step{{Count: 2, Size: size}, {Count: 1, Size: size, After: []int{0}}}}}
		chk.jobs["j"] = j
		c.violate(chk, a, b, j)
		assert.Assert(t, len(chk.violations) > 0, name)
		for _, v := range chk.violations {
			assert.Assert(t, strings.Contains(v, c.rule), "%s: %v", name, chk.violations)
		}
	}
}

// deadlyJob returns a job whose only task crashes the workers that start it.
func deadlyJob(id string) *trackedJob {
	return &trackedJob{accepted: true, spec: &jobs.Spec{ID: id, Payload: deadlyPayload(firstDeadlyMark, "100"), Steps: []jobs.Step{{Count: 1, Size: model.Size{MilliCPU: 1000}}}}}
}

func deadlyRequest(job string, run int64) *jobs.StartRequest {
	return &jobs.StartRequest{Task: jobs.TaskRef{Job: job}, Run: run, Payload: deadlyPayload(firstDeadlyMark, "100"), LeaseDeadlineMs: 5000}
}

// crashWorker starts a deadly job on a worker the given number of times, each time until
// the worker crashes and is back.
func crashWorker(t *testing.T, w *worker, job string, times int) {
	for range times {
		status, _ := w.start(1, deadlyRequest(job, 1))
		assert.Equal(t, status, jobs.CallOK)
		assert.Assert(t, w.advance(time.Now().Add(deadlyDelay)))
		status, _ = w.start(1, deadlyRequest(job, 1))
		assert.Equal(t, status, jobs.CallNoAnswer)
		w.comeBack(w.id + "-new")
	}
}

// failRuns starts runs of a task one after another and ends each as failed.
func failRuns(w *worker, task jobs.TaskRef, runs int) {
	for range runs {
		w.start(1, &jobs.StartRequest{Task: task, Run: w.highestRun[task] + 1, Payload: "100", LeaseDeadlineMs: 5000})
		w.endRun(task, w.runs[task], jobs.EndFailed)
	}
}

// Guards against a checker that counts failures only once they are acknowledged, so that a
// crash before that makes the report of a failed job look wrong.
func TestFailuresCountOnceReported(t *testing.T) {
	chk := newChecker()
	a := newWorker(chk, "w-00", workerCapacity, 1)
	j := &trackedJob{accepted: true, spec: &jobs.Spec{ID: "j", Payload: "100", Steps: []jobs.Step{{Count: 1, Size: model.Size{MilliCPU: 1000}}}}}
	chk.jobs["j"] = j
	failRuns(a, jobs.TaskRef{Job: "j"}, maxAttempts)
	for range 2 {
		a.syncResult(1, &jobs.SyncRequest{LeaseDeadlineMs: 5000}, true)
	}
	assert.Equal(t, chk.task(jobs.TaskRef{Job: "j"}).reportedFailures, maxAttempts)
	a.crash()
	chk.checkReported(j, jobs.ViewFailed)
	assert.Equal(t, len(chk.violations), 0, "%v", chk.violations)
}

// Guards against a checker that blames tasks that are given up in time, that share workers
// with them or whose workers crash for another reason.
func TestAllowedEndsOfDeadlyTasksAreNoViolation(t *testing.T) {
	chk := newChecker()
	a := newWorker(chk, "w-00", workerCapacity, 1)
	innocent := &trackedJob{accepted: true, spec: &jobs.Spec{ID: "j", Payload: "100", Steps: []jobs.Step{{Count: 1, Size: model.Size{MilliCPU: 1000}}}}}
	chk.jobs["j"], chk.jobs["early"], chk.jobs["late"] = innocent, deadlyJob("early"), deadlyJob("late")
	for run := range int64(maxCrashes + startsAfterCrashes - 1) {
		a.start(1, &jobs.StartRequest{Task: jobs.TaskRef{Job: "j"}, Run: run + 1, Payload: "100", LeaseDeadlineMs: 5000})
		if run < minCrashes {
			crashWorker(t, a, "early", 1)
		}
		crashWorker(t, a, "late", 1)
	}
	task := jobs.TaskRef{Job: "j"}
	a.start(1, &jobs.StartRequest{Task: task, Run: 9, Payload: "100", LeaseDeadlineMs: 5000})
	a.endRun(task, a.runs[task], jobs.EndDone)
	chk.checkReported(innocent, jobs.ViewCompleted)
	chk.checkReported(chk.jobs["early"], jobs.ViewFailed)
	chk.checkReported(chk.jobs["late"], jobs.ViewFailed)
	chk.checkUnfinished(chk.unfinished())
	assert.Equal(t, len(chk.violations), 0, "%v", chk.violations)
	assert.Equal(t, chk.crashes, minCrashes+maxCrashes+startsAfterCrashes-1)
}

// Guards against a checker that reports allowed behaviour as a violation.
func TestAllowedBehaviourIsNoViolation(t *testing.T) {
	chk := newChecker()
	a, b := newWorker(chk, "w-00", workerCapacity, 1), newWorker(chk, "w-01", workerCapacity, 2)
	chk.jobs["j"] = &trackedJob{accepted: true, spec: &jobs.Spec{ID: "j", Payload: "100", Steps: []jobs.Step{{Count: 1, Size: model.Size{MilliCPU: 1000}}}}}
	task := jobs.TaskRef{Job: "j"}
	a.start(1, &jobs.StartRequest{Task: task, Run: 1, Payload: "100", LeaseDeadlineMs: 5000})
	a.endRun(task, a.runs[task], jobs.EndDone)
	a.restart()
	b.start(2, &jobs.StartRequest{Task: task, Run: 1001, Payload: "100", LeaseDeadlineMs: 5000})
	b.endRun(task, b.runs[task], jobs.EndFailed)
	status, _ := b.start(1, &jobs.StartRequest{Task: task, Run: 1002, Payload: "100", LeaseDeadlineMs: 5000})
	assert.Equal(t, status, jobs.CallFenced)
	b.start(2, &jobs.StartRequest{Task: task, Run: 1002, Payload: "100", LeaseDeadlineMs: 5000})
	b.endRun(task, b.runs[task], jobs.EndDone)
	chk.checkReported(chk.jobs["j"], jobs.ViewCompleted)
	assert.Equal(t, len(chk.violations), 0, "%v", chk.violations)
}

// Guards against a checker that counts ended runs of a tenant, or blames a start that an earlier, higher
// limit still allows.
func TestAllowedUseOfTenantIsNoViolation(t *testing.T) {
	chk := newChecker()
	a := newWorker(chk, "w-00", workerCapacity, 1)
	chk.jobs["j"] = &trackedJob{accepted: true, tenant: "t", spec: &jobs.Spec{ID: "j", Payload: "100", Steps: []jobs.Step{{Count: 3, Size: model.Size{MilliCPU: 1000}}}}}
	chk.limitChanged("t", model.Size{MilliCPU: 2000})
	start := func(index int32) {
		a.start(1, &jobs.StartRequest{Task: jobs.TaskRef{Job: "j", Index: index}, Run: 1, Payload: "100", LeaseDeadlineMs: 5000})
	}
	start(0)
	first := jobs.TaskRef{Job: "j"}
	a.endRun(first, a.runs[first], jobs.EndDone)
	start(1)
	chk.limitChanged("t", model.Size{MilliCPU: 500})
	start(2)
	assert.Equal(t, len(chk.violations), 0, "%v", chk.violations)
	a.crash()
	assert.Equal(t, chk.used["t"], model.Size{})
}

// Guards against a schedule that omits kinds of faults or differs between two runs of
// one seed.
func TestSchedulesAreDrawnFromTheSeed(t *testing.T) {
	const length = 2 * time.Minute
	first := newSchedule(7, length, 5, 8)
	assert.DeepEqual(t, first, newSchedule(7, length, 5, 8))
	seen := map[Kind]bool{}
	for _, f := range first {
		seen[f.Kind] = true
	}
	assert.Equal(t, len(seen), len(allKinds))
}
