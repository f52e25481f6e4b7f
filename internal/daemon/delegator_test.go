package daemon

import (
	"testing"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/scheduler"
)

// Guards against a delegation that nobody follows, because it was handed over
// while the follower of the former one was about to end.
func TestDelegationDuringEndOfFollower(t *testing.T) {
	td := newTestDaemon(t)
	g := td.delegator
	g.following["k"] = true // a follower that has reported and not ended yet
	td.state.Store(&state{serving: true})
	g.start(scheduler.Delegation{To: "dc-b", Request: model.Request{Key: "k"}})
	expectNoMessage[delegationReportMsg](td)
	g.finishFollower("k")
	assert.Assert(t, nextMessage[delegationReportMsg](td).report.NotRun, "dc-b has no known daemon")
}
