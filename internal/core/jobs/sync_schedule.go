package jobs

import "time"

const (
	// maxProbes limits the concurrent syncs to workers that have not answered
	// this leader yet or did not answer their last sync: a new leader cannot
	// open connections to thousands of workers at once.
	maxProbes = 512
	// maxIdleCalls limits the concurrent syncs that wait for ends of idle
	// workers. With more workers than this, each idle one is synced less often.
	maxIdleCalls = 600
	// maxIdleInterval limits the time between two syncs with an idle worker.
	maxIdleInterval = 4 * time.Second
)

// idleInterval returns the time between two syncs with an idle worker. These
// syncs only show whether the worker still answers.
func (c *Core) idleInterval() time.Duration {
	n := len(c.workerList)
	if n <= maxIdleCalls {
		return 0
	}
	return min(c.cfg.SyncWait*time.Duration(n-maxIdleCalls)/maxIdleCalls, maxIdleInterval)
}

// idle reports whether nothing runs on the worker and no end waits to be
// acknowledged.
func (w *worker) idle() bool { return len(w.runs) == 0 && w.processedEnd == w.ackedEnd }

// idleAndResponsive reports whether the worker is idle and answered its last
// sync. The lease of such a worker need not be tracked.
func (w *worker) idleAndResponsive() bool { return w.idle() && w.missedSyncs == 0 }

// responsive reports whether the worker answered its last sync with this
// leader.
func (w *worker) responsive() bool { return w.answered && w.missedSyncs == 0 }

// silenceTimeout returns the time without an answer after which a worker gets
// no new tasks.
func (c *Core) silenceTimeout(w *worker) time.Duration {
	if w.idleAndResponsive() {
		return c.cfg.SilentAfter + c.idleInterval()
	}
	return c.cfg.SilentAfter
}

// countProbe and uncountProbe maintain Core.probesInFlight. Syncs with
// responsive workers are not counted.
func (c *Core) countProbe(w *worker) {
	if !w.responsive() {
		w.probing = true
		c.probesInFlight++
	}
}

func (c *Core) uncountProbe(w *worker) {
	if w.probing {
		w.probing = false
		c.probesInFlight--
	}
}

// scheduleSync makes the next sync with a worker due now. It queues nothing
// while a sync is in flight or the worker's address is not known.
func (c *Core) scheduleSync(now time.Time, w *worker) {
	w.nextSync = now
	if !w.syncing && !w.queued && w.Address != "" {
		w.queued = true
		c.dueSyncs = append(c.dueSyncs, w)
	}
}

// sendSyncs sends the syncs that are due. Those above maxProbes stay queued.
func (c *Core) sendSyncs(now time.Time) {
	queued := c.dueSyncs
	c.dueSyncs = nil
	for _, w := range queued {
		if !w.responsive() && c.probesInFlight >= maxProbes {
			c.dueSyncs = append(c.dueSyncs, w)
			continue
		}
		w.queued = false
		if w.syncing || c.workers[w.ID] != w {
			continue
		}
		c.countProbe(w)
		w.syncAddress = w.nextSyncAddress()
		req := SyncRequest{Worker: w.ID, Address: w.syncAddress}
		if w.responsive() {
			// A worker that did not answer may have restarted: its ends then have other
			// sequence numbers.
			req.AckCursor = w.ackedEnd
			// A worker that did not answer gets no extension; otherwise the
			// lease of a failed worker would never end.
			req.LeaseDeadlineMs, req.Incarnation = c.extendLease(now, w), w.incarnation
			if w.ackedEnd == w.processedEnd {
				req.Wait = c.cfg.SyncWait
			}
			if w.hasUnconfirmedRuns() || now.Before(w.isolation.until) {
				req.Wait = min(req.Wait, confirmationWait)
			}
		}
		w.syncing, w.syncWait = true, req.Wait
		c.out.Syncs = append(c.out.Syncs, req)
	}
}

// confirmationWait is how long a sync waits for an end while a run has to be
// confirmed as gone, for which no end may ever be listed, or while the worker is
// isolated and has to be heard soon.
const confirmationWait = 150 * time.Millisecond

// hasUnconfirmedRuns reports whether a run waits to be confirmed as gone.
func (w *worker) hasUnconfirmedRuns() bool {
	for _, r := range w.runs {
		if r.stop.wanted || r.state == runUnclear {
			return true
		}
	}
	return false
}
