package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// A final fate that was not replicated before its owner stepped down must be replicated
// and reported to callers when that daemon becomes owner again.
func TestUnreplicatedFateIsReportedInSecondTerm(t *testing.T) {
	f := newFixture(t, "w1")
	f.submit("dc-a:k", "batch")
	f.withholdAcks = true
	f.report("dc-a:k", 0, model.TaskDone)
	f.wantFate("dc-a:k", model.Running)
	f.c.StepDown()
	f.withholdAcks = false
	f.serve(3)
	f.wantFate("dc-a:k", model.Done)
	assert.Equal(t, f.finalized["dc-a:k"], 1)
}

// A final fate that was never replicated must yield to the record of another owner that
// ran the request in the meantime.
func TestUnreplicatedFateYieldsToSuccessor(t *testing.T) {
	f := newFixture(t)
	f.submit("dc-a:k", "once")
	f.withholdAcks = true
	f.cancel("dc-a:k")
	f.wantFate("dc-a:k", model.Queued)
	f.c.StepDown()
	f.withholdAcks = false

	s := f.successor("w1")
	s.grant("w1", "boot")
	s.serve(2)
	s.report("dc-a:k", 0, model.TaskRunning)
	s.report("dc-a:k", 0, model.TaskDone)
	s.wantFate("dc-a:k", model.Done)
	for _, r := range s.replicas {
		f.c.Restore(f.now, r)
	}
	f.serve(3)
	f.wantFate("dc-a:k", model.Done)
}

// As TestUnreplicatedFateYieldsToSuccessor, but the request still runs when the first
// owner returns.
func TestUnreplicatedFateYieldsToRunningSuccessor(t *testing.T) {
	f := newFixture(t, "w1")
	f.submit("dc-a:a", "batch")
	f.submit("dc-a:b", "batch")
	f.submit("dc-a:k", "once")
	f.withholdAcks = true
	f.cancel("dc-a:k")
	f.c.StepDown()
	f.withholdAcks = false
	s := f.successor("w1", "w2")
	s.serve(2)
	s.grant("w2", "boot")
	s.wantTask("dc-a:k", 0, model.TaskStarting)
	for _, r := range s.replicas {
		f.c.Restore(f.now, r)
	}
	f.listWorkers("w1", "w2")
	f.serve(3)
	f.grant("w2", "boot", s.inventory("dc-a:k", 0, model.TaskRunning))
	f.wantFate("dc-a:k", model.Running)
}

// A final fate that was never replicated must not be sent to another owner after the
// owner stepped down, because a final fate takes precedence over the record of a request
// that still runs.
func TestUnreplicatedFateIsNotSentToSuccessor(t *testing.T) {
	f := newFixture(t)
	f.submit("dc-a:k", "once")
	f.withholdAcks = true
	f.cancel("dc-a:k")
	assert.Equal(t, len(f.c.AllRecords()), 1, "a serving owner hands out all records")
	f.c.StepDown()
	assert.Equal(t, len(f.c.AllRecords()), 0)
}
