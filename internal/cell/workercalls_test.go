package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/jobs"
)

// Guards against a start that may have been carried out, and is reported as refused because another
// worker answered the last attempt.
func TestUnansweredStartIsNeverReportedAsRefused(t *testing.T) {
	for _, last := range []jobs.CallStatus{jobs.CallNoAnswer, jobs.CallNotSent, jobs.CallWrongIncarnation, jobs.CallStaleRun} {
		assert.Equal(t, statusAfterUnanswered(last), jobs.CallNoAnswer, last.String())
	}
	assert.Equal(t, statusAfterUnanswered(jobs.CallFenced), jobs.CallFenced)
}

// Guards against an answer to a stop that a relay made, and that counts as the answer to an earlier
// one because the stop was decided on a message that arrived after the round had begun: the stop would
// never be repeated and its run never be gone.
func TestRelayedStopIsSentAfterItsDecision(t *testing.T) {
	calls := newRelayedCalls(nil, 0)
	roundStart := time.Now()
	decidedAt := roundStart.Add(time.Microsecond)
	for !time.Now().After(decidedAt) {
	}
	calls.stop(roundStart, "relay", &jobs.StopRequest{Worker: "w1"})
	result := calls.take(calls.lastID).result(jobs.CallOK, 0, time.Now()).(stopResultMsg)
	assert.Assert(t, !result.result.SentAt.Before(decidedAt))
}
