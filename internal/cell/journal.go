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
	// confirmInterval is how often an idle leader appends a record to confirm its
	// leadership.
	confirmInterval = 500 * time.Millisecond
	// appendTimeout limits one attempt of an append.
	appendTimeout = 1500 * time.Millisecond
	// hedgeDelay is the time without an answer after which another attempt of the same
	// append is sent in parallel.
	hedgeDelay = 400 * time.Millisecond
	// appendRetryPause is the pause after a failed attempt.
	appendRetryPause = 50 * time.Millisecond
	// overlapDelay is the age of the latest append in flight from which the next append
	// is sent without waiting for its answer.
	overlapDelay = 60 * time.Millisecond
	// maxAppendsInFlight limits the appends in flight.
	maxAppendsInFlight = 2
	// maxAttemptsInFlight limits the parallel attempts of one append.
	maxAttemptsInFlight = 4
	// stallTimeout is the age of an append without an answer above which new jobs are
	// refused. An append to a slow store takes almost as long.
	stallTimeout = 900 * time.Millisecond
	// refusedStallTimeout is the same limit for an append that the store refuses.
	refusedStallTimeout = 150 * time.Millisecond
)

// journal appends the leader's batches to the jobs topic in order. Usually one append
// is in flight. While the store is slow, further appends are sent before it answers.
type journal struct {
	l       *leader
	batches chan journalEntry
	// confirmations requests confirmations of the leadership.
	confirmations chan struct{}
	// mu guards inFlight and the refused fields of its appends.
	mu sync.Mutex
	// inFlight lists the appends without an answer, oldest first.
	inFlight []*pendingAppend
	// seq is the sequence number of the last append. Only the goroutine of run uses it.
	seq uint64

	// permanentError is set when an append failed permanently.
	permanentError atomic.Bool
	latency        metrics.Histogram
	appends        metrics.Counter
	bytes          metrics.Counter
	failures       metrics.Counter
}

// journalEntry is what one append stores: a batch, which may be nil, and the change of the voters.
type journalEntry struct {
	batch  *jobs.Batch
	voters []ports.KeyedRecord
}

// pendingAppend is an append that the store has not answered yet.
type pendingAppend struct {
	seq       uint64
	startedAt time.Time
	// refused reports whether the store refused an attempt.
	refused bool
}

func newJournal(l *leader) *journal {
	r := l.d.registry
	return &journal{l: l, seq: firstSeq, batches: make(chan journalEntry, maxAppendsInFlight), confirmations: make(chan struct{}, 1),
		latency: telemetry.NewHistograms(r, telemetry.DefaultMaxPairs).Latency("store_append"),
		appends: telemetry.Counter(r, "store.appends"), bytes: telemetry.Counter(r, "store.append_bytes"),
		failures: telemetry.Counter(r, "store.append_failures")}
}

// acceptsBatch reports whether the next batch may be passed to enqueue: either no batch
// is queued or in flight, or fewer than maxAppendsInFlight are and the latest append in
// flight has waited for overlapDelay.
func (j *journal) acceptsBatch(now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := len(j.inFlight) + len(j.batches)
	return n == 0 || n < maxAppendsInFlight && len(j.inFlight) > 0 && now.Sub(j.inFlight[len(j.inFlight)-1].startedAt) >= overlapDelay
}

// enqueue passes an entry to the journal. It may block unless acceptsBatch returned true.
func (j *journal) enqueue(e journalEntry) { j.batches <- e }

// oldestAppendWait returns how long the oldest append in flight has waited and whether
// the store refused an attempt of it. It returns 0 when no append is in flight.
func (j *journal) oldestAppendWait(now time.Time) (time.Duration, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.inFlight) == 0 {
		return 0, false
	}
	return now.Sub(j.inFlight[0].startedAt), j.inFlight[0].refused
}

// stalled reports whether the oldest append in flight has waited so long that new jobs
// must be refused.
func (j *journal) stalled(now time.Time) bool {
	waited, refused := j.oldestAppendWait(now)
	return waited > stallTimeout || refused && waited > refusedStallTimeout
}

// hasPermanentError reports whether an append failed permanently: the store rejected
// it, for example because it has seen a higher token, or it could not be encoded.
func (j *journal) hasPermanentError() bool { return j.permanentError.Load() }

// run appends batches until the leadership ends.
func (j *journal) run() {
	timer := time.NewTimer(confirmInterval)
	defer timer.Stop()
	for {
		timer.Reset(confirmInterval)
		select {
		case <-j.l.ctx.Done():
			return
		case e := <-j.batches:
			j.appendEntry(e)
		case <-j.confirmations:
			j.appendConfirmation()
		case <-timer.C:
			j.confirmLeadership()
		}
	}
}

