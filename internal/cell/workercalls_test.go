package cell

import (
	"testing"

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
