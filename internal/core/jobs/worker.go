package jobs

import (
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

// WorkerEntry describes a worker as its entry in the instance list does.
type WorkerEntry struct {
	ID         model.WorkerID
	Address    string
	Service    string
	DataCentre model.DataCentre
	Labels     []string
	Capacity   model.Size
	Draining   bool
	// RemainingTime is the minimum time for which a draining worker stays; 0 if
	// it is not known.
	RemainingTime time.Duration
	// Incarnation distinguishes successive processes with the same ID.
	Incarnation int64
}

type recordState uint8

const (
	recordNone recordState = iota
	// recordSent means that the record is in a batch that is not stored yet.
	recordSent
	recordStored
	// recordSilent means that the record lists the tasks that may run on the
	// worker. Nothing may be started there until that record is replaced.
	recordSilent
)

// worker is the leader's view of a worker.
type worker struct {
	WorkerEntry
	listed bool
	workerProcess
	lastContact time.Time
	// syncAddress is the address to which the last sync was sent.
	syncAddress string

	syncing bool
	// syncWait is how long the worker may delay its answer to the last sync.
	syncWait time.Duration
	nextSync time.Time
	// queued is set while the worker is in Core.dueSyncs.
	queued      bool
	missedSyncs int
	// failedAt is when the first of the missed syncs failed, and aliveUntil the latest time
	// at which the worker is known to have worked. refused is set if one of the syncs could
	// not be sent because no connection could be opened.
	failedAt, aliveUntil time.Time
	refused              bool
	// drainedIncarnation is the last incarnation that was listed as draining.
	drainedIncarnation int64
	// probing is set while a sync to the worker counts towards
	// Core.probesInFlight.
	probing bool

	recordState recordState
	// recordBatch is the batch with the latest record of the worker.
	recordBatch uint64
	// leaseExpired is set when the lease has certainly ended: the worker runs
	// nothing until it answers again.
	leaseExpired bool
	runs         []*run
	// unknownRuns counts runs of jobs that the leader does not know and whose
	// size is therefore not known either.
	unknownRuns int
	resources   resources
	// backoffUntil ends the time in which the worker gets no starts after one was
	// refused or could not be sent.
	backoffUntil time.Time
	// state is the worker's state when the pools were last recomputed.
	state WorkerState
	// reservations holds the capacity reserved for waiting gangs, most urgent
	// first.
	reservations []reservation
	// gangCalls counts the advice calls in flight for gangs that contain the worker.
	gangCalls int
	// slowdown is the running mean of the run time relative to the expected run
	// time; 0 when there is no sample.
	slowdown float64
	// lastProgress is when a run on the worker last made progress or ended.
	lastProgress time.Time
	// stalledUntil ends the time in which the worker gets no tasks because none of
	// its runs made progress.
	stalledUntil time.Time
	// pacedAt is when the pace of the worker's fillers was last decided. The
	// worker gets no more fillers before noFillersUntil.
	pacedAt, noFillersUntil time.Time
	isolation               isolation
}

// WorkerState says whether a worker accepts tasks, and why not.
type WorkerState uint8

// Worker states.
const (
	WorkerUsable WorkerState = iota
	// WorkerUnlisted means that the instance list does not name the worker.
	WorkerUnlisted
	WorkerDraining
	// WorkerNotAnswered means that not everything that runs on the worker is
	// known.
	WorkerNotAnswered
	// WorkerSilent means that the worker did not answer its last sync, or has not
	// answered for too long.
	WorkerSilent
	// WorkerNotStored means that the worker's record is not stored yet.
	WorkerNotStored
	// WorkerQuarantined means that too many runs failed on the worker.
	WorkerQuarantined
	// WorkerRefusing means that the worker recently refused a start, or that one
	// could not be sent.
	WorkerRefusing
	// WorkerStalled means that no run on the worker made progress.
	WorkerStalled
)

// String returns the state's name.
func (s WorkerState) String() string {
	return [...]string{"usable", "unlisted", "leaving", "not_answered", "silent", "not_stored", "set_aside", "refusing", "stalled"}[s]
}

// resources tracks the capacity of one worker and what its runs use.
type resources struct {
	capacity model.Size
	used     model.Size
}

func (r *resources) free() model.Size { return r.capacity.Sub(r.used) }

// fits reports whether a task of size s fits into the free capacity.
func (r *resources) fits(s model.Size) bool {
	return r.used.MilliCPU+s.MilliCPU <= r.capacity.MilliCPU &&
		r.used.MemMB+s.MemMB <= r.capacity.MemMB && r.used.Accel+s.Accel <= r.capacity.Accel
}

// copies returns how many tasks of size s fit into the free capacity.
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
	// runStarting means that the start was sent and has no answer yet.
	runStarting runState = iota
	// runActive means that the worker has the run.
	runActive
	// runUnclear means that the start got no definite answer: the worker may
	// have the run, or may get it later.
	runUnclear
)

