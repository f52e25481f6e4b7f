package jobs

import (
	"testing"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// Guards against tasks that run again although they are done, because more ends wait at their
// worker than one answer lists: while the store takes no records, always the first ones.
func TestRunWhoseEndIsOnNoPageYetIsNotRepeated(t *testing.T) {
	b := newTestBench(t)
	b.core.cfg.EndsPerPage = 2
	b.addWorkers("w1")
	b.submit("j1", smallStep(3))
	starts := b.step()
	assert.Equal(t, len(starts), 3)
	b.step()

	ends := make([]RunEnd, len(starts))
	for i, s := range starts {
		ends[i] = RunEnd{Seq: int64(i + 1), Task: s.Task, Run: s.Run, Kind: EndDone}
	}
	page := map[model.WorkerID]SyncResult{"w1": {Ends: ends[:2]}}
	for range 20 {
		out := b.advance(stepTime)
		assert.Equal(t, len(out.Starts), 0, "%v", startNames(out))
		b.answerSyncs(out, page)
	}
	b.storeBatch()
	page["w1"] = SyncResult{Ends: ends[2:]}
	for range 20 {
		out := b.advance(stepTime)
		assert.Equal(t, len(out.Starts), 0, "%v", startNames(out))
		b.answerSyncs(out, page)
		b.storeBatch()
	}
	assert.Equal(t, jobView(t, b.core, "j1"), ViewCompleted)
}

// Guards against a lasting task that is not started again after its run has ended as done, and
// against ends of lasting tasks that are acknowledged only when something else is stored.
func TestLastingTaskIsStartedAgainHoweverItEnds(t *testing.T) {
	for _, kind := range []EndKind{EndDone, EndFailed} {
		t.Run(kind.String(), func(t *testing.T) {
			b := newTestBench(t)
			b.addWorkers("w1")
			b.submit("j1", lastingStep(1))
			first := b.step()
			assert.Equal(t, len(first), 1)
			b.step()
			out := b.advance(stepTime)
			b.answerSyncs(out, map[model.WorkerID]SyncResult{"w1": {Ends: []RunEnd{{Seq: 1, Task: first[0].Task, Run: first[0].Run, Kind: kind}}}})
			out = b.advance(stepTime)
			assert.Equal(t, len(out.Starts), 1)
			assert.Assert(t, out.Starts[0].Run > first[0].Run)
			assert.Equal(t, len(out.Syncs), 1)
			assert.Equal(t, out.Syncs[0].AckCursor, int64(1))
			assert.Equal(t, jobView(t, b.core, "j1"), ViewActive)
		})
	}
}
