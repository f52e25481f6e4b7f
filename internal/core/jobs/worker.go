package jobs

import (
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

// Entry is a worker as its own entry in the instance list describes it.
type WorkerEntry struct {
	ID         model.WorkerID
	Address    string
	Service    string
	DataCentre model.DataCentre
	Labels     []string
	Capacity   model.Size
	Draining   bool
	// Remaining is how long a draining worker stays at least; 0 if not known.
	RemainingTime time.Duration
	// Life tells incarnations of the same ID apart.
	Incarnation int64
}

type recordState uint8

const (
	recordNone recordState = iota
	recordSent
	recordStored
	// rosterSilent: the record lists what may run on the worker. Nothing may be
	// started there before it is replaced.
	recordSilent
)

// worker is what the leader knows about a worker.
type worker struct {
	WorkerEntry
	listed bool
	// answered is set once the worker has answered this leader in this life.
	answered    bool
	incarnation int64
	// clock is the worker's own clock in ms, read at clockAt at the latest.
	clockMs     int64
	clockReadAt time.Time
	// maxDeadline is the largest lease deadline, on the worker's clock, that any
	// call to this life carried.
	maxDeadlineMs int64
	lastContact   time.Time
	// lateGrants is until when calls to an earlier life may still arrive.
	lateGrantsUntil time.Time

	syncing  bool
	nextSync time.Time
	// due is set while the worker waits in Core.dueHolds.
	queued      bool
	missedSyncs int
	// counted is set while a call to the worker counts among Core.unanswered.
	probing bool

	// processed and acked are positions in the worker's list of ends: what this
	// leader has seen, and what it may acknowledge.
	processedEnd  int64
	ackedEnd      int64
	ackAfterBatch uint64

	recordState recordState
	// rosterBatch is the batch with the latest record of the worker.
	recordBatch uint64
	// lapsed workers can run nothing any more until they answer again.
	leaseExpired bool
	runs         []*run
	// strangers counts runs of jobs that the leader does not know. Their size is
	// not known either.
	unknownRuns  int
	resources    resources
	backoffUntil time.Time
	// state was computed with the latest pool.
	state WorkerState
	// claims is the room kept for waiting gangs, most urgent first.
	reservations []reservation
	// slowness is the running mean of how long runs take in relation to those of
	// their queue; 0 when there is no sample.
	slowdown float64
	// moved is when a run last made progress or ended.
	lastProgress time.Time
	// stalled is until when the worker is set aside because nothing on it moved.
	stalledUntil time.Time
	// paced is when the pace of its fillers was last decided, strained until when
	// it takes no further ones.
	pacedAt, noFillersUntil time.Time
}

// State says why a worker takes no work, or that it does.
type WorkerState uint8

// Worker states.
const (
	WorkerUsable WorkerState = iota
	WorkerUnlisted
	WorkerDraining
	WorkerNotAnswered
	WorkerSilent
	WorkerNotStored
	WorkerQuarantined
	WorkerRefusing
	WorkerStalled
)

// String returns the state's name.
func (s WorkerState) String() string {
	return [...]string{"usable", "unlisted", "leaving", "not_answered", "silent", "not_stored", "set_aside", "refusing", "stalled"}[s]
}

// room is the ledger of one worker's capacity.
type resources struct {
	capacity model.Size
	used     model.Size
}

func (r *resources) free() model.Size { return r.capacity.Sub(r.used) }

func (r *resources) fits(s model.Size) bool {
	return r.used.MilliCPU+s.MilliCPU <= r.capacity.MilliCPU &&
		r.used.MemMB+s.MemMB <= r.capacity.MemMB && r.used.Accel+s.Accel <= r.capacity.Accel
}

// copies returns how many tasks of size s fit.
func (r *resources) copies(s model.Size) int {
	n := 1 << 20
	f := r.free()
	for _, d := range [][2]int64{{s.MilliCPU, f.MilliCPU}, {s.MemMB, f.MemMB}, {s.Accel, f.Accel}} {
		if d[1] < 0 {
			return 0
		}
		if d[0] > 0 {
			n = min(n, int(d[1]/d[0]))
		}
	}
	return n
}

type runState uint8

const (
	// runStarting: the start was sent and has no answer yet.
	runStarting runState = iota
	// runActive: the worker has it.
	runActive
	// runUnclear: the start got no answer; the worker may have it, now or later.
	runUnclear
)

// run is one start of a task on one worker.
type run struct {
	ref    TaskRef
	task   *task // nil for a run that no job wants
	number int64
	worker *worker
	size   model.Size
	state  runState
	sentAt time.Time
	// confirmed is when the worker was first known to have the run.
	confirmedAt time.Time
	// unclearSince is when the last call that could start it ended.
	unclearSince time.Time
	stop         stopState
	// percent is the progress that the worker listed at percentAt; it last changed
	// at movedAt.
	percent    int
	reportedAt time.Time
	progressAt time.Time
	// tail is the listed response time of a task that serves users.
	tailLatency time.Duration
	pace        paceState
	// sampled is set once the run's pace was observed.
	slowdownSampled bool
	// lastListed is the time of the call in which the worker last listed it.
	lastListedAt time.Time
	// gone is set once the worker certainly does not have the run.
	gone bool
}

// stopState is the progress of stopping a run.
type stopState struct {
	wanted   bool
	inFlight bool
	sentAt   time.Time
	// answered is when the worker confirmed the stop: from then on it never
	// starts this run.
	answeredAt time.Time
}

// workerClock estimates the worker's clock at now, in ms.
func (w *worker) estimatedClockMs(now time.Time) int64 {
	return w.clockMs + now.Sub(w.clockReadAt).Milliseconds()
}

// leaseEnd returns the latest time at which the worker's lease can end.
func (c *Core) leaseEnd(w *worker) time.Time {
	granted := w.maxDeadlineMs
	if w.lastContact.Before(w.lateGrantsUntil) {
		granted = max(granted, w.clockMs+c.cfg.MaxWorkerLease.Milliseconds())
	}
	left := float64(granted-w.clockMs) / (1 - c.cfg.ClockDrift)
	return w.clockReadAt.Add(time.Duration(max(left, 0)*float64(time.Millisecond)) + leaseMargin)
}

// deadline extends the worker's lease and returns its end on the worker's clock.
func (c *Core) extendLease(now time.Time, w *worker) int64 {
	d := w.estimatedClockMs(now) + c.cfg.LeaseDuration.Milliseconds()
	w.maxDeadlineMs = max(w.maxDeadlineMs, d)
	return d
}

// state tells whether the worker takes new tasks.
func (c *Core) workerState(now time.Time, w *worker) WorkerState {
	switch {
	case !w.listed:
		return WorkerUnlisted
	case w.Draining:
		return WorkerDraining
	case !w.answered || w.leaseExpired || w.WorkerEntry.Incarnation != w.incarnation || w.unknownRuns > 0:
		return WorkerNotAnswered
	case now.Sub(w.lastContact) > c.silenceTimeout(w):
		return WorkerSilent
	case w.recordState != recordStored:
		return WorkerNotStored
	case now.Before(w.backoffUntil):
		return WorkerRefusing
	case now.Before(w.stalledUntil):
		return WorkerStalled
	}
	return WorkerUsable
}

func (w *worker) hasLabel(label string) bool { return label == "" || slices.Contains(w.Labels, label) }

// find returns the worker's run of a task, or nil.
func (w *worker) findRun(ref TaskRef) *run {
	for _, r := range w.runs {
		if r.ref == ref {
			return r
		}
	}
	return nil
}

// allowance returns how many more tasks of a step the worker may have by the
// step's limit per worker. Runs that an earlier leader started count, and also
// those that are being stopped.
func (w *worker) remainingPerWorker(s *step) int {
	if s.def.MaxPerWorker == 0 {
		return len(s.tasks)
	}
	n := s.def.MaxPerWorker
	for _, r := range w.runs {
		if r.ref.Job == s.job().spec.ID && r.ref.Occurrence == s.occ.ordinal && r.ref.Step == s.index {
			n--
		}
	}
	return n
}

// reserve takes room for a run.
func (w *worker) addRun(r *run) {
	w.runs = append(w.runs, r)
	w.resources.used = w.resources.used.Add(r.size)
	if r.task == nil && r.size == (model.Size{}) {
		w.unknownRuns++
	}
}

// release gives the room of a run back.
func (w *worker) removeRun(r *run) {
	i := slices.Index(w.runs, r)
	if i < 0 {
		return
	}
	w.runs = slices.Delete(w.runs, i, i+1)
	r.gone = true
	w.resources.used = w.resources.used.Sub(r.size)
	if r.task == nil && r.size == (model.Size{}) {
		w.unknownRuns--
	}
}
