package daemon

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

func journalRecord(key string, version uint64, idempotent bool) model.Record {
	return model.Record{
		Request: model.Request{Key: key, Service: "s", Team: "t", Class: model.Batch, Tasks: 1, Idempotent: idempotent},
		Side:    model.NewSide, Fate: model.Done, Version: version, Tasks: []model.TaskRecord{{State: model.TaskDone}},
	}
}

// logged returns the versions in the fate stream by key, in order of append.
func (td *testDaemon) logged() map[string][]uint64 {
	out := map[string][]uint64{}
	assert.Assert(td.t, td.readJournal(td.ctx, func(records []model.Record) {
		for i := range records {
			out[records[i].Request.Key] = append(out[records[i].Request.Key], records[i].Version)
		}
	}))
	return out
}

// Guards against losing a fate whose append failed, and against one append for
// each change.
func TestJournalRepeatsUntilAppended(t *testing.T) {
	for _, tc := range []struct {
		name           string
		down, lostAcks bool
		want           []uint64
	}{{"log down", true, false, []uint64{2}}, {"answer lost", false, true, []uint64{2, 2}}} {
		t.Run(tc.name, func(t *testing.T) {
			td := newTestDaemon(t)
			td.journal.add(journalRecord("k", 1, true))
			td.journal.add(journalRecord("k", 2, true))
			td.log.set(tc.down, tc.lostAcks)
			td.journal.flush(td.ctx)
			td.log.set(false, false)
			td.journal.flush(td.ctx)
			td.journal.flush(td.ctx)
			assert.DeepEqual(t, td.logged()["k"], tc.want)
		})
	}
}

// Guards against dropping the newer version of a record that changed while its
// older version was appended.
func TestJournalKeepsChangeDuringAppend(t *testing.T) {
	td := newTestDaemon(t)
	td.journal.add(journalRecord("k", 1, true))
	records, _ := td.journal.take()
	td.journal.add(journalRecord("k", 2, true))
	td.journal.done(records)
	td.journal.flush(td.ctx)
	assert.DeepEqual(t, td.logged()["k"], []uint64{2})
}

// Guards against memory without bound while the log is down, and against
// dropping non-idempotent records first: a retry could run those twice.
func TestJournalIsBounded(t *testing.T) {
	td := newTestDaemon(t)
	td.log.set(true, false)
	for i := range journalRecords + 10 {
		td.journal.add(journalRecord(fmt.Sprint("k", i), 1, i%2 == 1))
	}
	assert.Equal(t, len(td.journal.order), journalRecords)
	assert.Equal(t, len(td.journal.pending), journalRecords)
	assert.Equal(t, td.metrics.journalDropped.Count(), int64(10))
	for i := range 20 {
		_, kept := td.journal.pending[fmt.Sprint("k", i)]
		assert.Equal(t, kept, i%2 == 0, "record %d", i)
	}
}

// Guards against appends larger than the log allows, and against records that
// block the journal or are lost when a batch is full.
func TestJournalBatchesBySize(t *testing.T) {
	td := newTestDaemon(t)
	for i := range 500 {
		r := journalRecord(fmt.Sprint("k", i), 1, true)
		r.Answer = make([]byte, journalAnswerBytes)
		td.journal.add(r)
	}
	for range 500 {
		td.journal.flush(td.ctx)
	}
	for _, r := range td.log.appends(fateStream("dc-a")) {
		assert.Assert(t, len(r.Data) <= journalBytes, "%d bytes", len(r.Data))
	}
	assert.Equal(t, len(td.logged()), 500)
}

// Guards against a record that is larger than one append and so blocks all
// records behind it for ever.
func TestJournalSurvivesOversizedRecord(t *testing.T) {
	td := newTestDaemon(t)
	big := journalRecord("big", 1, true)
	big.Tasks, big.Request.Tasks = nil, 4000
	for range big.Request.Tasks {
		big.Tasks = append(big.Tasks, model.TaskRecord{State: model.TaskDone, Worker: "klang-a-worker-1"})
	}
	td.journal.add(big)
	started := big
	started.Request.Key, started.Fate = "started", model.Running
	td.journal.add(started)
	td.journal.add(journalRecord("small", 1, true))
	for range 3 {
		td.journal.flush(td.ctx)
	}
	assert.DeepEqual(t, td.logged()["small"], []uint64{1})
	assert.Assert(t, len(td.logged()["big"]) > 0, "the fate of the large request is not in the log")
}

// Guards against a reader that takes an unreadable log for its end.
func TestReadJournalTellsFailure(t *testing.T) {
	td := newTestDaemon(t)
	td.journal.add(journalRecord("k", 1, true))
	td.journal.flush(td.ctx)
	var got []model.Record
	add := func(r []model.Record) { got = append(got, r...) }
	assert.Assert(t, td.readJournal(td.ctx, add))
	assert.Equal(t, len(got), 1)
	td.log.set(true, false)
	assert.Assert(t, !td.readJournal(td.ctx, add))
}