// run is one attempt to run a task on one worker.
type run struct {
	ref    TaskRef
	task   *task // nil for a run that no task needs
	number int64
	worker *worker
	size   model.Size
	// account is that of the tenant to whose job the run belongs; nil if there is none.
	account *account
	// countedLasting is set while the run counts as lasting in account.
	countedLasting bool
	state          runState
	sentAt         time.Time
	// confirmedAt is when the worker was first known to have the run.
	confirmedAt time.Time
	// unclearSince is when the last call that could start the run ended.
	unclearSince time.Time
	stop         stopState
	// rejected is set if the worker refused the run because its number is not above all that it
	// has seen.
	rejected bool
	// percent is the progress that the worker reported at reportedAt; it last
	// changed at progressAt.
	percent    int
	reportedAt time.Time
	progressAt time.Time
	// tailLatency is the response time that the worker reported for a task with
	// a latency target.
	tailLatency time.Duration
	pace        paceState
	// slowdownSampled is set once the run has contributed a sample to the
	// worker's slowdown.
	slowdownSampled bool
	// lastListedAt is when the sync was sent in whose answer the worker last
	// listed the run.
	lastListedAt time.Time
	// adopted is set for a run that an earlier leader started.
	adopted bool
	// resumed is set for a run that continues from a checkpoint.
	resumed bool
	// gone is set once the worker certainly does not have the run.
	gone bool
}

// stopState is the progress of stopping a run.
type stopState struct {
	wanted   bool
	inFlight bool
	sentAt   time.Time
	// answeredAt is when the worker confirmed the stop. From then on it never
	// starts this run.
	answeredAt time.Time
}

// workerState returns whether the worker accepts new tasks, and why not.
// Quarantine after failed runs is not considered here.
func (c *Core) workerState(now time.Time, w *worker) WorkerState {
	switch {
	case !w.listed:
		return WorkerUnlisted
	case w.Draining:
		return WorkerDraining
	case !w.answered || w.leaseExpired || w.WorkerEntry.Incarnation != w.incarnation || w.unknownRuns > 0:
		return WorkerNotAnswered
	case w.missedSyncs > 0 || now.Sub(w.lastContact) > c.silenceTimeout(w):
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

// hasLabel reports whether the worker has a label; every worker has the empty
// one.
func (e *WorkerEntry) hasLabel(label string) bool {
	return label == "" || slices.Contains(e.Labels, label)
}

// findRun returns the worker's run of a task, or nil.
func (w *worker) findRun(ref TaskRef) *run {
	for _, r := range w.runs {
		if r.ref == ref {
			return r
		}
	}
	return nil
}

// remainingPerWorker returns how many more tasks of a step the worker may have
// under the step's limit per worker. Runs of an earlier leader and runs that
// are being stopped count.
func (w *worker) remainingPerWorker(s *step) int {
	n := maxPerWorker(s.def)
	if s.def.MaxPerWorker == 0 {
		return n
	}
	for _, r := range w.runs {
		if r.ref.Job == s.job().spec.ID && r.ref.Occurrence == s.occ.ordinal && r.ref.Step == s.index {
			n--
		}
	}
	return n
}

// addRun adds a run to the worker and counts its size as used.
func (w *worker) addRun(r *run) {
	w.runs = append(w.runs, r)
	w.resources.used = w.resources.used.Add(r.size)
	r.account.addUse(r)
	if r.task == nil && r.size == (model.Size{}) {
		w.unknownRuns++
	}
}

// removeRun removes a run from the worker and frees its capacity.
func (w *worker) removeRun(r *run) {
	i := slices.Index(w.runs, r)
	if i < 0 {
		return
	}
	w.runs = slices.Delete(w.runs, i, i+1)
	r.gone = true
	w.resources.used = w.resources.used.Sub(r.size)
	r.account.removeUse(r)
	if r.task == nil && r.size == (model.Size{}) {
		w.unknownRuns--
	}
}
