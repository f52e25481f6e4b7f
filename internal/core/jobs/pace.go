package jobs

import (
	"fmt"
	"time"

	"catkinvalve/internal/core/model"
)

// Tasks on one worker interfere beyond what its capacity accounts for: fillers,
// which use the CPU time that other tasks leave idle, slow down tasks with a
// latency target (serving tasks). The pace of a filler is therefore reduced as
// far as the serving tasks on its worker need to meet their targets.
const (
	// paceInterval is the time between two decisions on a worker's fillers; the
	// latencies that a worker reports cover the same time.
	paceInterval = 500 * time.Millisecond
	// maxReportAge is the age up to which a reported latency is used.
	maxReportAge = 1500 * time.Millisecond
	// paceRetryInterval is the time after which a pace request without effect
	// is sent again.
	paceRetryInterval = 400 * time.Millisecond
	// A serving task's latency slows the fillers down from the fraction
	// highLatencyRatio of its target, and lets them speed up below
	// lowLatencyRatio.
	highLatencyRatio = 0.85
	lowLatencyRatio  = 0.6
	// paceDecrease and paceIncrease are the steps, in percentage points, by
	// which a filler's pace changes.
	paceDecrease = 50
	paceIncrease = 25
	fullPace     = 100
	// paceUnknown is the pace of a run that an earlier leader started.
	paceUnknown = -1
	// fillerBackoff is how long a worker gets no further fillers after the
	// latency of a serving task was high.
	fillerBackoff = 5 * time.Second
	// maxPause is how long a filler may be paused before it is stopped, to
	// continue from its checkpoint on another worker.
	maxPause = 3 * time.Second
)

// PaceRequest limits the speed of a run to Percent of its full speed, so that
// it disturbs other tasks less.
type PaceRequest struct {
	Worker  model.WorkerID
	Address string
	// Incarnation is the incarnation of the worker that may receive the request.
	Incarnation int64
	Task        TaskRef
	Run         int64
	Percent     int
}

// PaceResult is a worker's answer to a PaceRequest.
type PaceResult struct {
	Worker  model.WorkerID
	Task    TaskRef
	Run     int64
	Percent int
	Status  CallStatus
}

// paceState is the pace of a run.
type paceState struct {
	// applied is the pace that the worker confirmed, wanted the one that the
	// run should have, both in percent of full speed.
	applied, wanted int
	inFlight        bool
	sentAt          time.Time
	// pausedSince is when the wanted pace became 0; zero while it is higher.
	pausedSince time.Time
}

// isFiller and isServing report whether the run's task is a filler, or has a
// latency target.
func (r *run) isFiller() bool  { return r.task != nil && r.task.step.def.Filler }
func (r *run) isServing() bool { return r.task != nil && r.task.step.def.TailLatencyTarget > 0 }

// hasServingTask reports whether a serving task runs on the worker.
func (w *worker) hasServingTask() bool {
	for _, r := range w.runs {
		if r.isServing() {
			return true
		}
	}
	return false
}

// worstLatencyRatio returns the highest ratio of reported latency to target of
// the serving tasks on a worker, and false if no recent latency is known.
func (w *worker) worstLatencyRatio(now time.Time) (float64, bool) {
	worst, known := 0.0, false
	for _, r := range w.runs {
		if r.isServing() && r.state == runActive && now.Sub(r.reportedAt) < maxReportAge {
			worst, known = max(worst, float64(r.tailLatency)/float64(r.task.step.def.TailLatencyTarget)), true
		}
	}
	return worst, known
}

// needsPacing reports whether the step's tasks are fillers or serving tasks.
func (s *Step) needsPacing() bool { return s.Filler || s.TailLatencyTarget > 0 }

// notePacingNeeded sets pacingNeeded if the job has fillers or serving tasks.
func (c *Core) notePacingNeeded(j *job) {
	for i := range j.spec.Steps {
		c.pacingNeeded = c.pacingNeeded || j.spec.Steps[i].needsPacing()
	}
}