// appendEntry starts the append of an entry. A change of the voters is in the same append as the batch
// before it, or in a later one.
func (j *journal) appendEntry(e journalEntry) {
	records := slices.Clone(e.voters)
	stored := entryStoredMsg{voters: len(e.voters) > 0}
	if e.batch != nil {
		batch, err := encodeBatch(e.batch)
		if err != nil {
			j.l.log.WithFields(logrus.Fields{"event": "batch_unstorable", "error": err.Error()}).Error("cannot encode a batch")
			j.permanentError.Store(true)
			return
		}
		records, stored.batchSeq = append(records, batch...), e.batch.Seq
	}
	j.startAppend(records, func(sent time.Time) message {
		stored.sentAt = sent
		return stored
	})
}

// startAppend starts the next append of the sequence in a goroutine. When the append is
// stored, it sends the message that done returns to the leader loop.
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

// confirmLeadership appends a small record, which confirms the leadership and shows
// other daemons that there is a leader. It does nothing when an append is in flight,
// which has the same effect.
func (j *journal) confirmLeadership() {
	j.mu.Lock()
	busy := len(j.inFlight) > 0
	j.mu.Unlock()
	if !busy {
		j.appendConfirmation()
	}
}

// requestConfirmation makes run append a confirmation, whatever is in flight.
func (j *journal) requestConfirmation() {
	select {
	case j.confirmations <- struct{}{}:
	default: // one is requested already
	}
}

// appendConfirmation appends a small record, which confirms the leadership.
func (j *journal) appendConfirmation() {
	j.startAppend([]ports.KeyedRecord{{Key: aliveKey, Value: []byte{1}}}, func(sent time.Time) message { return confirmedMsg{sent} })
}

// addInFlight records that an append is in flight.
func (j *journal) addInFlight(seq uint64) *pendingAppend {
	p := &pendingAppend{seq: seq, startedAt: time.Now()}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.inFlight = append(j.inFlight, p)
	return p
}

// removeInFlight records that an append is no longer in flight.
func (j *journal) removeInFlight(p *pendingAppend) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.inFlight = slices.DeleteFunc(j.inFlight, func(o *pendingAppend) bool { return o == p })
}

// attempt is the result of one attempt of an append.
type attempt struct {
	sentAt time.Time
	err    error
}

// appendHedged makes one append of the leader's sequence and returns the time at which
// the successful attempt was sent. While there is no answer, it sends further attempts
// in parallel, which is safe because the store executes an append with a sequence
// number only once. It returns false when the leadership is lost.
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
				j.recordSuccess(r.sentAt, records)
				return r.sentAt, true
			}
			if j.handleFailure(r.err, p) {
				return r.sentAt, false
			}
			retryTimer.Reset(appendRetryPause)
		}
	}
}

// alreadyExecuted reports whether an error means that the store executed the append in
// an earlier attempt, so long ago that the store no longer has its answer.
func alreadyExecuted(err error, seq uint64) bool {
	var e *ports.StoreError
	return errors.As(err, &e) && e.Kind == ports.StoreOutOfSequence && e.ExpectedSeq > seq
}

// try makes one attempt of an append.
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

// recordSuccess updates the metrics for an append that was stored.
func (j *journal) recordSuccess(sent time.Time, records []ports.KeyedRecord) {
	telemetry.ObserveSince(j.latency, sent)
	for _, r := range records {
		j.bytes.Inc(int64(len(r.Key) + len(r.Value)))
	}
}

// handleFailure records a failed attempt and reports whether the append failed permanently,
// after which this daemon can no longer be the leader.
func (j *journal) handleFailure(err error, p *pendingAppend) bool {
	j.failures.Inc(1)
	var e *ports.StoreError
	isStoreError := errors.As(err, &e)
	// An append that arrives before the preceding one is refused as out of sequence, and
	// retried.
	precedingMissing := isStoreError && e.Kind == ports.StoreOutOfSequence && e.ExpectedSeq < p.seq
	if !isStoreError || precedingMissing || e.Transient() {
		j.recordAttemptFailure(err, p, isStoreError && e.Kind == ports.StoreUnavailable)
		return false
	}
	j.l.log.WithFields(logrus.Fields{"event": "append_refused", "seq": p.seq, "error": err.Error()}).Warn("the store rejected an append permanently")
	j.permanentError.Store(true)
	return true
}

// recordAttemptFailure records whether the store refused an attempt that can be
// retried. It logs failures until the store has refused an attempt of the append.
func (j *journal) recordAttemptFailure(err error, p *pendingAppend, refused bool) {
	j.mu.Lock()
	shouldLog := !p.refused
	p.refused = p.refused || refused
	j.mu.Unlock()
	if shouldLog {
		j.l.log.WithFields(logrus.Fields{"event": "append_failed", "seq": p.seq, "error": err.Error()}).Warn("an attempt to append to the store failed; retrying")
	}
}
