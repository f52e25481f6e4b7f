package daemon

import (
	"testing"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/scheduler"
)

// A new owner must not treat the records of an owner in doubt as complete, or a
// request whose record was lost could run a second time.
func TestRecordsInDoubtAreNotComplete(t *testing.T) {
	for _, peer := range []bool{false, true} {
		td := newTestDaemon(t)
		l := td.newOwnerLoop()
		l.recovery = scheduler.Recovery{Term: 1, PeerSynced: peer}
		l.startServing(td.now())
		for _, term := range []uint64{0, 2} {
			reply := make(chan fetchRecordsReply, 1)
			fetchRecordsMsg{term: term, reply: reply}.handle(l, td.now())
			assert.Equal(t, (<-reply).synced, peer || term == 0, "term %d", term)
		}
		l.stepDown()
		assert.Assert(t, !l.synced, "a new owner may have changed records")
	}
}
