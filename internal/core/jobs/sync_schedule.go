package jobs

import "time"

const (
	// maxUnanswered bounds the calls under way to workers that have not answered
	// this leader yet, or not lately: a new leader cannot open connections to
	// thousands of workers at once.
	maxProbes = 512
	// idleCalls bounds the calls that wait for ends of idle workers. Beyond that
	// number of workers an idle one is called less often.
	maxIdleCalls = 600
	// maxRest bounds the time between two calls to an idle worker.
	maxIdleInterval = 4 * time.Second
)

// rest returns the time between two calls to an idle worker. There is nothing to
// learn from it but whether it answers.
func (c *Core) idleInterval() time.Duration {
	n := len(c.workerList)
	if n <= maxIdleCalls {
		return 0
	}
	return min(c.cfg.SyncWait*time.Duration(n-maxIdleCalls)/maxIdleCalls, maxIdleInterval)
}

// idle reports whether nothing runs on the worker and no end waits.
func (w *worker) idle() bool { return len(w.runs) == 0 && w.processedEnd == w.ackedEnd }

// resting reports whether an idle worker answered its last call, so that its
// lease matters to nobody.
func (w *worker) idleAndResponsive() bool { return w.idle() && w.missedSyncs == 0 }

// known reports whether the worker answered its last call of this leader.
func (w *worker) responsive() bool { return w.answered && w.missedSyncs == 0 }

// silenceLimit returns the time without an answer after which a worker gets no
// work.
func (c *Core) silenceTimeout(w *worker) time.Duration {
	if w.idleAndResponsive() {
		return c.cfg.SilentAfter + c.idleInterval()
	}
	return c.cfg.SilentAfter
}

// count and uncount keep Core.unanswered.
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

// holdNow makes the next call to a worker due.
func (c *Core) scheduleSync(now time.Time, w *worker) {
	w.nextSync = now
	if !w.syncing && !w.queued && w.Address != "" {
		w.queued = true
		c.dueSyncs = append(c.dueSyncs, w)
	}
}

// holds makes the calls to workers that are due.
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
		req := SyncRequest{Worker: w.ID, Address: w.Address, AckCursor: w.ackedEnd}
		if w.answered && w.missedSyncs == 0 {
			// Calls without an answer extend nothing, or the lease of a worker that
			// is gone would never end.
			req.LeaseDeadlineMs = c.extendLease(now, w)
			if w.ackedEnd == w.processedEnd {
				req.Wait = c.cfg.SyncWait
			}
			if w.hasUnconfirmedRuns() {
				req.Wait = min(req.Wait, confirmationWait)
			}
		}
		w.syncing = true
		c.out.Syncs = append(c.out.Syncs, req)
	}
}

// stoppingWait is how long a call waits for an end while a run has to be
// confirmed as gone, which no end may tell.
const confirmationWait = 150 * time.Millisecond

// stopping reports whether a run waits to be confirmed as gone.
func (w *worker) hasUnconfirmedRuns() bool {
	for _, r := range w.runs {
		if r.stop.wanted || r.state == runUnclear {
			return true
		}
	}
	return false
}
