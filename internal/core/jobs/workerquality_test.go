package jobs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// failRun makes the worker report the failure of a run that was started there.
func failRun(t *testing.T, c *Core, now time.Time, seq int64, req StartRequest) {
	t.Helper()
	w := c.workers[req.Worker]
	c.processEnd(now, w, &RunEnd{Seq: seq, Task: req.Task, Run: req.Run, Kind: EndFailed})
}

// Guards against a wide job that uses up the attempts of its tasks on one worker that fails them at
// once and therefore always has room.
func TestTaskOnItsLastAttemptAvoidsWorkerThatFailed(t *testing.T) {
	b := newTestBench(t)
	b.addWorkers("bad", "good")
	b.submit("j1", smallStep(1))
	first := b.step()
	assert.Equal(t, len(first), 1)
	failRun(t, b.core, b.now, 1, first[0])
	second := b.step()
	assert.Equal(t, len(second), 1)
	assert.Assert(t, second[0].Worker != first[0].Worker)
}

// Guards against a job that never runs because all workers have failed a run.
func TestTaskOnItsLastAttemptWaitsForBoundedTime(t *testing.T) {
	b := newTestBench(t)
	b.addWorkers("only")
	b.submit("j1", smallStep(1))
	failRun(t, b.core, b.now, 1, b.step()[0])
	assert.Equal(t, len(b.step()), 0)
	assert.Equal(t, b.core.ready[0].wait.reason, waitForSoundWorker)
	b.now = b.now.Add(lastAttemptWait)
	assert.Equal(t, len(b.step()), 1)
}

// Guards against a worker that fails everything and gets many tasks at a time, and against one that
// gets none any more after a success.
func TestWorkerOnProbationGetsOneRunAtATime(t *testing.T) {
	now := startTime
	w := &worker{}
	w.quality.recordFailure(now)
	assert.Assert(t, w.quality.suspect(now) && !w.onProbation(now), "one failure may be the task's fault")
	w.quality.recordFailure(now)
	assert.Assert(t, w.onProbation(now.Add(probationPause-1)))
	assert.Assert(t, !w.onProbation(now.Add(probationPause)))
	w.runs = []*run{{sentAt: now.Add(probationPause)}}
	assert.Assert(t, w.onProbation(now.Add(probationPause)), "a second run at a time")
	w.quality.recordSuccess(now.Add(probationPause))
	assert.Assert(t, !w.onProbation(now.Add(probationPause)))
	for range 20 {
		w.quality.recordFailure(now)
	}
	assert.Equal(t, w.quality.pause(), maxProbationPause)
	assert.Assert(t, !w.onProbation(now.Add(suspicionTime)))
}
