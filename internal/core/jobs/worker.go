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

type roster uint8

const (
	rosterNone roster = iota
	rosterSent
	rosterStored
	// rosterSilent: the record lists what may run on the worker. Nothing may be
	// started there before it is replaced.
	rosterSilent
)

// worker is what the leader knows about a worker.
type worker struct {
	WorkerEntry
	listed bool
	// answered is set once the worker has answered this leader in this life.
	answered bool
	life     int64
	// clock is the worker's own clock in ms, read at clockAt at the latest.
	clock   int64
	clockAt time.Time
	// maxDeadline is the largest lease deadline, on the worker's clock, that any
	// call to this life carried.
	maxDeadline int64
	contact     time.Time
	// lateGrants is until when calls to an earlier life may still arrive.
	lateGrants time.Time

	holding  bool
	nextHold time.Time
	// due is set while the worker waits in Core.dueHolds.
	due    bool
	misses int
	// counted is set while a call to the worker counts among Core.unanswered.
	counted bool

	// processed and acked are positions in the worker's list of ends: what this
	// leader has seen, and what it may acknowledge.
	processed int64
	acked     int64
	ackBatch  uint64

	roster roster
	// rosterBatch is the batch with the latest record of the worker.
	rosterBatch uint64
	// lapsed workers can run nothing any more until they answer again.
	lapsed bool
	runs   []*run
	// strangers counts runs of jobs that the leader does not know. Their size is
	// not known either.
	strangers int
	room      room
	notBefore time.Time
	// state was computed with the latest pool.
	state WorkerState
	// claims is the room kept for waiting gangs, most urgent first.
	claims []claim
	// slowness is the running mean of how long runs take in relation to those of
	// their queue; 0 when there is no sample.
	slowness float64
	// moved is when a run last made progress or ended.
	moved time.Time
	// stalled is until when the worker is set aside because nothing on it moved.
	stalled time.Time
	// paced is when the pace of its fillers was last decided, strained until when
	// it takes no further ones.
	paced, strained time.Time
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
type room struct {
	capacity model.Size
	used     model.Size
}

func (r *room) free() model.Size { return r.capacity.Sub(r.used) }

func (r *room) fits(s model.Size) bool {
	return r.used.MilliCPU+s.MilliCPU <= r.capacity.MilliCPU &&
		r.used.MemMB+s.MemMB <= r.capacity.MemMB && r.used.Accel+s.Accel <= r.capacity.Accel
}

// copies returns how many tasks of size s fit.
func (r *room) copies(s model.Size) int {
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
	sent   time.Time
	// confirmed is when the worker was first known to have the run.
	confirmed time.Time
	// unclearSince is when the last call that could start it ended.
	unclearSince time.Time
	stop         stopState
	// percent is the progress that the worker listed at percentAt; it last changed
	// at movedAt.
	percent   int
	percentAt time.Time
	movedAt   time.Time
	// tail is the listed response time of a task that serves users.
	tail time.Duration
	pace paceState
	// sampled is set once the run's pace was observed.
	sampled bool
	// lastListed is the time of the call in which the worker last listed it.
	lastListed time.Time
	// gone is set once the worker certainly does not have the run.
	gone bool
}

// stopState is the progress of stopping a run.
type stopState struct {
	wanted   bool
	inFlight bool
	sent     time.Time
	// answered is when the worker confirmed the stop: from then on it never
	// starts this run.
	answered time.Time
}

// workerClock estimates the worker's clock at now, in ms.
func (w *worker) workerClock(now time.Time) int64 {
	return w.clock + now.Sub(w.clockAt).Milliseconds()
}

// leaseEnd returns the latest time at which the worker's lease can end.
func (c *Core) leaseEnd(w *worker) time.Time {
	granted := w.maxDeadline
	if w.contact.Before(w.lateGrants) {
		granted = max(granted, w.clock+c.cfg.MaxWorkerLease.Milliseconds())
	}
	left := float64(granted-w.clock) / (1 - c.cfg.ClockDrift)
	return w.clockAt.Add(time.Duration(max(left, 0)*float64(time.Millisecond)) + leaseMargin)
}

// deadline extends the worker's lease and returns its end on the worker's clock.
func (c *Core) deadline(now time.Time, w *worker) int64 {
	d := w.workerClock(now) + c.cfg.LeaseDuration.Milliseconds()
	w.maxDeadline = max(w.maxDeadline, d)
	return d
}

// state tells whether the worker takes new tasks.
func (c *Core) workerState(now time.Time, w *worker) WorkerState {
	switch {
	case !w.listed:
		return WorkerUnlisted
	case w.Draining:
		return WorkerDraining
	case !w.answered || w.lapsed || w.WorkerEntry.Incarnation != w.life || w.strangers > 0:
		return WorkerNotAnswered
	case now.Sub(w.contact) > c.silenceLimit(w):
		return WorkerSilent
	case w.roster != rosterStored:
		return WorkerNotStored
	case now.Before(w.notBefore):
		return WorkerRefusing
	case now.Before(w.stalled):
		return WorkerStalled
	}
	return WorkerUsable
}

func (w *worker) hasLabel(label string) bool { return label == "" || slices.Contains(w.Labels, label) }

// find returns the worker's run of a task, or nil.
func (w *worker) find(ref TaskRef) *run {
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
func (w *worker) allowance(s *step) int {
	if s.def.MaxPerWorker == 0 {
		return len(s.tasks)
	}
	n := s.def.MaxPerWorker
	for _, r := range w.runs {
		if r.ref.Job == s.job().spec.ID && r.ref.Occurrence == s.occ.k && r.ref.Step == s.index {
			n--
		}
	}
	return n
}

// reserve takes room for a run.
func (w *worker) reserve(r *run) {
	w.runs = append(w.runs, r)
	w.room.used = w.room.used.Add(r.size)
	if r.task == nil && r.size == (model.Size{}) {
		w.strangers++
	}
}

// release gives the room of a run back.
func (w *worker) release(r *run) {
	i := slices.Index(w.runs, r)
	if i < 0 {
		return
	}
	w.runs = slices.Delete(w.runs, i, i+1)
	r.gone = true
	w.room.used = w.room.used.Sub(r.size)
	if r.task == nil && r.size == (model.Size{}) {
		w.strangers--
	}
}
