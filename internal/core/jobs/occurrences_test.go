package jobs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// recurringRecord is the stored form of a job of two occurrences an hour apart, of which the second
// is due at the given time.
func recurringRecord(b *testBench, secondDue time.Time) AcceptedRecord {
	r := acceptedRecord(b, "timed", smallStep(2))
	r.Spec.Repeat, r.Spec.Interval, r.Spec.FirstDue = 2, time.Hour, secondDue.Add(-time.Hour)
	return r
}

// Guards against tasks of an occurrence that run twice because the clock of a new leader is behind
// that of the earlier one: it dropped their ends, and stopped their runs, as those of unknown tasks.
func TestOccurrenceThatIsDueByEarlierClockOnlyIsKnown(t *testing.T) {
	b := newTestBench(t)
	due := b.now.Add(time.Second)
	next := b.newLeader(2, Snapshot{Accepted: []AcceptedRecord{recurringRecord(b, due)},
		Progress: []ProgressRecord{{Job: "timed", Queue: "q", Occurrences: []OccurrenceProgress{{Finished: true}}}},
		Workers:  []WorkerRecord{{ID: "w1", Address: "w1:1", Service: "s"}}})
	next.core.SetPreviousLeaderEnd(next.now)
	next.core.SetWorkers(next.now, []WorkerEntry{workerEntry("w1")})
	ended, running := TaskRef{Job: "timed", Occurrence: 1}, TaskRef{Job: "timed", Occurrence: 1, Index: 1}
	report := map[model.WorkerID]SyncResult{}
	for i := range 40 {
		report["w1"] = SyncResult{Ends: []RunEnd{{Seq: 1, Task: ended, Run: 1, Kind: EndDone}}, Running: []RunReport{{Task: running, Run: 1, Percent: i}}}
		out := next.advance(50 * time.Millisecond)
		assert.Equal(t, len(out.Starts), 0, "%v", startNames(out))
		assert.Equal(t, len(out.Stops), 0)
		next.answerSyncs(out, report)
		next.storeBatch()
	}
	assert.Assert(t, next.now.After(due))
	report["w1"] = SyncResult{Ends: []RunEnd{{Seq: 2, Task: running, Run: 1, Kind: EndDone}}}
	next.answerSyncs(next.advance(50*time.Millisecond), report)
	next.storeBatch()
	assert.Equal(t, jobView(t, next.core, "timed"), ViewCompleted)
}

// Guards against tasks that start before their time by the leader's clock, because other tasks of
// their occurrence are known to have run.
func TestTasksOfEarlyOccurrenceWaitUntilItIsDue(t *testing.T) {
	b := newTestBench(t)
	due := b.now.Add(time.Second)
	done := OccurrenceProgress{Occurrence: 1, Steps: []StepProgress{{Done: []byte{1}}}}
	next := b.newLeader(2, Snapshot{Accepted: []AcceptedRecord{recurringRecord(b, due)},
		Progress: []ProgressRecord{{Job: "timed", Queue: "q", Occurrences: []OccurrenceProgress{{Finished: true}, done}}}})
	next.core.SetWorkers(next.now, []WorkerEntry{workerEntry("w1")})
	var startedAt time.Time
	for startedAt.IsZero() && next.now.Before(due.Add(time.Second)) {
		out := next.advance(50 * time.Millisecond)
		next.answerSyncs(out, nil)
		next.storeBatch()
		if len(out.Starts) > 0 {
			startedAt = next.now
		}
	}
	assert.Assert(t, !startedAt.Before(due), "started %v before its time", due.Sub(startedAt))
	assert.Assert(t, !startedAt.IsZero(), "never started")
}

// Guards against a lasting task that waits in a full cell behind all tasks that can still be in time,
// although its users need it at once.
func TestLastingTaskStartsBeforeOthersInFullCell(t *testing.T) {
	b := newCrashBench(t, "w1")
	lasting := lastingStep(1)
	lasting.Size.MilliCPU = 8000
	b.submit("lasting", lasting)
	first := b.starts()
	assert.Equal(t, len(first), 1)
	for range 120 {
		b.answerWith(b.advance(500*time.Millisecond), CallOK)
	}
	for _, id := range []string{"j1", "j2", "j3"} {
		b.submit(id, wholeWorkerStep(1, time.Second))
	}
	b.answerSyncs(b.advance(stepTime), map[model.WorkerID]SyncResult{"w1": {Ends: []RunEnd{{Seq: 1, Task: first[0].Task, Run: first[0].Run, Kind: EndFailed}}}})
	out := b.advance(scheduleInterval)
	assert.Equal(t, len(out.Starts), 1)
	assert.Equal(t, out.Starts[0].Task.Job, "lasting")
}
