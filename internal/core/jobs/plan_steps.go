package jobs

import (
	"cmp"
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

const (
	// planBudget limits the workers that a plan looks at, counting each again for each task that
	// could be placed on it. It bounds the time that a plan takes of the leader loop.
	planBudget = 20_000
	// maxPlannedWorkers limits the workers that a plan names for one step.
	maxPlannedWorkers = 100
)

// planner places the steps of a job that is not submitted. It changes only copies of workers and of
// the account, which it makes when it places a task.
type planner struct {
	c       *Core
	now     time.Time
	workers map[*worker]*worker
	budget  int
	// limited lists the gangs of this job that wait for the limit of its tenant.
	limited []*step
	// tasks is the memory for the tasks of one gang after the other.
	tasks []task
}

// planSteps adds to a plan what would happen to the steps of an accepted job.
func (c *Core) planSteps(now time.Time, plan *Plan, spec *Spec, q *Queue, a *account) {
	j := newJob(spec, q, c.cfg.Token, now)
	j.excess, j.stored = plan.Excess, true
	if a != nil {
		copied := *a
		j.account = &copied
	}
	p := &planner{c: c, now: now, workers: map[*worker]*worker{}, budget: planBudget}
	o := p.occurrence(j)
	plan.ObjectiveMS = c.objective(o).Sub(now).Milliseconds()
	chains := o.chains(c.stepDuration)
	for i, s := range o.steps {
		s.startBy = c.objective(o).Add(-chains[i])
		plan.Steps = append(plan.Steps, PlanStep{Step: i, Tasks: s.def.Count, Gang: s.def.Gang, After: s.def.After,
			EarliestStartMS: p.earliestStart(o, i).Milliseconds(), LatestStartMS: s.startBy.Sub(now).Milliseconds(),
			RunMS: c.runTime(s, medianRunTime).Milliseconds()})
	}
	for _, s := range slices.SortedStableFunc(slices.Values(o.steps), compareSteps) {
		p.place(s, &plan.Steps[s.index])
	}
}

// occurrence returns the first occurrence of a job. Its steps have no tasks: a job may have hundreds
// of thousands.
func (p *planner) occurrence(j *job) *occurrence {
	o := &occurrence{job: j, due: j.due(0), unfinished: len(j.spec.Steps)}
	for i := range j.spec.Steps {
		def := &j.spec.Steps[i]
		o.steps = append(o.steps, &step{occ: o, index: int32(i), def: def, unfinished: def.Count, pending: def.Count,
			unfinishedDeps: len(def.After), seq: p.c.stepSeq + uint64(i) + 1})
	}
	return o
}

// earliestStart returns the time until a step can start if none waits for capacity.
func (p *planner) earliestStart(o *occurrence, index int) time.Duration {
	ends := make([]time.Duration, index+1)
	for i, s := range o.steps[:index+1] {
		for _, dep := range s.def.After {
			ends[i] = max(ends[i], ends[dep])
		}
		if i < index {
			ends[i] += p.c.stepDuration(s)
		}
	}
	if o.due.After(p.c.wall) {
		return ends[index] + o.due.Sub(p.c.wall)
	}
	return ends[index]
}

// place plans the tasks of one step.
func (p *planner) place(s *step, out *PlanStep) {
	c := p.c
	switch {
	case s.occ.due.After(c.wall):
		out.Wait = planNotDue
		return
	case s.unfinishedDeps > 0:
		out.Wait = planAfterSteps
		return
	case !p.charge(p.stepCost(s)):
		out.Wait = planNotExamined
		return
	}
	s.tasks = p.tasksOf(s)
	options := p.options(s, out)
	if out.Wait = p.obstacle(s); out.Wait == "" {
		chosen := p.chooseWorkers(s, options, out)
		out.Starting, out.Workers = len(chosen), countTasks(chosen)
	}
	p.expectRoom(s, out)
}

// readyPerWorker is the number of waiting steps that cost as much to compare as one worker.
const readyPerWorker = 16

// stepCost returns the cost of looking at all workers for a step, and at the gangs before it if these
// matter.
func (p *planner) stepCost(s *step) int {
	cost := len(p.c.workerList)
	if p.reservesLimit(s.job().account) {
		cost += len(p.c.ready) / readyPerWorker
	}
	return cost
}

// charge takes the cost of looking at some workers from the budget, and reports whether it sufficed.
func (p *planner) charge(workers int) bool {
	p.budget -= workers
	return p.budget >= 0
}

// scoringCost returns the cost of choosing one of some workers for a task of the step. Limits per worker
// and the score of paced tasks depend on each run of a worker.
func (s *Step) scoringCost(options []*worker) int {
	cost := len(options)
	if s.MaxPerWorker > 0 || s.needsPacing() {
		for _, w := range options {
			cost += len(w.runs)
		}
	}
	return cost
}

// tasksOf returns the tasks of a step, as far as their number matters.
func (p *planner) tasksOf(s *step) []task {
	if len(p.tasks) < s.def.Count {
		p.tasks = make([]task, s.def.Count)
	}
	return p.tasks[:s.def.Count]
}

// obstacle returns why no task of the step would start whichever workers there are, in the order of
// Core.place.
func (p *planner) obstacle(s *step) model.Reason {
	c := p.c
	if a := s.job().account; p.reservesLimit(a) {
		a.reserved = p.reservedLimitBefore(s)
	}
	switch {
	case c.yields(p.now, s):
		return waitForGang
	case s.def.Gang && c.gangFit(s) == fitsNever:
		return waitForWorkers
	case !c.limitAllows(s):
		if s.def.Gang {
			p.limited = append(p.limited, s)
		}
		return waitForLimit
	case !s.def.Size.Fits(c.pool(s).largest):
		return waitForCapacity
	}
	return ""
}

// options returns the workers on which a task of the step could start now, as Core.options does, and
// records what the others lack. The result is empty if advice would have to be asked first.
func (p *planner) options(s *step, out *PlanStep) []*worker {
	out.Lacking = model.Counts{}
	var options []*worker
	for _, w := range p.c.workerList {
		if !w.listed || w.Service != s.job().queue.Service {
			continue
		}
		if w = p.current(w); p.usable(s, w) {
			options = append(options, w)
			continue
		}
		out.Lacking[p.lack(s, w)]++
	}
	if s.job().queue.Advice != nil && len(options) > 0 {
		out.Lacking[lacksAdvice] = len(options)
		return nil
	}
	return options
}

func (p *planner) usable(s *step, w *worker) bool {
	return p.c.eligible(p.now, s, w) && p.c.availableCopies(p.now, s, w) > 0
}

// lack returns what an unusable worker lacks for a task of the step.
func (p *planner) lack(s *step, w *worker) model.Reason {
	switch {
	case w.state != WorkerUsable:
		return model.Reason(w.state.String())
	case !w.hasLabel(s.def.Label):
		return lacksLabel
	case w.resources.copies(s.def.Size) == 0 || w.remainingPerWorker(s) <= 0:
		return lacksRoom
	case p.c.availableCopies(p.now, s, w) == 0:
		return lacksReserved
	}
	return lacksEligibility
}

// current returns a worker with the tasks that were placed on it by this plan.
func (p *planner) current(w *worker) *worker {
	if copied := p.workers[w]; copied != nil {
		return copied
	}
	return w
}

// chooseWorkers returns the workers of the tasks that would start now, and records why the others
// would not.
func (p *planner) chooseWorkers(s *step, options []*worker, out *PlanStep) []*worker {
	if s.def.Gang {
		return p.chooseGang(s, options, out)
	}
	var chosen []*worker
	for i := range s.def.Count {
		switch {
		case p.c.limitCopies(s) == 0:
			out.Wait = waitForLimit
			return chosen
		case len(options) == 0:
			out.Wait = p.noOption(s)
			return chosen
		case !p.charge(s.def.scoringCost(options)):
			out.Wait = planNotExamined
			return chosen
		}
		w := p.assign(s, i, bestWorker(p.now, s, options))
		chosen = append(chosen, w)
		options = p.c.withCapacity(p.now, s, p.currentOptions(options, w))
	}
	return chosen
}

// chooseGang returns the workers of all members of a gang, or none.
func (p *planner) chooseGang(s *step, options []*worker, out *PlanStep) []*worker {
	if !p.charge(s.def.scoringCost(options) + s.def.Count) {
		out.Wait = planNotExamined
		return nil
	}
	chosen := p.c.gangWorkers(p.now, s, options)
	if len(chosen) < s.def.Count {
		out.Wait = p.noOption(s)
		return nil
	}
	for i, w := range chosen {
		chosen[i] = p.assign(s, i, w)
	}
	return chosen
}

// noOption returns what a step waits for that finds no worker.
func (p *planner) noOption(s *step) model.Reason {
	if s.job().queue.Advice != nil {
		return waitForTicket
	}
	return waitForCapacity
}

// assign adds a run of a task to a copy of the worker, and returns the copy.
func (p *planner) assign(s *step, index int, w *worker) *worker {
	copied := p.copyOf(w)
	t := &task{step: s, index: int32(index)}
	copied.addRun(&run{ref: t.ref(), task: t, worker: copied, size: s.def.Size, account: s.job().account, sentAt: p.now})
	return copied
}

// copyOf returns the copy of a worker that the plan may change. The worker may be that copy.
func (p *planner) copyOf(w *worker) *worker {
	original := p.c.workers[w.ID]
	if copied := p.workers[original]; copied != nil {
		return copied
	}
	copied := *original
	copied.runs = slices.Clone(original.runs)
	p.workers[original] = &copied
	return &copied
}

// currentOptions replaces the worker of which w is the copy.
func (p *planner) currentOptions(options []*worker, w *worker) []*worker {
	for i := range options {
		if options[i].ID == w.ID {
			options[i] = w
			return options
		}
	}
	return options
}

// expectRoom records when the tasks that find no worker now are expected to find one.
func (p *planner) expectRoom(s *step, out *PlanStep) {
	if out.Wait != waitForCapacity {
		return
	}
	out.RoomMS = -1
	cost := 0
	for _, w := range p.c.pool(s).workers {
		cost += 1 + len(w.runs)
	}
	if !p.charge(cost) {
		return
	}
	var slots []taskSlot
	for _, w := range p.c.pool(s).workers {
		slots = p.c.futureSlotsOn(p.now, s, p.current(w), time.Time{}, slots)
	}
	needed := 1
	if s.def.Gang {
		needed = s.def.Count
	}
	if len(slots) < needed {
		return
	}
	slices.SortFunc(slots, func(a, b taskSlot) int { return a.at.Compare(b.at) })
	out.RoomMS = max(slots[needed-1].at.Sub(p.now).Milliseconds(), 1)
}

// countTasks returns the workers with the number of their tasks, those with the most first.
func countTasks(chosen []*worker) []PlanWorker {
	var out []PlanWorker
	at := map[model.WorkerID]int{}
	for _, w := range chosen {
		i, known := at[w.ID]
		if !known {
			i = len(out)
			at[w.ID] = i
			out = append(out, PlanWorker{Worker: w.ID})
		}
		out[i].Tasks++
	}
	slices.SortStableFunc(out, func(a, b PlanWorker) int { return cmp.Or(b.Tasks-a.Tasks, cmp.Compare(a.Worker, b.Worker)) })
	return out[:min(len(out), maxPlannedWorkers)]
}
