package jobs

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

// simWorker models a worker of the platform.
type simWorker struct {
	s        *sim
	id       model.WorkerID
	address  string
	labels   []string
	capacity model.Size
	speed    float64
	// slowdown multiplies the time of the runs that start while it is above 1.
	slowdown float64
	// clockRate is the speed of the worker's own clock.
	clockRate       float64
	incarnation     int64
	startedAt       time.Time
	token           uint64
	leaseDeadlineMs int64
	unackedEnds     []RunEnd
	runs            map[TaskRef]*simRun
	// highestRun holds the highest run number that was stopped or ended here.
	highestRun map[TaskRef]int64
	ackCursor  int64
	lastEndSeq int64
	// partitioned workers receive no calls and answer none.
	partitioned bool
	// crashed workers run nothing. Calls to one are refused if refusing is set; otherwise
	// they are not answered.
	crashed  bool
	refusing bool
	// replaced workers have another worker at their address, which refuses calls for them.
	replaced bool
	removed  bool
	draining bool
	unlisted bool
	failing  bool
	stalled  bool
	pollers  []func()
	// lastLeaseEndSeq is the sequence number of the last end that existed when
	// the lease expired.
	lastLeaseEndSeq int64
	ends            map[int64]*simEnd
}

// simRun is a run on a worker.
type simRun struct {
	task      *simTask
	run       int64
	size      model.Size
	arrivedAt time.Time
	// workStartedAt is when the work began; zero while the run waits for its
	// gang or is stuck.
	workStartedAt time.Time
	stuck         bool
	duration      time.Duration
	stopping      bool
	incarnation   int64
}

func (s *sim) addWorker(id string, i int, capacity model.Size) *simWorker {
	speeds := []float64{0.8, 1, 1.25}
	w := &simWorker{s: s, id: model.WorkerID(id), address: id, labels: []string{[]string{"a", "b"}[i%2], fmt.Sprintf("r%d", i/8)}, capacity: capacity,
		speed: speeds[i%3], slowdown: 1, clockRate: 1 - 0.02*s.rng.Float64(), incarnation: int64(i + 1), startedAt: s.now.Add(-time.Minute), runs: map[TaskRef]*simRun{}, highestRun: map[TaskRef]int64{}, ends: map[int64]*simEnd{}}
	s.workers = append(s.workers, w)
	s.byID[w.id] = w
	w.checkLease()
	return w
}

func (w *simWorker) entry() WorkerEntry {
	return WorkerEntry{ID: w.id, Address: w.address, Service: "s", Labels: w.labels, Capacity: w.capacity, Draining: w.draining, Incarnation: w.incarnation}
}

func (w *simWorker) clockMs() int64 {
	return int64(float64(w.s.now.Sub(w.startedAt).Milliseconds()) * w.clockRate)
}

func (w *simWorker) unreachable() bool { return w.partitioned || w.crashed || w.removed }

// checkLease ends all runs once the lease has expired.
func (w *simWorker) checkLease() {
	if !w.crashed && !w.removed && w.clockMs() > w.leaseDeadlineMs {
		w.lastLeaseEndSeq = w.lastEndSeq
		for _, ref := range w.refs() {
			w.finish(ref, EndLeaseExpired)
		}
	}
	w.s.after(20*time.Millisecond, w.checkLease)
}

func (w *simWorker) refs() []TaskRef {
	refs := slices.Collect(maps.Keys(w.runs))
	slices.SortFunc(refs, func(a, b TaskRef) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	})
	return refs
}

// crash ends all runs without reporting their ends, and restarts the worker
// after d.
func (w *simWorker) crash(d time.Duration) {
	w.crashed = true
	w.loseRuns()
	w.s.after(d, func() { w.restart() })
}

