package bench

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"catkinvalve/internal/core/model"
)

const (
	tickInterval = 200 * time.Millisecond
	// usageInterval and usageLag approximate the defaults of the worker stand-in.
	usageInterval = 4 * time.Second
	usageLag      = 2 * time.Second
	// stopDuration is how long a worker takes to stop a task.
	stopDuration = 50 * time.Millisecond
	// failRunTime is the maximum run time of a task on a worker that fails all
	// tasks.
	failRunTime = 100 * time.Millisecond
	// warmUpShare is the initial share of a run in which arriving jobs are not
	// measured.
	warmUpShare = 0.2
)

// epoch is the start of the simulated clock.
var epoch = time.Unix(1_700_000_000, 0)

// runningTask is a task attempt on a fake worker.
type runningTask struct {
	start
	job       *job
	startedAt time.Duration
	// reserved is the size that the system reserves for the task.
	reserved model.Size
	// alive is false once the task ended or was stopped.
	alive bool
	// failing is true on a worker that fails all tasks.
	failing bool
}

type fakeWorker struct {
	id            model.WorkerID
	capacity      model.Size
	failsAllTasks bool
	// reserved is the sum of the sizes that the system reserves for the running
	// tasks, real the sum of what they actually use.
	reserved, real model.Size
	tasks          map[model.TaskID]*runningTask
}

// simulation runs one workload on one system with a simulated clock.
type simulation struct {
	sys            system
	jobs           []*job
	jobsByKey      map[string]*job
	workers        map[model.WorkerID]*fakeWorker
	orderedWorkers []*fakeWorker
	events         eventHeap
	seq            int
	now, end       time.Duration
	// remaining is the run time left for tasks that were stopped at a checkpoint.
	remaining map[model.TaskID]time.Duration
	// started holds the keys of which a task was started.
	started map[string]bool
	result  *result
}

func newSimulation(sys system, jobs []*job, workers []model.Worker, failing int, length time.Duration, seed uint64) *simulation {
	m := &simulation{sys: sys, jobs: jobs, jobsByKey: map[string]*job{}, workers: map[model.WorkerID]*fakeWorker{}, end: length,
		remaining: map[model.TaskID]time.Duration{}, started: map[string]bool{}, result: newResult()}
	for _, w := range workers {
		f := &fakeWorker{id: w.ID, capacity: w.Capacity, tasks: map[model.TaskID]*runningTask{}}
		m.workers[w.ID] = f
		m.orderedWorkers = append(m.orderedWorkers, f)
	}
	for _, i := range rand.New(rand.NewPCG(seed, 11)).Perm(len(m.orderedWorkers))[:failing] {
		m.orderedWorkers[i].failsAllTasks = true
	}
	for _, j := range jobs {
		m.jobsByKey[j.req.Key] = j
		m.at(j.at, func() { m.arrive(j) })
		if j.cancelAt > 0 {
			m.at(j.cancelAt, func() { m.sys.cancel(m.clock(), j) })
		}
	}
	m.repeatEvery(tickInterval, func() { m.sys.tick(m.clock()) })
	m.repeatEvery(usageInterval, m.reportUsage)
	return m
}

func (m *simulation) clock() time.Time { return epoch.Add(m.now) }

func (m *simulation) at(t time.Duration, do func()) {
	m.seq++
	heap.Push(&m.events, event{t, m.seq, do})
}

func (m *simulation) repeatEvery(d time.Duration, do func()) {
	var again func()
	again = func() { do(); m.at(m.now+d, again) }
	m.at(d, again)
}

// run processes all events up to the end of the run.
func (m *simulation) run() *result {
	for m.events.Len() > 0 && m.events[0].at <= m.end {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
		// The system schedules once after all events of the same time.
		if m.events.Len() == 0 || m.events[0].at > m.now {
			m.schedule()
		}
	}
	m.now = m.end
	for _, j := range m.jobs {
		if !m.started[j.req.Key] && m.isMeasured(j) && !m.result.refused[j.req.Key] {
			m.result.unstarted++
			m.result.recordWait(j, m.end-j.at)
		}
	}
	return m.result
}

