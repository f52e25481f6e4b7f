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
	// journalInterval bounds the appends to one a second whatever the number
	// of starts, because all users of the log share several hundred a second.
	journalInterval = time.Second
	// journalBytes bounds one append.
	maxJournalBatchBytes = 64 << 10
	// recordOverhead covers the tag and length of one record in a batch.
	recordOverhead = 8
	// journalRecords bounds the records that wait for the log.
	maxPendingJournalRecords = 16384
	// journalAnswerBytes bounds an answer in the journal. The journal has to
	// tell fates; larger answers are kept by the daemons only.
	maxJournalAnswerBytes = 1 << 10
	appendTimeout         = 5 * time.Second
)

// journal appends changed records to the data centre's fate stream.
type journal struct {
	d       *Daemon
	mu      sync.Mutex
	pending map[string]model.Record
	order   []string
	// flushing admits one append at a time: the last one of a shutdown may meet
	// a regular one.
	flushMu sync.Mutex
	// failing is true while appends fail.
	appendFailing bool
}

func newJournal(d *Daemon) *journal {
	return &journal{d: d, pending: map[string]model.Record{}}
}

func fateStream(dc model.DataCentre) string { return "fates." + string(dc) }

// add queues a record. When the journal is full because the log is down, the
// oldest record of an idempotent request gives way, else the oldest of all.
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

// take returns the oldest records up to the size of one append. Protocol
// buffers need about a quarter of the bytes of JSON, so one append a second
// holds some 300 fates.
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

// done removes what was appended, unless it changed meanwhile.
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

// flush appends one batch. A batch whose answer was lost is appended again;
// readers keep the newest version of each record.
func (j *journal) flush(ctx context.Context) {
	j.flushMu.Lock()
	defer j.flushMu.Unlock()
	records, batch := j.nextBatch()
	if len(records) == 0 {
		return
	}
	data, err := proto.Marshal(batch)
	if err != nil {
		j.d.log.WithError(err).Error("fate journal cannot encode its records")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := j.d.logService.Append(ctx, fateStream(j.d.set.DataCentre), data); err != nil {
		j.d.metrics.logErrors.Inc(1)
		if !j.appendFailing {
			j.appendFailing = true
			j.d.log.WithError(err).Warn("fate journal waits for the log; fates are kept in memory meanwhile")
		}
		return
	}
	if j.appendFailing {
		j.appendFailing = false
		j.d.log.Info("fate journal reaches the log again")
	}
	j.d.metrics.appends.Inc(1)
	j.removeAppended(records)
}

// readJournal reads the whole fate stream and hands its records to add. It
// returns false when the log could not be read to its end, or has dropped
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

// droppedFates reports whether the first page of the stream begins after
// records that are younger than the retention of keys.
func (d *Daemon) truncatedWithinRetention(page ports.LogPage) bool {
	if page.First == 0 {
		return false
	}
	return len(page.Records) == 0 || d.now().Sub(page.Records[0].Time) < scheduler.DefaultRetention
}
