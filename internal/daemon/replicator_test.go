package daemon

import (
	"testing"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

func version(key string, v uint64) model.Record {
	return model.Record{Request: model.Request{Key: key}, Version: v, Tasks: []model.TaskRecord{{}}}
}

// Guards against sending every version of a record, an older one, or a key out
// of the order of its first change; and against records of a former term.
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

// Guards against a batch that waits for ever, or is never confirmed, when no
// standby sends heartbeats any more.
func TestReplicatorConfirmsWithoutStandbys(t *testing.T) {
	td := newTestDaemon(t)
	td.replicator.send(td.ctx, 3, []model.Record{version("a", 7)})
	m := nextMessage[replicationAckMsg](td)
	assert.Equal(t, m.term, uint64(3))
	assert.DeepEqual(t, m.acks[0].key, "a")
	assert.Equal(t, m.acks[0].version, uint64(7))
}

// Guards against confirming records to a former owner: a fate that it settled
// would count as told although no standby has it.
func TestFormerOwnerGetsNoConfirmation(t *testing.T) {
	td := newTestDaemon(t)
	l := td.newOwnerLoop()
	l.core.Restore(td.now(), version("a", 1))
	assert.Assert(t, !l.core.Serving())
	assert.Assert(t, !(replicationAckMsg{term: l.election.Term()}).isCurrent(l))
}
