package cell

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/ports"
	"catkinvalve/internal/telemetry"
)

const (
	// confirmInterval is how often an idle leader has its lead confirmed.
	confirmInterval = 500 * time.Millisecond
	// appendTimeout bounds one attempt of an append.
	appendTimeout = 1500 * time.Millisecond
	// appendAgain is when an attempt without an answer is joined by another.
	appendAgain = 400 * time.Millisecond
	// appendRetry is the pause after a refused attempt.
	appendRetry = 50 * time.Millisecond
	// maxAttempts bounds the attempts of one append that are under way.
	maxAttempts = 4
	// stalledAfter is the age of an append without an answer from which new jobs
	// are refused. A slow store takes almost as long.
	stalledAfter = 500 * time.Millisecond
	// refusedStall is the same for an append that the store refuses.
	refusedStall = 150 * time.Millisecond
)

// journal stores the leader's batches, one append at a time.
type journal struct {
	l       *leader
	batches chan *jobs.Batch
	origin  time.Time
	// since is when the append in hand was first sent, on the steady clock from
	// origin; 0 when there is none.
	since atomic.Int64
	// answered tells that the store refused the append in hand.
	answered atomic.Bool
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
func (j *journal) put(b *jobs.Batch) { j.batches <- b }

// trouble returns how long the append in hand has waited, and whether the store
// refused it meanwhile.
func (j *journal) trouble(now time.Time) (time.Duration, bool) {
	since := j.since.Load()
	if since == 0 {
		return 0, false
	}
	return now.Sub(j.origin) - time.Duration(since), j.answered.Load()
}

// stalled reports whether the store takes no records at present.
func (j *journal) stalled(now time.Time) bool {
	waited, refused := j.trouble(now)
	return waited > stalledAfter || refused && waited > refusedStall
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

// attempt is the outcome of one call of an append.
type attempt struct {
	sent time.Time
	err  error
}

// appendAll makes one append of the leader's sequence and returns when the
// attempt that was answered was sent. Attempts without an answer are joined by
// further ones: the store executes an append of a sequence once. It fails when
// the lead is lost.
func (j *journal) appendAll(records []ports.KeyedRecord, seq uint64) (time.Time, bool) {
	j.since.Store(int64(time.Since(j.origin)) + 1)
	defer j.since.Store(0)
	defer j.answered.Store(false)
	ctx, cancel := context.WithCancel(j.l.ctx)
	defer cancel()
	results := make(chan attempt, maxAttempts)
	open := 0
	try := func() {
		open++
		j.l.work.Go(func() { results <- j.try(ctx, records, seq) })
	}
	try()
	again := time.NewTimer(appendAgain)
	defer again.Stop()
	for {
		select {
		case <-j.l.ctx.Done():
			return time.Time{}, false
		case <-again.C:
			if open < maxAttempts {
				try()
			}
			again.Reset(appendAgain)
		case r := <-results:
			open--
			if r.err == nil {
				j.count(r.sent, records)
				return r.sent, true
			}
			if j.lost(r.err, seq) {
				return r.sent, false
			}
			again.Reset(appendRetry)
		}
	}
}

// try makes one call.
func (j *journal) try(ctx context.Context, records []ports.KeyedRecord, seq uint64) attempt {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	sent := time.Now()
	_, err := j.l.d.deps.Store.Append(ctx, ports.Append{Topic: ports.JobsTopic, Records: records,
		Fence: &ports.Fence{Producer: producer, Epoch: j.l.token, Seq: seq}})
	if ctx.Err() != context.Canceled {
		j.l.d.observeStore(sent, err)
	}
	j.appends.Inc(1)
	return attempt{sent, err}
}

// count records an append that was stored.
func (j *journal) count(sent time.Time, records []ports.KeyedRecord) {
	telemetry.ObserveSince(j.latency, sent)
	for _, r := range records {
		j.bytes.Inc(int64(len(r.Key) + len(r.Value)))
	}
}

// lost reports whether an error means that this daemon leads no more.
func (j *journal) lost(err error, seq uint64) bool {
	j.failures.Inc(1)
	var e *ports.StoreError
	if !errors.As(err, &e) || e.Kind == ports.StoreUnavailable || e.Kind == ports.StoreNoAnswer {
		first := !j.answered.Swap(errors.As(err, &e) && e.Kind == ports.StoreUnavailable)
		if first {
			j.l.log.WithFields(logrus.Fields{"event": "append_failed", "seq": seq, "error": err.Error()}).Warn("the store did not take an append")
		}
		return false
	}
	j.l.log.WithFields(logrus.Fields{"event": "append_refused", "seq": seq, "error": err.Error()}).Warn("the store refused an append for good")
	j.refused.Store(true)
	return true
}
