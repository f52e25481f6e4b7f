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
	l := td.newLoop()
	l.revision, l.listRead, l.startedAt = 1, true, now.Add(-time.Hour)
	l.leases.SetListed([]model.WorkerID{"w1"})
	l.advance(now)
	l.leases.RecordGrant("w1", l.election.Term(), now)
	l.advance(now)
	nextMessage[recoveredMsg](td).handle(l, now)
	l.advance(now)
	assert.Assert(t, l.core.Serving())

	ask := func() answer {
		reply := make(chan answer, 1)
		l.step([]message{fateMsg{key: "k", reply: reply}})
		return <-reply
	}
	assert.Equal(t, ask().fault.Kind, fault.NotFound)
	now = now.Add(l.leases.Validity())
	assert.Equal(t, ask().fault.Kind, fault.NoOwner)
	assert.Assert(t, !l.core.Serving())
}
