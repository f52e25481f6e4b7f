package daemon

import (
	"testing"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/scheduler"
)

// A delegation that arrives while the goroutine of the key's previous delegation is
// ending must still be followed.
func TestDelegationDuringEndOfFollower(t *testing.T) {
	td := newTestDaemon(t)
	g := td.delegator
	g.following["k"] = true // a goroutine that has reported and not ended yet
	td.state.Store(&state{serving: true})
	g.start(scheduler.Delegation{To: "dc-b", Request: model.Request{Key: "k"}})
	expectNoMessage[delegationReportMsg](td)
	g.finishFollower("k")
	assert.Assert(t, nextMessage[delegationReportMsg](td).report.NotRun, "dc-b has no known daemon")
}
