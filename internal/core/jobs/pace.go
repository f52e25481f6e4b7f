package jobs

import (
	"fmt"
	"time"

	"catkinvalve/internal/core/model"
)

// Tasks on one worker share more than its capacity shows: fillers, which take the
// processors that others leave unused, slow down the tasks that serve users. A
// filler is slowed as far as the serving tasks beside it keep their targets.
const (
	// paceInterval is the time between two decisions on a worker's fillers; the
	// figures that a worker lists cover as much.
	paceInterval = 500 * time.Millisecond
	// figureAge is how old such a figure may be.
	maxReportAge = 1500 * time.Millisecond
	// paceRetry is when an order without effect is sent again.
	paceRetryInterval = 400 * time.Millisecond
	// tailHigh is the share of its target from which a serving task's response time
	// slows the fillers, tailLow the share up to which they are let go faster.
	highLatencyRatio = 0.85
	lowLatencyRatio  = 0.6
	// slowBy and quickenBy are changes of a filler's pace in percent.
	paceDecrease = 50
	paceIncrease = 25
	fullPace     = 100
	// paceUnknown is the pace of a run that an earlier leader started.
	paceUnknown = -1
	// strainTime is how long a worker on which a serving task was near its target
	// takes no further fillers.
	fillerBackoff = 5 * time.Second
	// parkedLimit is how long a filler may stand still before it is stopped, to go
	// on from its checkpoint elsewhere.
	maxPause = 3 * time.Second
)

// PaceOrder lets a run work, and disturb others, at a part of its speed.
type PaceRequest struct {
	Worker  model.WorkerID
	Address string
	Task    TaskRef
	Run     int64
	Percent int
}

// PaceResult is a worker's answer to a PaceOrder.
type PaceResult struct {
	Worker  model.WorkerID
	Task    TaskRef
	Run     int64
	Percent int
	Status  CallStatus
}

// paceState is the pace of a run.
type paceState struct {
	// now is the pace that the worker confirmed, wanted the one that it should have.
	applied, wanted int
	inFlight        bool
	sentAt          time.Time
	// parked is since when the run stands still.
	pausedSince time.Time
}

// fills and serves tell what a run does beside others.
func (r *run) isFiller() bool  { return r.task != nil && r.task.step.def.Filler }
func (r *run) isServing() bool { return r.task != nil && r.task.step.def.TailLatencyTarget > 0 }

// serving reports whether a task that serves users runs on the worker.
func (w *worker) hasServingTask() bool {
	for _, r := range w.runs {
		if r.isServing() {
			return true
		}
	}
	return false
}

// strain returns the worst response time on a worker in relation to its target,
// and whether any is known.
func (w *worker) worstLatencyRatio(now time.Time) (float64, bool) {
	worst, known := 0.0, false
	for _, r := range w.runs {
		if r.isServing() && r.state == runActive && now.Sub(r.reportedAt) < maxReportAge {
			worst, known = max(worst, float64(r.tailLatency)/float64(r.task.step.def.TailLatencyTarget)), true
		}
	}
	return worst, known
}

// shares reports whether a step's tasks fill, or serve users.
func (s *Step) needsPacing() bool { return s.Filler || s.TailLatencyTarget > 0 }

// noteSharing records that fillers or serving tasks have to be looked after.
func (c *Core) notePacingNeeded(j *job) {
	for i := range j.spec.Steps {
		c.pacingNeeded = c.pacingNeeded || j.spec.Steps[i].needsPacing()
	}
}

// checkSharing sets the pace of a worker's fillers.
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

// nextPace returns the pace of a filler beside serving tasks, of which the worst
// has a response time of strain times its target.
func nextPace(pace int, serving bool, latencyRatio float64) int {
	switch {
	case !serving:
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

// setPace changes the pace that a filler should have, for the strain of the
// serving tasks beside it.
func (c *Core) setPace(now time.Time, r *run, pace int, latencyRatio float64) {
	if pace == r.pace.wanted {
		return
	}
	c.runEvent(EventRunPaced, r, now.Sub(r.sentAt), fmt.Sprintf("%d%% to %d%%, the worst response time beside it is %.2f of its target", r.pace.wanted, pace, latencyRatio))
	r.pace.wanted = pace
	r.pace.pausedSince = time.Time{}
	if pace == 0 {
		r.pace.pausedSince = now
	}
	c.enforcePace(now, r)
}

// keepPace orders the pace that a filler should have, and gives up one that stands
// still while another worker has room for it.
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
	c.out.Paces = append(c.out.Paces, PaceRequest{Worker: r.worker.ID, Address: r.worker.Address, Task: r.ref, Run: r.number, Percent: p.wanted})
}

// quietRoom reports whether a worker without serving tasks has room for a filler.
// A step that lasts and tells how many of its tasks may be away is left alone.
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

// PaceAnswered takes the result of a PaceOrder.
func (c *Core) HandlePaceResult(a *PaceResult) {
	r := c.findAnsweredRun(a.Worker, a.Task, a.Run, a.Status)
	if r == nil {
		return
	}
	r.pace.inFlight = false
	if a.Status == CallOK {
		r.pace.applied = a.Percent
	}
}

const (
	// besideServing keeps fillers off workers with serving tasks while others have
	// room.
	besideServingPenalty = 1.5
	// besideFillers keeps serving tasks off workers with fillers.
	besideFillerPenalty = 0.5
)

// sharingScore is the part of a worker's score that keeps serving tasks and
// fillers apart, and serving tasks away from each other.
func interferencePenalty(s *step, w *worker) float64 {
	if !s.def.needsPacing() {
		return 0
	}
	sc := 0.0
	for _, r := range w.runs {
		switch {
		case s.def.Filler && r.isServing():
			return besideServingPenalty
		case s.def.TailLatencyTarget > 0 && r.isFiller():
			sc += besideFillerPenalty
		}
	}
	if s.def.TailLatencyTarget > 0 {
		// Full workers come first for other work; this outweighs that.
		sc += 2 * w.resources.used.DominantShare(w.resources.capacity)
	}
	return sc
}
