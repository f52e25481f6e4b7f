package daemon

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/scheduler"
	"catkinvalve/internal/peerpb"
	"catkinvalve/internal/ports"
)

const (
	// journalInterval limits the journal to one append per second, whatever the
	// number of starts, because all users of the log share a few hundred appends
	// per second.
	journalInterval = time.Second
	// maxJournalBatchBytes bounds one append. Only a single record that is larger
	// by itself exceeds it.
	maxJournalBatchBytes = 64 << 10
	// recordOverhead covers the tag and length of one record in a batch.
	recordOverhead = 8
	// maxPendingJournalRecords bounds the records that wait to be appended.
	maxPendingJournalRecords = 16384
	// maxJournalAnswerBytes bounds an answer in the journal, whose purpose is to
	// restore fates. Larger answers are kept only in the memory of the daemons.
	maxJournalAnswerBytes = 1 << 10
	appendTimeout         = 5 * time.Second
)

// journal appends changed records to the fate stream of the data centre, in the
// log service.
type journal struct {
	d       *Daemon
	mu      sync.Mutex
	pending map[string]model.Record
	// order lists the keys of pending in the order in which they were added.
	order []string
	// flushMu allows one append at a time: the final flush of a shutdown may run
	// concurrently with a periodic one.
	flushMu sync.Mutex
	// appendFailing is true while appends fail, so that only the first failure
	// is logged. flushMu guards it.
	appendFailing bool
}

func newJournal(d *Daemon) *journal {
	return &journal{d: d, pending: map[string]model.Record{}}
}

// fateStream returns the name of a data centre's journal in the log.
func fateStream(dc model.DataCentre) string { return "fates." + string(dc) }

// add queues a record. When the journal is full because the log is down, it drops
// the oldest record of an idempotent request or, if there is none, the oldest
// record.
func (j *journal) add(rec model.Record) {
	if len(rec.Answer) > maxJournalAnswerBytes {
		rec.Answer = nil
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	key := rec.Request.Key
	if _, ok := j.pending[key]; !ok {
		if len(j.order) >= maxPendingJournalRecords {
			j.evictOne()
		}
		j.order = append(j.order, key)
	}
	j.pending[key] = rec
}

// evictOne drops one record. The caller holds mu.
func (j *journal) evictOne() {
	drop := 0
	for i, key := range j.order {
		if j.pending[key].Request.Idempotent {
			drop = i
			break
		}
	}
	delete(j.pending, j.order[drop])
	j.order = append(j.order[:drop], j.order[drop+1:]...)
	j.d.metrics.journalDropped.Inc(1)
}

// nextBatch returns the oldest records, up to the size of one append, and leaves
// them pending. Protocol buffers take about a quarter of the bytes of JSON, so one
// append per second holds about 300 fates.
func (j *journal) nextBatch() (records []model.Record, batch *peerpb.ReplicateRequest) {
	j.mu.Lock()
	defer j.mu.Unlock()
	batch = &peerpb.ReplicateRequest{DataCentre: string(j.d.set.DataCentre)}
	size := 0
	for _, key := range j.order {
		rec := j.pending[key]
		p := peerpb.RecordToProto(&rec)
		size += proto.Size(p) + recordOverhead
		if size > maxJournalBatchBytes && len(records) > 0 {
			break
		}
		records = append(records, rec)
		batch.Records = append(batch.Records, p)
	}
	return records, batch
}

// removeAppended removes records that were appended, except those that have
// changed since then.
func (j *journal) removeAppended(records []model.Record) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i := range records {
		key := records[i].Request.Key
		if p, ok := j.pending[key]; ok && p.Version == records[i].Version {
			delete(j.pending, key)
		}
	}
	kept := j.order[:0]
	for _, key := range j.order {
		if _, ok := j.pending[key]; ok {
			kept = append(kept, key)
		}
	}
	j.order = kept
}

func (j *journal) run(ctx context.Context) {
	ticker := time.NewTicker(journalInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			j.flush(ctx)
		}
	}
}

// flush appends one batch. After a failure the records stay pending, so a batch
// whose answer was lost is appended again; readers keep the newest version of each
// record.
func (j *journal) flush(ctx context.Context) {
	j.flushMu.Lock()
	defer j.flushMu.Unlock()
	records, batch := j.nextBatch()
	if len(records) == 0 {
		return
	}
	data, err := proto.Marshal(batch)
	if err != nil {
		j.d.log.WithError(err).Error("cannot encode the records of the fate journal")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := j.d.logService.Append(ctx, fateStream(j.d.set.DataCentre), data); err != nil {
		j.d.metrics.logErrors.Inc(1)
		if !j.appendFailing {
			j.appendFailing = true
			j.d.log.WithError(err).Warn("cannot append to the fate journal; keeping fates in memory until the log is available")
		}
		return
	}
	if j.appendFailing {
		j.appendFailing = false
		j.d.log.Info("fate journal is available again")
	}
	j.d.metrics.appends.Inc(1)
	j.removeAppended(records)
}

// readJournal reads the whole fate stream and passes its records to add, page by
// page. It returns false when the log could not be read to its end, or has dropped
// records of keys that may still be asked for.
func (d *Daemon) readJournal(ctx context.Context, add func([]model.Record)) bool {
	var from int64
	for {
		page, err := d.logService.Read(ctx, fateStream(d.set.DataCentre), from, logPageSize, 0)
		if err != nil {
			return false
		}
		if from == 0 {
			d.journalTruncated.Store(d.truncatedWithinRetention(page))
		}
		for _, r := range page.Records {
			var batch peerpb.ReplicateRequest
			if proto.Unmarshal(r.Data, &batch) == nil {
				add(recordsFromProto(batch.Records))
			}
		}
		if len(page.Records) == 0 || page.Next <= from {
			return !d.journalTruncated.Load()
		}
		from = page.Next
	}
}

// truncatedWithinRetention reports whether the log may have dropped records that
// are younger than the retention of keys. page is the first page of the stream.
func (d *Daemon) truncatedWithinRetention(page ports.LogPage) bool {
	if page.First == 0 {
		return false
	}
	return len(page.Records) == 0 || d.now().Sub(page.Records[0].Time) < scheduler.DefaultRetention
}
