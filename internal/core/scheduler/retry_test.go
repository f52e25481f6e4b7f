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
	b := newFixture(t, "w1")
	b.submit("dc-a:k", "batch")
	for attempt := 1; attempt <= 3; attempt++ {
		b.wantTask("dc-a:k", 0, model.TaskStarting)
		assert.Equal(t, b.record("dc-a:k").Tasks[0].Attempt, attempt)
		b.report("dc-a:k", 0, model.TaskRunning)
		b.report("dc-a:k", 0, model.TaskFailed)
		b.tick(time.Second)
	}
	b.wantFate("dc-a:k", model.Done)
	assert.Assert(t, !b.record("dc-a:k").OK)
	assert.Equal(t, b.countStarts("dc-a:k"), 3)
	b.wantIdle()
}

// The retries of a team must stay within its budget.
func TestRetriesStayWithinBudget(t *testing.T) {
	b := newFixture(t, "w1")
	b.publish(func(c *text.Config) { c.Retry.BudgetPercent = 10 })
	const requests = 3 * retryBurst
	for i := range requests {
		key := fmt.Sprintf("dc-a:%d", i)
		b.submit(key, "batch")
		for range 3 {
			if b.record(key).Tasks[0].State.HoldsWorker() {
				b.report(key, 0, model.TaskFailed)
			}
			b.tick(healthConfig.MaxQuarantine) // past the quarantine of the only worker
		}
		b.wantFate(key, model.Done)
	}
	limit := int64(retryBurst + requests/10)
	assert.Assert(t, b.c.Counters().Retried <= limit && b.c.Counters().Retried > limit/2, "%d retries", b.c.Counters().Retried)
}

// A worker on which every task fails must be quarantined, because it would attract
// tasks by always having free capacity. After a successful probe it must get tasks again.
func TestFailingWorkerIsQuarantinedAndProbed(t *testing.T) {
	b := newFixture(t, "w1")
	for i := range 5 {
		key := fmt.Sprintf("dc-a:%d", i)
		b.submit(key, "once")
		b.report(key, 0, model.TaskFailed)
	}
	b.submit("dc-a:probe", "once")
	b.submit("dc-a:next", "once")
	b.wantTask("dc-a:probe", 0, model.TaskQueued)
	b.tick(healthConfig.BaseQuarantine)
	b.wantTask("dc-a:probe", 0, model.TaskStarting)
	b.wantTask("dc-a:next", 0, model.TaskQueued)
	b.report("dc-a:probe", 0, model.TaskDone)
	b.tick(0)
	b.wantTask("dc-a:next", 0, model.TaskStarting)
}