// isMeasured reports whether the waiting time of the job counts.
func (m *simulation) isMeasured(j *job) bool {
	return !j.standing && j.cancelAt == 0 && j.at >= time.Duration(warmUpShare*float64(m.end)) && j.at < m.end
}

func (m *simulation) arrive(j *job) {
	if !m.sys.submit(m.clock(), j) && m.isMeasured(j) {
		m.result.refused[j.req.Key] = true
	}
}

func (m *simulation) schedule() {
	for {
		starts, stops := m.sys.takeActions(m.clock())
		for _, s := range stops {
			m.stop(s)
		}
		for _, s := range starts {
			m.start(s)
		}
		if len(starts)+len(stops) == 0 {
			return
		}
	}
}

func (m *simulation) start(s start) {
	j, w := m.jobsByKey[s.id.Key], m.workers[s.worker]
	t := &runningTask{start: s, job: j, startedAt: m.now, reserved: s.size, alive: true, failing: w.failsAllTasks}
	m.result.starts++
	w.tasks[s.id] = t
	w.reserved, w.real = w.reserved.Add(s.size), w.real.Add(j.size)
	if !w.reserved.Fits(w.capacity) {
		m.result.overCapacityStarts++
	}
	if !w.real.Fits(w.capacity) {
		m.result.overuseStarts++
	}
	if !m.started[s.id.Key] {
		m.started[s.id.Key] = true
		if m.isMeasured(j) {
			m.result.recordWait(j, m.now-j.at)
		}
	}
	run, resumed := m.remaining[s.id]
	if !resumed {
		run = j.run
	}
	if t.failing {
		run = min(run, failRunTime)
	}
	if run < m.end-m.now {
		m.at(m.now+run, func() { m.finishTask(t) })
	}
}

func (m *simulation) finishTask(t *runningTask) {
	if !t.alive {
		return
	}
	m.removeTask(t)
	if t.failing {
		m.result.failures++
	} else {
		m.result.finished++
	}
	m.sys.taskEnded(m.clock(), t.start, !t.failing)
}

func (m *simulation) removeTask(t *runningTask) {
	t.alive = false
	w := m.workers[t.worker]
	w.reserved, w.real = w.reserved.Sub(t.reserved), w.real.Sub(t.job.size)
	delete(w.tasks, t.id)
}

func (m *simulation) stop(s stop) {
	t := m.workers[s.worker].tasks[s.id]
	if t == nil || t.attempt != s.attempt {
		return
	}
	m.at(m.now+stopDuration, func() {
		if !t.alive {
			return
		}
		m.removeTask(t)
		if s.checkpoint {
			m.result.checkpoints++
			before, resumed := m.remaining[t.id]
			if !resumed {
				before = t.job.run
			}
			m.remaining[t.id] = max(0, before-(m.now-t.startedAt))
		}
		m.sys.taskStopped(m.clock(), t.start)
	})
}

// reportUsage reports the usage of tasks that have run for at least usageLag.
func (m *simulation) reportUsage() {
	for _, w := range m.orderedWorkers {
		var u []model.Usage
		var seen []*runningTask
		for _, id := range sortedTaskIDs(w.tasks) {
			if t := w.tasks[id]; m.now-t.startedAt >= usageLag {
				u = append(u, model.Usage{ID: id, Size: t.job.size})
				seen = append(seen, t)
			}
		}
		if len(u) == 0 {
			continue
		}
		m.sys.recordUsage(m.clock(), w.id, u)
		for _, t := range seen {
			reserved := m.sys.plannedSize(t.start)
			w.reserved = w.reserved.Add(reserved).Sub(t.reserved)
			t.reserved = reserved
		}
	}
}
