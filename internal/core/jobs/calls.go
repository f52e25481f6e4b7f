package jobs

import "time"

const (
	// maxUnanswered bounds the calls under way to workers that have not answered
	// this leader yet, or not lately: a new leader cannot open connections to
	// thousands of workers at once.
	maxUnanswered = 512
	// idleCalls bounds the calls that wait for ends of idle workers. Beyond that
	// number of workers an idle one is called less often.
	idleCalls = 600
	// maxRest bounds the time between two calls to an idle worker.
	maxRest = 4 * time.Second
)

// rest returns the time between two calls to an idle worker. There is nothing to
// learn from it but whether it answers.
func (c *Core) rest() time.Duration {
	n := len(c.list)
	if n <= idleCalls {
		return 0
	}
	return min(c.cfg.SyncWait*time.Duration(n-idleCalls)/idleCalls, maxRest)
}

// idle reports whether nothing runs on the worker and no end waits.
func (w *worker) idle() bool { return len(w.runs) == 0 && w.processed == w.acked }

// resting reports whether an idle worker answered its last call, so that its
// lease matters to nobody.
func (w *worker) resting() bool { return w.idle() && w.misses == 0 }

// known reports whether the worker answered its last call of this leader.
func (w *worker) known() bool { return w.answered && w.misses == 0 }

// silenceLimit returns the time without an answer after which a worker gets no
// work.
func (c *Core) silenceLimit(w *worker) time.Duration {
	if w.resting() {
		return c.cfg.SilentAfter + c.rest()
	}
	return c.cfg.SilentAfter
}

// count and uncount keep Core.unanswered.
func (c *Core) count(w *worker) {
	if !w.known() {
		w.counted = true
		c.unanswered++
	}
}

func (c *Core) uncount(w *worker) {
	if w.counted {
		w.counted = false
		c.unanswered--
	}
}

// holdNow makes the next call to a worker due.
func (c *Core) holdNow(now time.Time, w *worker) {
	w.nextHold = now
	if !w.holding && !w.due && w.Address != "" {
		w.due = true
		c.dueHolds = append(c.dueHolds, w)
	}
}

// holds makes the calls to workers that are due.
func (c *Core) holds(now time.Time) {
	due := c.dueHolds
	c.dueHolds = nil
	for _, w := range due {
		if !w.known() && c.unanswered >= maxUnanswered {
			c.dueHolds = append(c.dueHolds, w)
			continue
		}
		w.due = false
		if w.holding || c.workers[w.ID] != w {
			continue
		}
		c.count(w)
		h := SyncRequest{Worker: w.ID, Address: w.Address, AckCursor: w.acked}
		if w.answered && w.misses == 0 {
			// Calls without an answer extend nothing, or the lease of a worker that
			// is gone would never end.
			h.LeaseDeadlineMs = c.deadline(now, w)
			if w.acked == w.processed {
				h.Wait = c.cfg.SyncWait
			}
			if w.stopping() {
				h.Wait = min(h.Wait, stoppingWait)
			}
		}
		w.holding = true
		c.out.Syncs = append(c.out.Syncs, h)
	}
}

// stoppingWait is how long a call waits for an end while a run has to be
// confirmed as gone, which no end may tell.
const stoppingWait = 150 * time.Millisecond

// stopping reports whether a run waits to be confirmed as gone.
func (w *worker) stopping() bool {
	for _, r := range w.runs {
		if r.stop.wanted || r.state == runUnclear {
			return true
		}
	}
	return false
}
