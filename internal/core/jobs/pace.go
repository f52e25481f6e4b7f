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
	figureAge = 1500 * time.Millisecond
	// paceRetry is when an order without effect is sent again.
	paceRetry = 400 * time.Millisecond
	// tailHigh is the share of its target from which a serving task's response time
	// slows the fillers, tailLow the share up to which they are let go faster.
	tailHigh = 0.85
	tailLow  = 0.6
	// slowBy and quickenBy are changes of a filler's pace in percent.
	slowBy    = 50
	quickenBy = 25
	fullPace  = 100
	// paceUnknown is the pace of a run that an earlier leader started.
	paceUnknown = -1
	// strainTime is how long a worker on which a serving task was near its target
	// takes no further fillers.
	strainTime = 5 * time.Second
	// parkedLimit is how long a filler may stand still before it is stopped, to go
	// on from its checkpoint elsewhere.
	parkedLimit = 3 * time.Second
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
	now, wanted int
	inFlight    bool
	sent        time.Time
	// parked is since when the run stands still.
	parked time.Time
}

// fills and serves tell what a run does beside others.
func (r *run) fills() bool  { return r.task != nil && r.task.step.def.Filler }
func (r *run) serves() bool { return r.task != nil && r.task.step.def.TailLatencyTarget > 0 }

// serving reports whether a task that serves users runs on the worker.
func (w *worker) serving() bool {
	for _, r := range w.runs {
		if r.serves() {
			return true
		}
	}
	return false
}

// strain returns the worst response time on a worker in relation to its target,
// and whether any is known.
func (w *worker) strain(now time.Time) (float64, bool) {
	worst, known := 0.0, false
	for _, r := range w.runs {
		if r.serves() && r.state == runActive && now.Sub(r.percentAt) < figureAge {
			worst, known = max(worst, float64(r.tail)/float64(r.task.step.def.TailLatencyTarget)), true
		}
	}
	return worst, known
}

// shares reports whether a step's tasks fill, or serve users.
func (s *Step) shares() bool { return s.Filler || s.TailLatencyTarget > 0 }

// noteSharing records that fillers or serving tasks have to be looked after.
func (c *Core) noteSharing(j *job) {
	for i := range j.spec.Steps {
		c.sharing = c.sharing || j.spec.Steps[i].shares()
	}
}

// checkSharing sets the pace of a worker's fillers.
func (c *Core) checkSharing(now time.Time, w *worker) {
	if !c.sharing {
		return
	}
	fillers := 0
	for _, r := range w.runs {
		if r.fills() {
			fillers++
			c.keepPace(now, r)
		}
	}
	worst, known := w.strain(now)
	if known && worst > tailHigh {
		w.strained = now.Add(strainTime)
	}
	if fillers == 0 || now.Sub(w.paced) < paceInterval {
		return
	}
	serving := w.serving()
	if serving && !known {
		return
	}
	w.paced = now
	for _, r := range w.runs {
		if r.fills() {
			c.setPace(now, r, nextPace(r.pace.wanted, serving, worst), worst)
		}
	}
}

// nextPace returns the pace of a filler beside serving tasks, of which the worst
// has a response time of strain times its target.
func nextPace(pace int, serving bool, strain float64) int {
	switch {
	case !serving:
		return fullPace
	case strain > 1:
		return 0
	case strain > tailHigh:
		return max(pace-slowBy, 0)
	case strain < tailLow:
		return min(pace+quickenBy, fullPace)
	}
	return pace
}

// setPace changes the pace that a filler should have, for the strain of the
// serving tasks beside it.
func (c *Core) setPace(now time.Time, r *run, pace int, strain float64) {
	if pace == r.pace.wanted {
		return
	}
	c.runEvent(EventRunPaced, r, now.Sub(r.sent), fmt.Sprintf("%d%% to %d%%, the worst response time beside it is %.2f of its target", r.pace.wanted, pace, strain))
	r.pace.wanted = pace
	r.pace.parked = time.Time{}
	if pace == 0 {
		r.pace.parked = now
	}
	c.keepPace(now, r)
}

// keepPace orders the pace that a filler should have, and gives up one that stands
// still while another worker has room for it.
func (c *Core) keepPace(now time.Time, r *run) {
	p := &r.pace
	if !p.parked.IsZero() && now.Sub(p.parked) > parkedLimit && !r.stop.wanted && c.quietRoom(now, r) {
		c.wantStop(now, r)
		return
	}
	if p.now == p.wanted || p.inFlight || r.state != runActive || now.Sub(p.sent) < paceRetry && p.sent.After(r.confirmed) {
		return
	}
	p.inFlight, p.sent = true, now
	c.out.Paces = append(c.out.Paces, PaceRequest{Worker: r.worker.ID, Address: r.worker.Address, Task: r.ref, Run: r.number, Percent: p.wanted})
}

// quietRoom reports whether a worker without serving tasks has room for a filler.
// A step that lasts and tells how many of its tasks may be away is left alone.
func (c *Core) quietRoom(now time.Time, r *run) bool {
	s := r.task.step
	if s.def.MaxUnavailable > 0 {
		return false
	}
	for _, w := range c.pool(s).workers {
		if w != r.worker && !w.serving() && c.eligible(now, s, w) && c.roomFor(now, s, w) > 0 {
			return true
		}
	}
	return false
}

// PaceAnswered takes the result of a PaceOrder.
func (c *Core) HandlePaceResult(a *PaceResult) {
	r := c.ordered(a.Worker, a.Task, a.Run, a.Status)
	if r == nil {
		return
	}
	r.pace.inFlight = false
	if a.Status == CallOK {
		r.pace.now = a.Percent
	}
}

const (
	// besideServing keeps fillers off workers with serving tasks while others have
	// room.
	besideServing = 1.5
	// besideFillers keeps serving tasks off workers with fillers.
	besideFillers = 0.5
)

// sharingScore is the part of a worker's score that keeps serving tasks and
// fillers apart, and serving tasks away from each other.
func sharingScore(s *step, w *worker) float64 {
	if !s.def.shares() {
		return 0
	}
	sc := 0.0
	for _, r := range w.runs {
		switch {
		case s.def.Filler && r.serves():
			return besideServing
		case s.def.TailLatencyTarget > 0 && r.fills():
			sc += besideFillers
		}
	}
	if s.def.TailLatencyTarget > 0 {
		// Full workers come first for other work; this outweighs that.
		sc += 2 * w.room.used.DominantShare(w.room.capacity)
	}
	return sc
}