// crashAndReplace ends all runs without reporting their ends. After d another worker with
// the same properties is at the address.
func (w *simWorker) crashAndReplace(d time.Duration) {
	w.crashed, w.refusing = true, true
	w.loseRuns()
	w.s.after(d, func() {
		w.removed, w.replaced = true, true
		n := w.s.addWorker(fmt.Sprintf("%s+", w.id), 0, w.capacity)
		n.address, n.labels, n.speed, n.incarnation, n.startedAt = w.address, w.labels, w.speed, w.incarnation+1000, w.s.now
	})
}

// refusal returns how calls for a crashed worker fail at once, if they do.
func (w *simWorker) refusal() (CallStatus, bool) {
	switch {
	case w.replaced:
		return CallWrongIncarnation, true
	case w.refusing && w.crashed:
		return CallNotSent, true
	}
	return CallOK, false
}

func (w *simWorker) loseRuns() {
	for _, ref := range w.refs() {
		r := w.runs[ref]
		if r == nil {
			continue // already ended with its gang
		}
		r.task.running--
		delete(w.runs, ref)
		if r.gang() {
			w.s.endGang(ref, r, EndGangAborted)
		}
	}
}

func (w *simWorker) restart() {
	w.crashed, w.token, w.leaseDeadlineMs, w.unackedEnds, w.lastEndSeq, w.ackCursor, w.lastLeaseEndSeq = false, 0, 0, nil, 0, 0, 0
	w.highestRun, w.ends = map[TaskRef]int64{}, map[int64]*simEnd{}
	w.incarnation += 1000
	w.startedAt = w.s.now.Add(-w.restartClock())
}

// finish ends a run and adds it to the reported ends.
func (w *simWorker) finish(ref TaskRef, kind EndKind) {
	r := w.runs[ref]
	if r == nil {
		return
	}
	delete(w.runs, ref)
	r.task.running--
	w.highestRun[ref] = max(w.highestRun[ref], r.run)
	w.lastEndSeq++
	w.ends[w.lastEndSeq] = &simEnd{at: w.s.now}
	w.unackedEnds = append(w.unackedEnds, RunEnd{Seq: w.lastEndSeq, Task: ref, Run: r.run, Kind: kind})
	switch kind {
	case EndDone:
		r.task.done = true
	case EndFailed:
		r.task.failed++
		r.task.failures = append(r.task.failures, w.ends[w.lastEndSeq])
	}
	if kind != EndDone {
		w.s.wastedCoreSeconds += w.s.now.Sub(r.arrivedAt).Seconds() * float64(r.size.MilliCPU) / 1000
	}
	for _, f := range w.pollers {
		w.s.after(0, f)
	}
	w.pollers = nil
	if r.gang() {
		w.s.endGang(ref, r, kind)
	}
}

func (w *simWorker) extendLease(deadline int64) {
	w.leaseDeadlineMs = max(w.leaseDeadlineMs, min(deadline, w.clockMs()+w.s.config().MaxWorkerLease.Milliseconds()))
}

func (s *sim) config() Config { return testConfig() }

func (w *simWorker) ack(cursor int64) {
	w.ackCursor = max(w.ackCursor, cursor)
	for len(w.unackedEnds) > 0 && w.unackedEnds[0].Seq <= cursor {
		e := w.unackedEnds[0]
		if t := w.s.task(e.Task); t != nil && e.Seq > w.lastLeaseEndSeq {
			w.recordAck(e, t)
		}
		w.unackedEnds = w.unackedEnds[1:]
	}
}

// recordAck records that an end was acknowledged and checks that no start
// contradicts it.
func (w *simWorker) recordAck(e RunEnd, t *simTask) {
	end := w.ends[e.Seq]
	end.acked = true
	switch e.Kind {
	case EndDone:
		t.acked = true
		if t.lastStartAt.After(end.at) {
			w.s.recordViolation("TWICE", "%v started again before its end was acknowledged", e.Task)
		}
	case EndFailed:
		if t.overBudget() {
			w.s.recordViolation("BUDGET", "%v started after its last attempt", e.Task)
		}
	}
}