// updatePaces sets the pace of a worker's fillers.
func (c *Core) updatePaces(now time.Time, w *worker) {
	if !c.pacingNeeded {
		return
	}
	fillers := 0
	for _, r := range w.runs {
		if r.isFiller() {
			fillers++
			c.enforcePace(now, r)
		}
	}
	worst, known := w.worstLatencyRatio(now)
	if known && worst > highLatencyRatio {
		w.noFillersUntil = now.Add(fillerBackoff)
	}
	if fillers == 0 || now.Sub(w.pacedAt) < paceInterval {
		return
	}
	hasServingTask := w.hasServingTask()
	if hasServingTask && !known {
		return
	}
	w.pacedAt = now
	for _, r := range w.runs {
		if r.isFiller() {
			c.setPace(now, r, nextPace(r.pace.wanted, hasServingTask, worst), worst)
		}
	}
}

// nextPace returns the next pace of a filler in percent of full speed.
// hasServingTask tells whether a serving task runs on its worker; latencyRatio
// is the highest ratio of such a task's latency to its target.
func nextPace(pace int, hasServingTask bool, latencyRatio float64) int {
	switch {
	case !hasServingTask:
		return fullPace
	case latencyRatio > 1:
		return 0
	case latencyRatio > highLatencyRatio:
		return max(pace-paceDecrease, 0)
	case latencyRatio < lowLatencyRatio:
		return min(pace+paceIncrease, fullPace)
	}
	return pace
}

// setPace changes the pace that a filler should have; latencyRatio is logged as
// the cause.
func (c *Core) setPace(now time.Time, r *run, pace int, latencyRatio float64) {
	if pace == r.pace.wanted {
		return
	}
	c.runEvent(EventRunPaced, r, now.Sub(r.sentAt), fmt.Sprintf("pace changed from %d%% to %d%%: the worst tail latency on the worker is %.2f of its target", r.pace.wanted, pace, latencyRatio))
	r.pace.wanted = pace
	r.pace.pausedSince = time.Time{}
	if pace == 0 {
		r.pace.pausedSince = now
	}
	c.enforcePace(now, r)
}

// enforcePace sends a filler's wanted pace until the worker confirms it, and
// stops a filler that was paused for too long if another worker can run it.
func (c *Core) enforcePace(now time.Time, r *run) {
	p := &r.pace
	if !p.pausedSince.IsZero() && now.Sub(p.pausedSince) > maxPause && !r.stop.wanted && c.movable(now, r) {
		c.requestStop(now, r)
		return
	}
	if p.applied == p.wanted || p.inFlight || r.state != runActive || now.Sub(p.sentAt) < paceRetryInterval && p.sentAt.After(r.confirmedAt) {
		return
	}
	p.inFlight, p.sentAt = true, now
	c.out.Paces = append(c.out.Paces, PaceRequest{Worker: r.worker.ID, Address: r.worker.address(), Incarnation: r.worker.incarnation, Task: r.ref, Run: r.number, Percent: p.wanted})
}

// movable reports whether a worker without serving tasks has capacity for a
// filler. A filler of a step with MaxUnavailable is never moved.
func (c *Core) movable(now time.Time, r *run) bool {
	s := r.task.step
	if s.def.MaxUnavailable > 0 {
		return false
	}
	for _, w := range c.pool(s).workers {
		if w != r.worker && !w.hasServingTask() && c.eligible(now, s, w) && c.availableCopies(now, s, w) > 0 {
			return true
		}
	}
	return false
}

// HandlePaceResult processes the result of a PaceRequest.
func (c *Core) HandlePaceResult(res *PaceResult) {
	r := c.findAnsweredRun(res.Worker, res.Task, res.Run, res.Status)
	if r == nil {
		return
	}
	r.pace.inFlight = false
	if res.Status == CallOK {
		r.pace.applied = res.Percent
	}
}

const (
	// besideServingPenalty keeps fillers off workers with serving tasks as long
	// as others have capacity.
	besideServingPenalty = 1.5
	// besideFillerPenalty keeps serving tasks off workers with fillers.
	besideFillerPenalty = 0.5
)

// interferencePenalty is the part of a worker's score that keeps serving tasks
// and fillers apart, and spreads serving tasks over workers.
func interferencePenalty(s *step, w *worker) float64 {
	if !s.def.needsPacing() {
		return 0
	}
	penalty := 0.0
	for _, r := range w.runs {
		switch {
		case s.def.Filler && r.isServing():
			return besideServingPenalty
		case s.def.TailLatencyTarget > 0 && r.isFiller():
			penalty += besideFillerPenalty
		}
	}
	if s.def.TailLatencyTarget > 0 {
		// Other tasks prefer full workers; this term outweighs that preference.
		penalty += 2 * w.resources.used.DominantShare(w.resources.capacity)
	}
	return penalty
}
