package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/text"
)

// A failed idempotent task must be retried, up to the configured number of attempts.
func TestFailedTaskIsRetried(t *testing.T) {
	f := newFixture(t, "w1")
	f.submit("dc-a:k", "batch")
	for attempt := 1; attempt <= 3; attempt++ {
		f.wantTask("dc-a:k", 0, model.TaskStarting)
		assert.Equal(t, f.record("dc-a:k").Tasks[0].Attempt, attempt)
		f.report("dc-a:k", 0, model.TaskRunning)
		f.report("dc-a:k", 0, model.TaskFailed)
		f.tick(time.Second)
	}
	f.wantFate("dc-a:k", model.Done)
	assert.Assert(t, !f.record("dc-a:k").OK)
	assert.Equal(t, f.countStarts("dc-a:k"), 3)
	f.wantIdle()
}

// The retries of a team must stay within its budget.
func TestRetriesStayWithinBudget(t *testing.T) {
	f := newFixture(t, "w1")
	f.publish(func(c *text.Config) { c.Retry.BudgetPercent = 10 })
	const requests = 3 * retryBurst
	for i := range requests {
		key := fmt.Sprintf("dc-a:%d", i)
		f.submit(key, "batch")
		for range 3 {
			if f.record(key).Tasks[0].State.HoldsWorker() {
				f.report(key, 0, model.TaskFailed)
			}
			f.tick(healthConfig.MaxQuarantine) // past the quarantine of the only worker
		}
		f.wantFate(key, model.Done)
	}
	limit := int64(retryBurst + requests/10)
	assert.Assert(t, f.c.Counters().Retried <= limit && f.c.Counters().Retried > limit/2, "%d retries", f.c.Counters().Retried)
}

// A worker on which every task fails must be quarantined, because it would attract
// tasks by always having free capacity. After a successful probe it must get tasks again.
func TestFailingWorkerIsQuarantinedAndProbed(t *testing.T) {
	f := newFixture(t, "w1")
	for i := range 5 {
		key := fmt.Sprintf("dc-a:%d", i)
		f.submit(key, "once")
		f.report(key, 0, model.TaskFailed)
	}
	f.submit("dc-a:probe", "once")
	f.submit("dc-a:next", "once")
	f.wantTask("dc-a:probe", 0, model.TaskQueued)
	f.tick(healthConfig.BaseQuarantine)
	f.wantTask("dc-a:probe", 0, model.TaskStarting)
	f.wantTask("dc-a:next", 0, model.TaskQueued)
	f.report("dc-a:probe", 0, model.TaskDone)
	f.tick(0)
	f.wantTask("dc-a:next", 0, model.TaskStarting)
}
