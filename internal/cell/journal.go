package cell

import (
	"context"
	"errors"
	"slices"
	"sync"
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
	hedgeDelay = 400 * time.Millisecond
	// appendRetry is the pause after a refused attempt.
	appendRetryPause = 50 * time.Millisecond
	// overlapAfter is how long the last append must have waited for the next one to
	// go out beside it.
	overlapDelay = 60 * time.Millisecond
	// maxOpenAppends bounds the appends that are under way.
	maxAppendsInFlight = 2
	// maxAttempts bounds the attempts of one append that are under way.
	maxAttemptsInFlight = 4
	// stalledAfter is the age of an append without an answer from which new jobs
	// are refused. A slow store takes almost as long.
	stallTimeout = 900 * time.Millisecond
	// refusedStall is the same for an append that the store refuses.
	refusedStallTimeout = 150 * time.Millisecond
)

// journal stores the leader's batches in order. Usually there is one append at a
// time; while the store is slow the next ones do not wait for its answer.
type journal struct {
	l       *leader
	batches chan *jobs.Batch
	mu      sync.Mutex
	// open lists the appends without an answer, oldest first.
	inFlight []*pendingAppend
	seq      uint64

	rejected atomic.Bool
	latency  metrics.Histogram
	appends  metrics.Counter
	bytes    metrics.Counter
	failures metrics.Counter
}

// pendingAppend is an append that the store has not answered yet.
type pendingAppend struct {
	seq       uint64
	startedAt time.Time
	// refused tells that the store answered, but did not take it.
	refused bool
}

func newJournal(l *leader) *journal {
	r := l.d.registry
	return &journal{l: l, seq: firstSeq, batches: make(chan *jobs.Batch, maxAppendsInFlight),
		latency: telemetry.NewHistograms(r, telemetry.DefaultMaxPairs).Latency("store_append"),
		appends: telemetry.Counter(r, "store.appends"), bytes: telemetry.Counter(r, "store.append_bytes"),
		failures: telemetry.Counter(r, "store.append_failures")}
}

// free reports whether a batch may be handed over: when none is under way, or
// when the oldest one takes unusually long and there are not too many.
func (j *journal) acceptsBatch(now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := len(j.inFlight) + len(j.batches)
	return n == 0 || n < maxAppendsInFlight && len(j.inFlight) > 0 && now.Sub(j.inFlight[len(j.inFlight)-1].startedAt) >= overlapDelay
}

// put hands over a batch. The journal must be free.
func (j *journal) enqueue(b *jobs.Batch) { j.batches <- b }

// trouble returns how long the oldest append has waited, and whether the store
// refused it meanwhile.
func (j *journal) oldestAppendWait(now time.Time) (time.Duration, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.inFlight) == 0 {
		return 0, false
	}
	return now.Sub(j.inFlight[0].startedAt), j.inFlight[0].refused
}

// stalled reports whether the store takes no records at present.
func (j *journal) stalled(now time.Time) bool {
	waited, refused := j.oldestAppendWait(now)
	return waited > stallTimeout || refused && waited > refusedStallTimeout
}

// fenced reports whether the store has seen a higher token.
func (j *journal) hasPermanentError() bool { return j.rejected.Load() }

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
			j.appendBatch(b)
		case <-timer.C:
			j.confirmLeadership()
		}
	}
}

// store appends a batch.
func (j *journal) appendBatch(b *jobs.Batch) {
	records, err := encodeBatch(b)
	if err != nil {
		j.l.log.WithFields(logrus.Fields{"event": "batch_unstorable", "error": err.Error()}).Error("a batch cannot be encoded")
		j.rejected.Store(true)
		return
	}
	j.startAppend(records, func(sent time.Time) message { return batchStoredMsg{b.Seq, sent} })
}

// send makes the next append of the sequence on a goroutine of its own and
// reports to the leader loop when it is stored.
func (j *journal) startAppend(records []ports.KeyedRecord, done func(sent time.Time) message) {
	j.seq++
	p := j.addInFlight(j.seq)
	j.l.goroutines.Go(func() {
		defer j.removeInFlight(p)
		if sent, ok := j.appendHedged(records, p); ok {
			j.l.push(done(sent))
		}
	})
}

