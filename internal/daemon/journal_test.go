package daemon

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// journalRecord returns a finished record.
func journalRecord(key string, version uint64, idempotent bool) model.Record {
	return model.Record{
		Request: model.Request{Key: key, Service: "s", Team: "t", Class: model.Batch, Tasks: 1, Idempotent: idempotent},
		Side:    model.NewSide, Fate: model.Done, Version: version, Tasks: []model.TaskRecord{{State: model.TaskDone}},
	}
}

// journaledVersions returns the record versions in the fate stream by key, in order
// of their appends.
func (td *testDaemon) journaledVersions() map[string][]uint64 {
	out := map[string][]uint64{}
	assert.Assert(td.t, td.readJournal(td.ctx, func(records []model.Record) {
		for i := range records {
			out[records[i].Request.Key] = append(out[records[i].Request.Key], records[i].Version)
		}
	}))
	return out
}

// A failed append must be repeated until it is acknowledged, and only the latest
// version of a record is appended.
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
			td.log.setFailures(tc.down, tc.lostAcks)
			td.journal.flush(td.ctx)
			td.log.setFailures(false, false)
			td.journal.flush(td.ctx)
			td.journal.flush(td.ctx)
			assert.DeepEqual(t, td.journaledVersions()["k"], tc.want)
		})
	}
}

// A record that changes while its older version is being appended must stay pending.
func TestJournalKeepsChangeDuringAppend(t *testing.T) {
	td := newTestDaemon(t)
	td.journal.add(journalRecord("k", 1, true))
	records, _ := td.journal.nextBatch()
	td.journal.add(journalRecord("k", 2, true))
	td.journal.removeAppended(records)
	td.journal.flush(td.ctx)
	assert.DeepEqual(t, td.journaledVersions()["k"], []uint64{2})
}

// While the log is down, the number of pending records must stay bounded. Records of
// idempotent requests are dropped first, since a retry of any other request whose
// record is lost could run it twice.
func TestJournalIsBounded(t *testing.T) {
	td := newTestDaemon(t)
	td.log.setFailures(true, false)
	for i := range maxPendingJournalRecords + 10 {
		td.journal.add(journalRecord(fmt.Sprint("k", i), 1, i%2 == 1))
	}
	assert.Equal(t, len(td.journal.order), maxPendingJournalRecords)
	assert.Equal(t, len(td.journal.pending), maxPendingJournalRecords)
	assert.Equal(t, td.metrics.journalDropped.Count(), int64(10))
	for i := range 20 {
		_, kept := td.journal.pending[fmt.Sprint("k", i)]
		assert.Equal(t, kept, i%2 == 0, "record %d", i)
	}
}

// Batches must not be larger than the log allows, and a full batch must neither lose
// records nor block the journal.
func TestJournalBatchesBySize(t *testing.T) {
	td := newTestDaemon(t)
	for i := range 500 {
		r := journalRecord(fmt.Sprint("k", i), 1, true)
		r.Answer = make([]byte, maxJournalAnswerBytes)
		td.journal.add(r)
	}
	for range 500 {
		td.journal.flush(td.ctx)
	}
	for _, r := range td.log.appends(fateStream("dc-a")) {
		assert.Assert(t, len(r.Data) <= maxJournalBatchBytes, "%d bytes", len(r.Data))
	}
	assert.Equal(t, len(td.journaledVersions()), 500)
}

// A record that is larger than one batch must not block the records behind it.
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
	assert.DeepEqual(t, td.journaledVersions()["small"], []uint64{1})
	assert.Assert(t, len(td.journaledVersions()["big"]) > 0, "the fate of the large request is not in the log")
}

// readJournal must report an unreadable log and not treat it as the end of the
// stream.
func TestReadJournalReportsFailure(t *testing.T) {
	td := newTestDaemon(t)
	td.journal.add(journalRecord("k", 1, true))
	td.journal.flush(td.ctx)
	var got []model.Record
	add := func(r []model.Record) { got = append(got, r...) }
	assert.Assert(t, td.readJournal(td.ctx, add))
	assert.Equal(t, len(got), 1)
	td.log.setFailures(true, false)
	assert.Assert(t, !td.readJournal(td.ctx, add))
}
