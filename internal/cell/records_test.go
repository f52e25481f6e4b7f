package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// Guards against a record that cannot be decoded and is taken for absent: a new leader would not
// wait for the worker on which tasks may run, or for the leader that may still act.
func TestUnreadableRecordsAreNotTakenForAbsent(t *testing.T) {
	garbage := []byte{0xff}
	var s storedState
	assert.Assert(t, s.decode(workerPrefix+"i-1", garbage) != nil)
	assert.Assert(t, s.decode(termKey, garbage) != nil)
	assert.Equal(t, len(s.snapshot.Workers), 1)
	assert.Equal(t, s.snapshot.Workers[0].ID, model.WorkerID("i-1"))
	assert.Assert(t, !s.snapshot.Workers[0].Silent, "only some tasks would wait for the worker")

	l := &leader{previousTerms: s.previousTerms(), previousTermsUnknown: s.termUnreadable, claim: claim{at: time.Now()}}
	assert.Equal(t, l.previousLeadersEnd(), l.claim.at.Add(connectedLeaderTimeout))
}
