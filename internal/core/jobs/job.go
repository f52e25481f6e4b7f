package jobs

import (
	"maps"
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

// job is a submitted job.
type job struct {
	spec  *Spec
	queue *Queue
	// token is the fencing token of the leader that accepted the job.
	token      uint64
	acceptedAt time.Time
	// account is that of the job's tenant; nil if it has none.
	account *account
	// excess is set if the job exceeded the rate of its tenant when it was accepted.
	excess bool
	// calls lists the client calls that wait for the accepted record to be
	// stored.
	calls []CallID
	// stored is set once the accepted record is durable.
	stored bool
	// restored marks a job that an earlier leader accepted. That leader may
	// have started its tasks on workers that have not answered this one yet.
	restored bool
	outcome  Outcome
	// endReason is why the job failed, if not by failed runs.
	endReason model.Reason
	// outcomeStored is set once the outcome is durable and may be reported.
	outcomeStored bool
	endedAt       time.Time
	// started is set once any task of the job was seen to start.
	started bool
	// dirty is set while the job has progress that is in no batch yet.
	dirty bool
	// progressBatch is the sequence number of the batch with the latest
	// progress.
	progressBatch uint64
	numbers       runNumbers
	occurrences   map[int32]*occurrence
	// finished holds the ordinals of the occurrences whose steps have all
	// ended.
	finished map[int32]bool
	// createdOccurrences is the number of occurrences created so far.
	createdOccurrences int
	// specBytes and occurrenceBytes are the estimated memory of the spec and of each occurrence,
	// and heldBytes is what the job counts for at present.
	specBytes, occurrenceBytes, heldBytes int64
}

// occurrence is one execution of the steps of a job.
type occurrence struct {
	job     *job
	ordinal int32
	// due is in wall-clock time; zero means immediately.
	due   time.Time
	steps []*step
	// unfinished counts the steps that have unfinished tasks.
	unfinished int
	// early is set while the occurrence is not due by this leader's clock. An earlier leader,
	// by whose clock it was, has started tasks of it.
	early bool
}

// step is one step of an occurrence.
type step struct {
	occ   *occurrence
	index int32
	def   *Step
	tasks []task
	// unfinished counts the tasks that have not succeeded.
	unfinished int
	// pending counts the tasks that wait to be started.
	pending int
	// unfinishedDeps counts the steps that this one depends on and that have
	// not ended.
	unfinishedDeps int
	// queued is set while the step is in Core.ready.
	queued bool
	// seq breaks ties between steps of equal urgency.
	seq uint64
	// startBy is the latest time at which the step should start.
	startBy time.Time
	// late is set when the step is expected to miss its objective.
	late bool
	// starving is set when the step has had no run for long in a pool with much free
	// capacity.
	starving bool
	// gang holds the state that the tasks of a gang share.
	gang   gang
	advice stepAdvice
	// backoffUntil ends the time in which the step is not placed after a failed
	// request for advice.
	backoffUntil time.Time
	// plannedStart is when a waiting gang is expected to find capacity; zero if
	// that is not known.
	plannedStart time.Time
	// lastFailureAt is when a run of the step last failed.
	lastFailureAt time.Time
	// fit says whether a waiting gang can start. It is zero for any other step.
	fit fitState
	// admitted is set while a gang may look for capacity.
	admitted bool
	// held lists the capacity that a gang keeps while its tickets are renewed.
	held []heldCopies
	// heldUntil is when the gang is expected to start on the held capacity.
	heldUntil time.Time
	wait      waitState
	predicted runTimeCache
}

// gang is the state that the tasks of a gang step share.
type gang struct {
	// runCount counts the runs that this leader numbered.
	runCount int64
	// failed lists the numbers of the failed runs.
	failed []int64
	// checkpoint is the latest checkpoint from which the members can resume.
	checkpoint string
	// currentRun is the run number of the members that are starting or running;
	// 0 when there are none.
	currentRun int64
	// aborting is set while the remaining members are being stopped before the
	// next attempt.
	aborting bool
}

type taskState uint8

const (
	taskPending taskState = iota
	taskActive
	taskDone
)

// task is one task of a step.
type task struct {
	step  *step
	index int32
	state taskState
	// run is the current run; nil when there is none.
	run *run
	// history is nil until there is something to record: a job may have very many tasks of
	// which few have started.
	history *taskHistory
}

func (t *task) ref() TaskRef {
	s := t.step
	return TaskRef{Job: s.occ.job.spec.ID, Occurrence: s.occ.ordinal, Step: s.index, Index: t.index}
}

func (s *step) ref() StepRef {
	return StepRef{Job: s.occ.job.spec.ID, Occurrence: s.occ.ordinal, Step: s.index}
}

func (s *step) job() *job { return s.occ.job }

// canStart reports whether the step may still start tasks.
func (s *step) canStart() bool { return s.job().outcome == OutcomeUnfinished && s.unfinished > 0 }

func newJob(spec *Spec, q *Queue, token uint64, acceptedAt time.Time) *job {
	return &job{spec: spec, queue: q, token: token, acceptedAt: acceptedAt,
		occurrences: map[int32]*occurrence{}, finished: map[int32]bool{}, specBytes: spec.Bytes(), occurrenceBytes: spec.occurrenceBytes()}
}

// sortedOccurrences returns the unfinished occurrences in order.
func (j *job) sortedOccurrences() []*occurrence {
	if len(j.occurrences) == 1 {
		for _, o := range j.occurrences {
			return []*occurrence{o}
		}
	}
	out := make([]*occurrence, 0, len(j.occurrences))
	for _, ordinal := range slices.Sorted(maps.Keys(j.occurrences)) {
		out = append(out, j.occurrences[ordinal])
	}
	return out
}

// newOccurrence creates an occurrence with all tasks pending.
func (j *job) newOccurrence(ordinal int32, due time.Time) *occurrence {
	o := &occurrence{job: j, ordinal: ordinal, due: due, unfinished: len(j.spec.Steps)}
	for i := range j.spec.Steps {
		def := &j.spec.Steps[i]
		s := &step{occ: o, index: int32(i), def: def, unfinished: def.Count, pending: def.Count,
			unfinishedDeps: len(def.After), tasks: make([]task, def.Count)}
		for t := range s.tasks {
			s.tasks[t] = task{step: s, index: int32(t)}
		}
		o.steps = append(o.steps, s)
	}
	j.occurrences[ordinal] = o
	return o
}

// chains returns, for each step, the expected duration of the longest chain of dependent steps
// that begins with it; duration returns that of one step. The time is linear in the number of
// steps and dependencies, since a step depends only on earlier ones.
func (o *occurrence) chains(duration func(*step) time.Duration) []time.Duration {
	out := make([]time.Duration, len(o.steps))
	for i, s := range slices.Backward(o.steps) {
		out[i] += duration(s)
		for _, dep := range s.def.After {
			out[dep] = max(out[dep], out[i])
		}
	}
	return out
}

// reportedTask returns the task that a worker reports, or nil. If its occurrence is not due yet by
// this leader's clock, it was by that of an earlier leader, and is created.
func (c *Core) reportedTask(ref TaskRef) *task {
	if j := c.jobs[ref.Job]; j != nil && j.outcome == OutcomeUnfinished && j.isAhead(ref.Occurrence) {
		j.newOccurrence(ref.Occurrence, j.due(ref.Occurrence)).early = true
		c.updateMemory(j)
	}
	return c.task(ref)
}

// isAhead reports whether the job has an occurrence that is neither created nor finished.
func (j *job) isAhead(ordinal int32) bool {
	return int(ordinal) >= j.createdOccurrences && int(ordinal) < j.spec.OccurrenceCount() &&
		j.occurrences[ordinal] == nil && !j.finished[ordinal]
}

// task returns the task that ref identifies, or nil.
func (c *Core) task(ref TaskRef) *task {
	j := c.jobs[ref.Job]
	if j == nil {
		return nil
	}
	o := j.occurrences[ref.Occurrence]
	if o == nil || int(ref.Step) >= len(o.steps) || ref.Step < 0 {
		return nil
	}
	s := o.steps[ref.Step]
	if ref.Index < 0 || int(ref.Index) >= len(s.tasks) {
		return nil
	}
	return &s.tasks[ref.Index]
}
