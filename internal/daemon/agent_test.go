package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/scheduler"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/ports"
)

var (
	errLostAnswer = fault.New(fault.WorkerUnavailable, "retry", "the answer was lost")
	errLeaseLost  = fault.New(fault.LeaseLost, "acquire", "the lease is not current")
)

// newTestAgent returns an agent that holds the lease of term 1.
func newTestAgent(td *testDaemon) *agent {
	a := newAgent(td.Daemon, "w1", td.worker)
	a.campaign(1)
	a.allowTermRaise()
	assert.Equal(td.t, nextMessage[leaseGrantedMsg](td).term, uint64(1))
	return a
}

// After a lost answer the worker may have started the task, so the agent must
// repeat the start and not report it as not started.
func TestAgentRepeatsStartAfterLostAnswer(t *testing.T) {
	td := newTestDaemon(t)
	lost := true
	td.worker.start = func(ports.Lease, []ports.StartTask) ([]ports.StartRefusal, error) {
		if lost {
			lost = false
			return nil, errLostAnswer
		}
		return nil, nil
	}
	a := newTestAgent(td)
	a.enqueue(agentBatch{term: 1, starts: []scheduler.Start{newTaskStart("k")}})
	eventually(t, "the start is repeated", func() bool { return len(td.worker.startCalls()) == 2 })
	calls := td.worker.startCalls()
	assert.Equal(t, calls[0].lease, calls[1].lease)
	assert.DeepEqual(t, calls[0].tasks, calls[1].tasks)
	expectNoMessage[tasksNotStartedMsg](td)
}

// If the lease ends before any call was accepted, the start must be reported as not
// started. If it ends after a call whose answer was lost, nothing may be reported:
// only the inventory of the next lease tells whether the task was started.
func TestAgentReportsStartOnLeaseLoss(t *testing.T) {
	for _, tc := range []struct {
		name    string
		answers []error
		want    bool
	}{
		{"lease lost at the first call", []error{errLeaseLost}, true},
		{"lease lost after a lost answer", []error{errLostAnswer, errLeaseLost}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			td := newTestDaemon(t)
			n := 0
			td.worker.start = func(ports.Lease, []ports.StartTask) ([]ports.StartRefusal, error) {
				n++
				return nil, tc.answers[min(n, len(tc.answers))-1]
			}
			a := newTestAgent(td)
			a.enqueue(agentBatch{term: 1, starts: []scheduler.Start{newTaskStart("k")}})
			if tc.want {
				assert.Equal(t, nextMessage[tasksNotStartedMsg](td).tasks[0].ID.Key, "k")
				return
			}
			expectNoMessage[tasksNotStartedMsg](td)
			assert.Equal(t, len(td.worker.startCalls()), 2)
		})
	}
}

// After a lost answer an earlier copy of the call may still reach the worker, so a
// refusal must not be trusted: the agent has to acquire a lease with a new term.
func TestAgentTakesNewLeaseAfterLateRefusal(t *testing.T) {
	for _, lost := range []bool{false, true} {
		td := newTestDaemon(t)
		n := 0
		td.worker.start = func(_ ports.Lease, tasks []ports.StartTask) ([]ports.StartRefusal, error) {
			if n++; n == 1 && lost {
				return nil, errLostAnswer
			}
			return []ports.StartRefusal{{ID: tasks[0].ID}}, nil
		}
		a := newTestAgent(td)
		a.enqueue(agentBatch{term: 1, starts: []scheduler.Start{newTaskStart("k")}})
		if !lost {
			assert.Equal(t, len(nextMessage[tasksNotStartedMsg](td).tasks), 1)
			continue
		}
		assert.Equal(t, nextMessage[leaseLostMsg](td).term, uint64(1))
		assert.Equal(t, nextMessage[leaseGrantedMsg](td).term, uint64(2))
		expectNoMessage[tasksNotStartedMsg](td)
	}
}

// A start must not be sent under a later lease than the one for which it was decided:
// the inventory of that lease has already reported the task as missing, and the
// scheduler may have placed it again.
func TestAgentDropsStartsOfEarlierLease(t *testing.T) {
	td := newTestDaemon(t)
	a := newTestAgent(td)
	a.markLeaseLost(1)
	assert.Equal(t, nextMessage[leaseGrantedMsg](td).term, uint64(2))
	a.enqueue(agentBatch{term: 1, starts: []scheduler.Start{newTaskStart("k")}})
	assert.Equal(t, nextMessage[tasksNotStartedMsg](td).tasks[0].ID.Key, "k")
	assert.Equal(t, len(td.worker.startCalls()), 0)
	a.enqueue(agentBatch{term: 2, starts: []scheduler.Start{newTaskStart("k2")}})
	eventually(t, "the start of the current lease is sent", func() bool { return len(td.worker.startCalls()) == 1 })
}

// Queued starts of one lease term are merged into one call, starts of another term
// are not.
func TestAgentMergesBatchesOfOneLease(t *testing.T) {
	td := newTestDaemon(t)
	a := &agent{d: td.Daemon, queue: make(chan agentBatch, 4)}
	for _, b := range []agentBatch{
		{term: 1, starts: []scheduler.Start{newTaskStart("b")}},
		{term: 2, starts: []scheduler.Start{newTaskStart("c")}},
	} {
		a.queue <- b
	}
	merged, rest := a.mergeQueued(agentBatch{term: 1, starts: []scheduler.Start{newTaskStart("a")}})
	assert.Equal(t, len(merged.starts), 2)
	assert.Assert(t, rest != nil && rest.term == 2 && rest.starts[0].ID.Key == "c")
}

// When the queue of a worker that does not answer is full, starts must be reported
// as not started and stops must still be delivered.
func TestAgentQueueFull(t *testing.T) {
	td := newTestDaemon(t)
	a := &agent{d: td.Daemon, id: "w1", worker: td.worker, queue: make(chan agentBatch, 1)}
	a.enqueue(agentBatch{term: 1, starts: []scheduler.Start{newTaskStart("a")}})
	a.enqueue(agentBatch{term: 1, starts: []scheduler.Start{newTaskStart("b")}})
	assert.Equal(t, nextMessage[tasksNotStartedMsg](td).tasks[0].ID.Key, "b")
	a.enqueue(agentBatch{stops: []scheduler.Stop{{Attempt: 1}}})
	assert.Equal(t, td.metrics.agentQueueFull.Count(), int64(2))
	<-a.queue
	select {
	case b := <-a.queue:
		assert.Equal(t, len(b.stops), 1)
	case <-time.After(testTimeout):
		t.Fatal("the stop was dropped")
	}
}

// An expired deadline must become a positive limit, since 0 means no limit and the
// worker would start the task after its deadline.
func TestAgentLimitsStartByDeadline(t *testing.T) {
	td := newTestDaemon(t)
	a := &agent{d: td.Daemon}
	s := newTaskStart("k")
	assert.Equal(t, a.startTask(s).StartWithin, time.Duration(0))
	s.Deadline = td.now().Add(-time.Hour)
	assert.Equal(t, a.startTask(s).StartWithin, time.Millisecond)
	s.Deadline = td.now().Add(time.Hour)
	assert.Assert(t, a.startTask(s).StartWithin > 59*time.Minute)
}
