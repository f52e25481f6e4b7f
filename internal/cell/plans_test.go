package cell

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/core/model"
)

// Guards against plans that submit the job, that daemons other than the leader cannot get, and that
// take more of the leader's time than stated.
func TestPlansSubmitNothing(t *testing.T) {
	c := newTestCell(t, 2)
	id, reply := c.submit(c.leader(nil))
	assert.Equal(t, reply.Verdict, VerdictOK)
	c.waitForCompletion(c.daemons[0], id)
	spec := &jobs.Spec{ID: "00000000000000ff", Queue: "q", Steps: []jobs.Step{{Count: 2, Size: model.Size{MilliCPU: 1000, MemMB: 100}}}}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	for _, d := range c.daemons {
		reply := d.API().Plan(ctx, spec)
		var plan jobs.Plan
		assert.NilError(t, json.Unmarshal(reply.Report, &plan), "%+v", reply)
		assert.Equal(t, plan.Verdict, jobs.PlanAccepted)
		assert.Equal(t, plan.Steps[0].Starting, 2)
		assert.Equal(t, d.API().State(ctx, Target{Queue: "q", JobID: spec.ID}).Verdict, VerdictNoJob)
	}
	refused := 0
	for range 4 * plansPerSecond {
		if r := c.daemons[0].API().Plan(ctx, spec); r.Verdict == VerdictOverloaded {
			assert.Equal(t, r.Reason, "too_many_plans")
			refused++
		}
	}
	assert.Assert(t, refused > 0)
}
