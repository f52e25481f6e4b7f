package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
)

// Guards against an owner that decides on leases which expired while it was
// paused: the step-down comes before the messages that waited meanwhile.
func TestOwnerStepsDownWhenLeasesExpire(t *testing.T) {
	td := newTestDaemon(t)
	now := time.Now()
	td.now = func() time.Time { return now }
	l := td.newOwnerLoop()
	l.revision, l.listLoaded, l.startedAt = 1, true, now.Add(-time.Hour)
	l.leases.SetListed([]model.WorkerID{"w1"})
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
