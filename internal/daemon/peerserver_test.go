package daemon

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against callers with ever new IDs that make a daemon keep a copy of all records for each,
// and against one whose pages end because its copy was dropped.
func TestSnapshotsOfPeersAreLimited(t *testing.T) {
	s := &peerService{snapshots: map[string]fetchRecordsReply{}}
	for i := range 100 {
		caller := fmt.Sprint("daemon-", i)
		s.storeSnapshot(caller, fetchRecordsReply{}, true)
		s.storeSnapshot(caller, fetchRecordsReply{}, true)
		_, kept := s.snapshot(caller)
		assert.Assert(t, kept)
		assert.Assert(t, len(s.snapshots) <= maxSnapshots)
	}
	s.storeSnapshot("daemon-99", fetchRecordsReply{}, false)
	assert.Equal(t, len(s.snapshots), maxSnapshots-1)
}
