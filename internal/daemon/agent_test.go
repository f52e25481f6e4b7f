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

// Guards against a start that is given up, or reported as not started, after an
// answer was lost: the worker may have started it.
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
	a.enqueue(agentBatch{term: 1, starts: []scheduler.TaskStart{newTaskStart("k")}})
	eventually(t, "the start is repeated", func() bool { return len(td.worker.startCalls()) == 2 })
	calls := td.worker.startCalls()
	assert.Equal(t, calls[0].lease, calls[1].lease)
	assert.DeepEqual(t, calls[0].tasks, calls[1].tasks)
	expectNoMessage[tasksNotStartedMsg](td)
}

// Guards against calling a start not started when the lease ended after a call
// whose answer was lost, and against a start that is forgotten when it ended
// before: only the inventory of the next lease tells about the former.
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
			a.enqueue(agentBatch{term: 1, starts: []scheduler.TaskStart{newTaskStart("k")}})
			if tc.want {
				assert.Equal(t, nextMessage[tasksNotStartedMsg](td).tasks[0].ID.Key, "k")
				return
			}
			expectNoMessage[tasksNotStartedMsg](td)
			assert.Equal(t, len(td.worker.startCalls()), 2)
		})
	}
}

// Guards against trusting a refusal when an earlier copy of the same call may
// still be on its way: the agent has to take a new lease.
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
		a.enqueue(agentBatch{term: 1, starts: []scheduler.TaskStart{newTaskStart("k")}})
		if !lost {
			assert.Equal(t, len(nextMessage[tasksNotStartedMsg](td).tasks), 1)
			continue
		}
		assert.Equal(t, nextMessage[leaseLostMsg](td).term, uint64(1))
		assert.Equal(t, nextMessage[leaseGrantedMsg](td).term, uint64(2))
		expectNoMessage[tasksNotStartedMsg](td)
	}
}

// Guards against sending a start under a later lease than the one for which it
// was decided: the inventory of that lease has already said that the task is
// not there, and the scheduler has placed it again.
func TestAgentDropsStartsOfEarlierLease(t *testing.T) {
	td := newTestDaemon(t)
	a := newTestAgent(td)
	a.markLeaseLost(1)
	assert.Equal(t, nextMessage[leaseGrantedMsg](td).term, uint64(2))
	a.enqueue(agentBatch{term: 1, starts: []scheduler.TaskStart{newTaskStart("k")}})
	assert.Equal(t, nextMessage[tasksNotStartedMsg](td).tasks[0].ID.Key, "k")
	assert.Equal(t, len(td.worker.startCalls()), 0)
	a.enqueue(agentBatch{term: 2, starts: []scheduler.TaskStart{newTaskStart("k2")}})
	eventually(t, "the start of the present lease is sent", func() bool { return len(td.worker.startCalls()) == 1 })
}

// Guards against joining starts of two leases into one call.
func TestAgentJoinsBatchesOfOneLease(t *testing.T) {
	td := newTestDaemon(t)
	a := &agent{d: td.Daemon, queue: make(chan agentBatch, 4)}
	for _, b := range []agentBatch{
		{term: 1, starts: []scheduler.TaskStart{newTaskStart("b")}},
		{term: 2, starts: []scheduler.TaskStart{newTaskStart("c")}},
	} {
		a.queue <- b
	}
	merged, rest := a.mergeQueued(agentBatch{term: 1, starts: []scheduler.TaskStart{newTaskStart("a")}})
	assert.Equal(t, len(merged.starts), 2)
	assert.Assert(t, rest != nil && rest.term == 2 && rest.starts[0].ID.Key == "c")
}

// Guards against starts that are lost, and stops that are dropped, when the
// queue of a silent worker is full.
func TestAgentQueueFull(t *testing.T) {
	td := newTestDaemon(t)
	a := &agent{d: td.Daemon, id: "w1", worker: td.worker, queue: make(chan agentBatch, 1)}
	a.enqueue(agentBatch{term: 1, starts: []scheduler.TaskStart{newTaskStart("a")}})
	a.enqueue(agentBatch{term: 1, starts: []scheduler.TaskStart{newTaskStart("b")}})
	assert.Equal(t, nextMessage[tasksNotStartedMsg](td).tasks[0].ID.Key, "b")
	a.enqueue(agentBatch{stops: []scheduler.TaskStop{{Attempt: 1}}})
	assert.Equal(t, td.metrics.agentQueueFull.Count(), int64(2))
	<-a.queue
	select {
	case b := <-a.queue:
		assert.Equal(t, len(b.stops), 1)
	case <-time.After(testTimeout):
		t.Fatal("the stop was dropped")
	}
}

// Guards against starting past the deadline because a passed one looks like none.
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