// overBudget reports whether a run began after as many acknowledged failures as
// the queue allows.
func (t *simTask) overBudget() bool {
	n := 0
	for _, f := range t.failures {
		if f.acked && f.at.Before(t.lastStartAt) {
			n++
		}
	}
	return n >= t.job.class.queue.MaxAttempts
}

func (s *sim) task(ref TaskRef) *simTask {
	if j := s.jobs[ref.Job]; j != nil {
		return j.tasks[ref]
	}
	return nil
}

func (r *simRun) percent(now time.Time) int {
	if r.workStartedAt.IsZero() {
		return 0
	}
	return int(min(99, 100*now.Sub(r.workStartedAt)/r.duration))
}

// startNow starts a run and checks the invariants.
func (w *simWorker) startNow(req StartRequest, token uint64) CallStatus {
	s := w.s
	t := s.task(req.Task)
	if token < w.token {
		return CallFenced
	}
	w.token = token
	if r := w.runs[req.Task]; r != nil && r.run == req.Run {
		return CallOK
	}
	w.extendLease(req.LeaseDeadlineMs)
	if req.Run <= w.highestRun[req.Task] || w.runs[req.Task] != nil && w.runs[req.Task].run >= req.Run {
		return CallStaleRun
	}
	if req.LeaseDeadlineMs <= w.clockMs() {
		return CallDeadlinePassed
	}
	if r := w.runs[req.Task]; r != nil {
		s.recordViolation("TWICE", "%v starts on %s while another run of it is there", req.Task, w.id)
	}
	w.checkStart(req, t)
	s.tenants.checkQuota(w, req, t.job)
	w.run(req, t)
	return CallOK
}

// run executes a task.
func (w *simWorker) run(req StartRequest, t *simTask) {
	s := w.s
	s.startCount++
	if t.job.firstStart.IsZero() {
		t.job.firstStart = s.now
	}
	t.attempts++
	t.running++
	duration := time.Duration(float64(t.work) / w.speed * w.slowdown)
	r := &simRun{task: t, run: req.Run, size: t.job.spec.Steps[t.step].Size, arrivedAt: s.now, duration: duration, incarnation: w.incarnation, stuck: w.stalled}
	w.runs[req.Task] = r
	if r.gang() {
		key := gangRunOf(req.Task, req.Run)
		s.gangMembers[key] = append(s.gangMembers[key], gangMember{w, req.Task, r})
	}
	kind := EndDone
	rng := rand.New(rand.NewPCG(s.seed^uint64(t.attempts), hashText(req.Task.String())))
	// Only first runs fail at random, and of a gang only the first member.
	fails := t.attempts == 1 && rng.Float64() < t.job.class.failing && (req.Task.Index == 0 || !r.gang())
	if t.job.poison && req.Task.Index == 0 && req.Task.Step == 0 || fails || w.failing {
		kind = EndFailed
		duration = time.Duration(float64(duration) * rng.Float64())
	}
	begin := func() {
		r.workStartedAt = s.now
		s.after(duration, func() {
			if w.runs[req.Task] == r && !w.crashed {
				w.finish(req.Task, kind)
			}
		})
	}
	switch {
	case t.crashesWorker(req.Task):
		s.after(simCrashDelay, func() {
			if w.runs[req.Task] == r {
				w.crashUnderTask()
			}
		})
		return
	case r.stuck && !r.gang():
		return
	case !r.gang():
		begin()
		return
	case !r.stuck:
		s.whenAllPresent(w, req, r, begin)
	}
	s.after(3*time.Second, func() {
		if w.runs[req.Task] == r && s.members(req, true) < t.job.spec.Steps[t.step].Count && w.incarnation == r.incarnation {
			if s.noFaultsFor(6 * time.Second) {
				s.recordViolation("GANG", "%v run %d waited for the others", req.Task, req.Run)
			}
			w.finish(req.Task, EndGangIncomplete)
		}
	})
}

func hashText(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}
