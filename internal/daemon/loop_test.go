package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
)

// An owner whose leases expired while its process was paused must step down before
// it handles the messages that were queued in that time.
func TestOwnerStepsDownWhenLeasesExpire(t *testing.T) {
	td := newTestDaemon(t)
	now := time.Now()
	td.now = func() time.Time { return now }
	l := td.newOwnerLoop()
	l.revision, l.listLoaded, l.startedAt = 1, true, now.Add(-time.Hour)
	l.leases.SetWorkerList([]model.WorkerID{"w1"})
	l.advanceElection(now)
	l.leases.RecordGrant("w1", l.election.Term(), now)
	l.advanceElection(now)
	nextMessage[recoveryDoneMsg](td).handle(l, now)
	l.advanceElection(now)
	assert.Assert(t, l.core.Serving())

	askFate := func() recordReply {
		reply := make(chan recordReply, 1)
		l.processBatch([]message{fateMsg{key: "k", reply: reply}})
		return <-reply
	}
	assert.Equal(t, askFate().fault.Kind, fault.NotFound)
	now = now.Add(l.leases.Validity())
	assert.Equal(t, askFate().fault.Kind, fault.NoOwner)
	assert.Assert(t, !l.core.Serving())
}
