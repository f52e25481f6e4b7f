package cell

import "time"

const (
	// minBatchInterval is the minimum time between two batches.
	minBatchInterval = 15 * time.Millisecond
	// flushRetryDelay is the minimum time until a batch that the journal did not accept
	// is tried again.
	flushRetryDelay = 10 * time.Millisecond
)

// flush passes the next batch, with a change of the voters, to the journal if it is due and the journal
// accepts it. That append also confirms the leadership; only without it is one made for that alone.
func (l *leader) flush(now time.Time) {
	if now.Sub(l.lastBatchAt) < minBatchInterval || !l.journal.acceptsBatch(now) {
		return
	}
	switch b := l.core.TakeBatch(); {
	case b != nil || l.voterRecords != nil:
		l.journal.enqueue(journalEntry{b, l.voterRecords})
		l.voterRecords = nil
	case l.absent.unconfirmed:
		l.journal.requestConfirmation()
	default:
		return
	}
	l.lastBatchAt, l.absent.unconfirmed = now, false
}

// nextFlushIn returns the time until the next attempt to flush a batch, or 0 when there
// is no batch.
func (l *leader) nextFlushIn(now time.Time) time.Duration {
	if !l.core.HasBatch() && !l.absent.unconfirmed && l.voterRecords == nil {
		return 0
	}
	return max(minBatchInterval-now.Sub(l.lastBatchAt), flushRetryDelay)
}
