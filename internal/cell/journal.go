package cell

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/pause"
	"catkinvalve/internal/ports"
	"catkinvalve/internal/telemetry"
)

const (
	// confirmInterval is how often an idle leader has its lead confirmed.
	confirmInterval = 500 * time.Millisecond
	// appendTimeout bounds one attempt of an append.
	appendTimeout = 1200 * time.Millisecond
	// appendRetry is the pause after a refused attempt.
	appendRetry = 60 * time.Millisecond
	// stalledAfter is the age of an append from which new jobs are refused.
	stalledAfter = 700 * time.Millisecond
)

// journal stores the leader's batches, one append at a time.
type journal struct {
	l       *leader
	batches chan *jobs.Batch
	// since is the Unix nanosecond on the steady clock of the batch that is being
	// stored, or 0.
	since    atomic.Int64
	origin   time.Time
	refused  atomic.Bool
	seq      uint64
	latency  metrics.Histogram
	appends  metrics.Counter
	bytes    metrics.Counter
	failures metrics.Counter
}

func newJournal(l *leader) *journal {
	r := l.d.registry
	return &journal{l: l, batches: make(chan *jobs.Batch, 1), origin: time.Now(),
		latency: telemetry.NewHistograms(r, telemetry.DefaultPairs).Latency("store_append"),
		appends: telemetry.Counter(r, "store.appends"), bytes: telemetry.Counter(r, "store.append_bytes"),
		failures: telemetry.Counter(r, "store.append_failures")}
}

// put hands over a batch. The core hands out one at a time.
func (j *journal) put(b *jobs.Batch) {
	j.since.Store(int64(time.Since(j.origin)) + 1)
	j.batches <- b
}

// stalled reports whether a batch has waited too long to be stored.
func (j *journal) stalled(now time.Time) bool {
	since := j.since.Load()
	return since != 0 && now.Sub(j.origin)-time.Duration(since) > stalledAfter
}

// fenced reports whether the store has seen a higher token.
func (j *journal) fenced() bool { return j.refused.Load() }

// run stores batches until the lead ends.
func (j *journal) run() {
	timer := time.NewTimer(confirmInterval)
	defer timer.Stop()
	for {
		timer.Reset(confirmInterval)
		select {
		case <-j.l.ctx.Done():
			return
		case b := <-j.batches:
			if !j.store(b) {
				return
			}
		case <-timer.C:
			if !j.confirm() {
				return
			}
		}
	}
}

// store appends a batch, again and again until the store answers.
func (j *journal) store(b *jobs.Batch) bool {
	records, err := encodeBatch(b)
	if err != nil {
		j.l.log.WithFields(logrus.Fields{"event": "batch_unstorable", "error": err.Error()}).Error("a batch cannot be encoded")
		j.refused.Store(true)
		return false
	}
	j.seq++
	sent, ok := j.appendAll(records, j.seq)
	if ok {
		j.since.Store(0)
		j.l.push(storedMsg{b.Seq, sent})
	}
	return ok
}

// confirm has the lead confirmed by an append without records.
func (j *journal) confirm() bool {
	sent, ok := j.appendAll(nil, j.seq+1)
	if ok {
		j.l.push(confirmedMsg{sent})
	}
	return ok
}

// appendAll makes one append of the leader's sequence and returns when the
// attempt that was answered was sent. It fails when the lead is lost.
func (j *journal) appendAll(records []ports.KeyedRecord, seq uint64) (time.Time, bool) {
	for first := true; ; first = false {
		sent := time.Now()
		ctx, cancel := context.WithTimeout(j.l.ctx, appendTimeout)
		_, err := j.l.d.deps.Store.Append(ctx, ports.Append{Topic: ports.JobsTopic, Records: records,
			Fence: &ports.Fence{Producer: producer, Epoch: j.l.token, Seq: seq}})
		cancel()
		j.l.d.observeStore(sent, err)
		j.appends.Inc(1)
		if err == nil {
			telemetry.ObserveSince(j.latency, sent)
			for _, r := range records {
				j.bytes.Inc(int64(len(r.Key) + len(r.Value)))
			}
			return sent, true
		}
		j.failures.Inc(1)
		if j.l.ctx.Err() != nil || j.lost(err, seq) {
			return sent, false
		}
		if first {
			j.l.log.WithFields(logrus.Fields{"event": "append_failed", "seq": seq, "records": len(records), "error": err.Error()}).Warn("the store did not take an append")
		}
		if !pause.For(j.l.ctx, appendRetry) {
			return sent, false
		}
	}
}

// lost reports whether an error means that this daemon leads no more.
func (j *journal) lost(err error, seq uint64) bool {
	var e *ports.StoreError
	if !errors.As(err, &e) || e.Kind == ports.StoreUnavailable || e.Kind == ports.StoreNoAnswer {
		return false
	}
	j.l.log.WithFields(logrus.Fields{"event": "append_refused", "seq": seq, "error": err.Error()}).Warn("the store refused an append for good")
	j.refused.Store(true)
	return true
}
