package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// Guards against a final fate that no caller ever learns, because it was not
// replicated before the owner stepped down and served again.
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

// Guards against telling "not run" from a fate that was never replicated, after
// another owner started the request.
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

// As above, while the other owner's start has no final fate yet.
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

// Guards against handing such a fate to a third owner, for which a final fate
// outweighs the running record of the second one.
func TestUnreplicatedFateIsNotSentToSuccessor(t *testing.T) {
	b := newFixture(t)
	b.submit("dc-a:k", "once")
	b.withholdAcks = true
	b.cancel("dc-a:k")
	assert.Equal(t, len(b.c.AllRecords()), 1, "a serving owner hands out all records")
	b.c.StepDown()
	assert.Equal(t, len(b.c.AllRecords()), 0)
}
