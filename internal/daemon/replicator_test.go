package daemon

import (
	"testing"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// version returns the record of a key in the given version.
func version(key string, v uint64) model.Record {
	return model.Record{Request: model.Request{Key: key}, Version: v, Tasks: []model.TaskRecord{{}}}
}

// The replicator must send only the latest version of each record, in the order of
// the first change, and no record that was queued before a step-down.
func TestReplicatorCoalesces(t *testing.T) {
	td := newTestDaemon(t)
	td.replicator.add(1, []model.Record{version("a", 1), version("b", 1)})
	td.replicator.add(1, []model.Record{version("a", 2)})
	term, records := td.replicator.takeBatch()
	assert.Equal(t, term, uint64(1))
	assert.Equal(t, len(records), 2)
	assert.Equal(t, records[0].Request.Key, "a")
	assert.Equal(t, records[0].Version, uint64(2))
	td.replicator.add(1, []model.Record{version("c", 1)})
	td.replicator.reset()
	_, records = td.replicator.takeBatch()
	assert.Equal(t, len(records), 0)
}

// Without live standbys a batch must be acknowledged and not wait forever.
func TestReplicatorConfirmsWithoutStandbys(t *testing.T) {
	td := newTestDaemon(t)
	td.replicator.send(td.ctx, 3, []model.Record{version("a", 7)})
	m := nextMessage[replicationAckMsg](td)
	assert.Equal(t, m.term, uint64(3))
	assert.DeepEqual(t, m.acks[0].key, "a")
	assert.Equal(t, m.acks[0].version, uint64(7))
}

// An acknowledgement that arrives after a step-down must be ignored: otherwise a
// fate would count as replicated although no standby has it.
func TestFormerOwnerGetsNoConfirmation(t *testing.T) {
	td := newTestDaemon(t)
	l := td.newOwnerLoop()
	l.core.Restore(td.now(), version("a", 1))
	assert.Assert(t, !l.core.Serving())
	assert.Assert(t, !(replicationAckMsg{term: l.election.Term()}).isCurrent(l))
}
