package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// A final fate that was not replicated before its owner stepped down must be replicated
// and reported to callers when that daemon becomes owner again.
func TestUnreplicatedFateIsReportedInSecondTerm(t *testing.T) {
	b := newFixture(t, "w1")
	b.submit("dc-a:k", "batch")
	b.withholdAcks = true
	b.report("dc-a:k", 0, model.TaskDone)
	b.wantFate("dc-a:k", model.Running)
	b.c.StepDown()
	b.withholdAcks = false
	b.serve(3)
	b.wantFate("dc-a:k", model.Done)
	assert.Equal(t, b.finalized["dc-a:k"], 1)
}

// A final fate that was never replicated must yield to the record of another owner that
// ran the request in the meantime.
func TestUnreplicatedFateYieldsToSuccessor(t *testing.T) {
	b := newFixture(t)
	b.submit("dc-a:k", "once")
	b.withholdAcks = true
	b.cancel("dc-a:k")
	b.wantFate("dc-a:k", model.Queued)
	b.c.StepDown()
	b.withholdAcks = false

	s := b.successor("w1")
	s.grant("w1", "boot")
	s.serve(2)
	s.report("dc-a:k", 0, model.TaskRunning)
	s.report("dc-a:k", 0, model.TaskDone)
	s.wantFate("dc-a:k", model.Done)
	for _, r := range s.replicas {
		b.c.Restore(b.now, r)
	}
	b.serve(3)
	b.wantFate("dc-a:k", model.Done)
}

// As TestUnreplicatedFateYieldsToSuccessor, but the request still runs when the first
// owner returns.
func TestUnreplicatedFateYieldsToRunningSuccessor(t *testing.T) {
	b := newFixture(t, "w1")
	b.submit("dc-a:a", "batch")
	b.submit("dc-a:b", "batch")
	b.submit("dc-a:k", "once")
	b.withholdAcks = true
	b.cancel("dc-a:k")
	b.c.StepDown()
	b.withholdAcks = false
	s := b.successor("w1", "w2")
	s.serve(2)
	s.grant("w2", "boot")
	s.wantTask("dc-a:k", 0, model.TaskStarting)
	for _, r := range s.replicas {
		b.c.Restore(b.now, r)
	}
	b.listWorkers("w1", "w2")
	b.serve(3)
	b.grant("w2", "boot", s.inventory("dc-a:k", 0, model.TaskRunning))
	b.wantFate("dc-a:k", model.Running)
}

// A final fate that was never replicated must not be sent to another owner after the
// owner stepped down, because a final fate takes precedence over the record of a request
// that still runs.
func TestUnreplicatedFateIsNotSentToSuccessor(t *testing.T) {
	b := newFixture(t)
	b.submit("dc-a:k", "once")
	b.withholdAcks = true
	b.cancel("dc-a:k")
	assert.Equal(t, len(b.c.AllRecords()), 1, "a serving owner hands out all records")
	b.c.StepDown()
	assert.Equal(t, len(b.c.AllRecords()), 0)
}