// confirm has the lead confirmed by an append of a small record, unless an append
// is under way that will do so. It also shows others that somebody leads.
func (j *journal) confirmLeadership() {
	j.mu.Lock()
	busy := len(j.inFlight) > 0
	j.mu.Unlock()
	if busy {
		return
	}
	j.startAppend([]ports.KeyedRecord{{Key: aliveKey, Value: []byte{1}}}, func(sent time.Time) message { return confirmedMsg{sent} })
}

func (j *journal) addInFlight(seq uint64) *pendingAppend {
	p := &pendingAppend{seq: seq, startedAt: time.Now()}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.inFlight = append(j.inFlight, p)
	return p
}

func (j *journal) removeInFlight(p *pendingAppend) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.inFlight = slices.DeleteFunc(j.inFlight, func(o *pendingAppend) bool { return o == p })
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
func (j *journal) appendHedged(records []ports.KeyedRecord, p *pendingAppend) (time.Time, bool) {
	ctx, cancel := context.WithCancel(j.l.ctx)
	defer cancel()
	results := make(chan attempt, maxAttemptsInFlight)
	attemptsInFlight := 0
	try := func() {
		attemptsInFlight++
		j.l.goroutines.Go(func() { results <- j.try(ctx, records, p.seq) })
	}
	try()
	retryTimer := time.NewTimer(hedgeDelay)
	defer retryTimer.Stop()
	for {
		select {
		case <-j.l.ctx.Done():
			return time.Time{}, false
		case <-retryTimer.C:
			if attemptsInFlight < maxAttemptsInFlight {
				try()
			}
			retryTimer.Reset(hedgeDelay)
		case r := <-results:
			attemptsInFlight--
			if r.err == nil || alreadyExecuted(r.err, p.seq) {
				j.recordSuccess(r.sent, records)
				return r.sent, true
			}
			if j.handleFailure(r.err, p) {
				return r.sent, false
			}
			retryTimer.Reset(appendRetryPause)
		}
	}
}

// executed reports whether an error tells that an append was executed by an
// earlier attempt, too long ago for its answer to be repeated.
func alreadyExecuted(err error, seq uint64) bool {
	var e *ports.StoreError
	return errors.As(err, &e) && e.Kind == ports.StoreOutOfSequence && e.ExpectedSeq > seq
}

// try makes one call.
func (j *journal) try(ctx context.Context, records []ports.KeyedRecord, seq uint64) attempt {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	sent := time.Now()
	_, err := j.l.d.deps.Store.Append(ctx, ports.Append{Topic: ports.JobsTopic, Records: records,
		Fence: &ports.Fence{Producer: producer, Epoch: j.l.token, Seq: seq}})
	if ctx.Err() != context.Canceled {
		j.l.d.recordStoreCall(sent, err)
	}
	j.appends.Inc(1)
	return attempt{sent, err}
}

// count records an append that was stored.
func (j *journal) recordSuccess(sent time.Time, records []ports.KeyedRecord) {
	telemetry.ObserveSince(j.latency, sent)
	for _, r := range records {
		j.bytes.Inc(int64(len(r.Key) + len(r.Value)))
	}
}

// lost reports whether an error means that this daemon leads no more.
func (j *journal) handleFailure(err error, p *pendingAppend) bool {
	j.failures.Inc(1)
	var e *ports.StoreError
	isStoreError := errors.As(err, &e)
	precedingMissing := isStoreError && e.Kind == ports.StoreOutOfSequence && e.ExpectedSeq < p.seq
	if !isStoreError || precedingMissing || e.Transient() {
		j.recordAttemptFailure(err, p, isStoreError && e.Kind == ports.StoreUnavailable)
		return false
	}
	j.l.log.WithFields(logrus.Fields{"event": "append_refused", "seq": p.seq, "error": err.Error()}).Warn("the store refused an append for good")
	j.rejected.Store(true)
	return true
}

// note records a failed attempt and logs the first one of an append.
func (j *journal) recordAttemptFailure(err error, p *pendingAppend, refused bool) {
	j.mu.Lock()
	first := !p.refused
	p.refused = p.refused || refused
	j.mu.Unlock()
	if first {
		j.l.log.WithFields(logrus.Fields{"event": "append_failed", "seq": p.seq, "error": err.Error()}).Warn("the store did not take an append")
	}
}
