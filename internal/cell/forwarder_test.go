package cell

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/jobs"
)

// Guards against calls that are given up at once because the margin for their answer takes all the
// time that their callers have left: these would learn nothing, although the cell can answer.
func TestCallerWithLittleTimeLeftIsAnswered(t *testing.T) {
	assert.Equal(t, marginFor(3*time.Second), answerMargin)
	assert.Equal(t, marginFor(80*time.Millisecond), 20*time.Millisecond)
	assert.Equal(t, marginFor(-time.Second), time.Duration(0))
}

// Guards against a job that runs although its caller has no time left to learn so.
func TestCallWithoutTimeIsNotSent(t *testing.T) {
	c := newTestCell(t, 1)
	c.leader(nil)
	ctx, cancel := context.WithTimeout(context.Background(), minCallTime/2)
	defer cancel()
	const id = "00000000000000aa"
	spec := &jobs.Spec{ID: id, Queue: "q", Steps: []jobs.Step{{Count: 1}}}
	reply := c.daemons[0].API().Submit(ctx, spec)
	assert.Equal(t, reply.Verdict, VerdictUnknown)
	assert.Equal(t, reply.Reason, "deadline_too_near")
	state := c.daemons[0].API().State(context.Background(), Target{Queue: "q", JobID: id})
	assert.Equal(t, state.Verdict, VerdictNoJob)
}
