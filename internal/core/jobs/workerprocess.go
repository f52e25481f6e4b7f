package jobs

import "time"

// workerProcess is what the leader knows of one process of a worker. It is replaced as a whole when
// another process answers, or when this one is known to have ended: nothing in it holds for another
// process with the same ID.
type workerProcess struct {
	// confirmedAddress is the address at which the process last answered this leader or, before
	// that, an earlier one; empty if it is not known to have answered. The worker's entry may
	// name another one: that of a later process, or one that another writer made up.
	confirmedAddress string
	// answered is set once the process has answered this leader.
	answered    bool
	incarnation int64
	// incarnationSince is when the process was first known to answer this leader.
	incarnationSince time.Time
	// clockMs is a reading of the process's own clock in ms, taken at clockReadAt or
	// earlier.
	clockMs     int64
	clockReadAt time.Time
	// maxDeadlineMs is the latest lease deadline, on that clock in ms, of any call to the
	// process.
	maxDeadlineMs int64
	// lateGrantsUntil is the latest time at which a delayed call to an earlier process may
	// extend the lease.
	lateGrantsUntil time.Time
	// processedEnd and ackedEnd are positions in the list of ends: what this leader has
	// processed, and what it may acknowledge. The acknowledgement waits for batch
	// ackAfterBatch, which is in flight or has content.
	processedEnd  int64
	ackedEnd      int64
	ackAfterBatch uint64
	// moreEnds is set while the process may have more ends than it listed last.
	moreEnds bool
	// listedAt is when the last sync was sent whose answer listed all running runs.
	listedAt time.Time
	quality  workerQuality
}

// newWorkerProcess returns the process that answered at an address at the time received. An earlier
// leader is assumed to have granted the same lease as this one would.
func (c *Core) newWorkerProcess(received time.Time, address string, res *SyncResult) workerProcess {
	return workerProcess{confirmedAddress: address, answered: true, incarnation: res.Incarnation, incarnationSince: received,
		clockMs: res.ClockMs, clockReadAt: received, maxDeadlineMs: res.ClockMs + c.cfg.LeaseDuration.Milliseconds()}
}

// estimatedClockMs estimates the worker's clock at now, in ms.
func (w *worker) estimatedClockMs(now time.Time) int64 {
	return w.clockMs + now.Sub(w.clockReadAt).Milliseconds()
}

// leaseEnd returns the latest time at which the worker's lease can end,
// allowing for a slow worker clock.
func (c *Core) leaseEnd(w *worker) time.Time {
	deadlineMs := w.maxDeadlineMs
	if w.lastContact.Before(w.lateGrantsUntil) {
		deadlineMs = max(deadlineMs, w.clockMs+c.cfg.MaxWorkerLease.Milliseconds())
	}
	remainingMs := float64(deadlineMs-w.clockMs) / (1 - c.cfg.ClockDrift)
	return w.clockReadAt.Add(time.Duration(max(remainingMs, 0)*float64(time.Millisecond)) + leaseMargin)
}

// extendLease records that a call sent at now extends the worker's lease, and
// returns the new end of the lease on the worker's clock in ms.
func (c *Core) extendLease(now time.Time, w *worker) int64 {
	deadlineMs := w.estimatedClockMs(now) + c.cfg.LeaseDuration.Milliseconds()
	w.maxDeadlineMs = max(w.maxDeadlineMs, deadlineMs)
	return deadlineMs
}

// address returns the address of the process that the leader knows.
func (w *worker) address() string {
	if w.confirmedAddress != "" {
		return w.confirmedAddress
	}
	return w.Address
}

// nextSyncAddress returns the address for the next sync. If the entry names another address than
// the confirmed one, the two take turns while the worker does not answer.
func (w *worker) nextSyncAddress() string {
	if w.answered == (w.missedSyncs%2 == 0) {
		return w.address()
	}
	return w.Address
}
