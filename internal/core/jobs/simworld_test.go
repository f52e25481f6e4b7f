package jobs

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

// simStore keeps the records of the newest batches.
type simStore struct {
	accepted map[string]AcceptedRecord
	progress map[string]ProgressRecord
	workers  map[model.WorkerID]WorkerRecord
	inFlight *Batch
	last     time.Time
	down     bool
	roundDue bool
	appends  int
}

func newSimStore() *simStore {
	return &simStore{accepted: map[string]AcceptedRecord{}, progress: map[string]ProgressRecord{}, workers: map[model.WorkerID]WorkerRecord{}}
}

func (st *simStore) apply(b *Batch) {
	st.appends++
	for _, r := range b.Accepted {
		st.accepted[r.Spec.ID] = r
	}
	for _, r := range b.Progress {
		st.progress[r.Job] = cloneProgress(r)
	}
	for _, r := range b.Workers {
		st.workers[r.ID] = r
	}
	for _, id := range b.DropAccepted {
		delete(st.accepted, id)
	}
	for _, id := range b.DropProgress {
		delete(st.progress, id)
	}
	for _, id := range b.DropWorkers {
		delete(st.workers, id)
	}
}

// cloneProgress copies what the core may go on changing.
func cloneProgress(r ProgressRecord) ProgressRecord {
	r.Occurrences = slices.Clone(r.Occurrences)
	for i := range r.Occurrences {
		o := &r.Occurrences[i]
		o.Steps = slices.Clone(o.Steps)
		for k := range o.Steps {
			st := &o.Steps[k]
			st.Done = slices.Clone(st.Done)
			st.Failures = slices.Clone(st.Failures)
			for f := range st.Failures {
				st.Failures[f].Runs = slices.Clone(st.Failures[f].Runs)
			}
		}
	}
	return r
}

func (st *simStore) snapshot() Snapshot {
	var s Snapshot
	for _, id := range slices.Sorted(maps.Keys(st.accepted)) {
		s.Accepted = append(s.Accepted, st.accepted[id])
	}
	for _, id := range slices.Sorted(maps.Keys(st.progress)) {
		s.Progress = append(s.Progress, cloneProgress(st.progress[id]))
	}
	for _, id := range slices.Sorted(maps.Keys(st.workers)) {
		s.Workers = append(s.Workers, st.workers[id])
	}
	return s
}

// flush stores the next batch.
func (s *sim) flush() {
	if s.now.Sub(s.store.last) < simBatch || s.store.inFlight != nil {
		if s.core.HasBatch() {
			s.soon()
		}
		return
	}
	b := s.core.TakeBatch()
	if b == nil {
		return
	}
	s.store.last = s.now
	s.store.inFlight = b
	s.append(b, s.token)
}

// append makes the append until the store is up; a deposed leader's is refused.
func (s *sim) append(b *Batch, token uint64) {
	s.after(simStoreRTT, func() {
		if token != s.token {
			return
		}
		if s.store.down {
			s.append(b, token)
			return
		}
		s.store.apply(b)
		s.store.inFlight = nil
		if s.leading {
			s.core.HandleBatchStored(s.now, b.Seq)
			s.soon()
		}
	})
}

// simWorker is a worker as the platform describes it.
type simWorker struct {
	s        *sim
	id       model.WorkerID
	labels   []string
	capacity model.Size
	speed    float64
	// slower multiplies the time of what starts while it is over 1.
	slower float64
	// rate is the speed of the worker's own clock.
	rate  float64
	life  int64
	began time.Time
	token uint64
	lease int64
	ended []RunEnd
	runs  map[TaskRef]*simRun
	// seen holds the highest run that was stopped or ended here.
	seen map[TaskRef]int64
	acks int64
	next int64
	// cut workers get no calls and answer none.
	cut       bool
	dark      bool
	left      bool
	draining  bool
	entryGone bool
	failing   bool
	hanging   bool
	waiting   []func()
	// lapsedEnds is the number of the last end that was listed when a lease ended.
	lapsedEnds int64
	ends       map[int64]*simEnd
}

// simRun is a run on a worker.
type simRun struct {
	task *simTask
	run  int64
	size model.Size
	from time.Time
	// began is when the work began; zero while the run waits or stands still.
	began  time.Time
	stuck  bool
	needed time.Duration
	ending bool
	life   int64
}

func (s *sim) addWorker(id string, i int, capacity model.Size) {
	speeds := []float64{0.8, 1, 1.25}
	w := &simWorker{s: s, id: model.WorkerID(id), labels: []string{[]string{"a", "b"}[i%2], fmt.Sprintf("r%d", i/8)}, capacity: capacity,
		speed: speeds[i%3], slower: 1, rate: 1 - 0.02*s.rng.Float64(), life: int64(i + 1), began: s.now.Add(-time.Minute), runs: map[TaskRef]*simRun{}, seen: map[TaskRef]int64{}, ends: map[int64]*simEnd{}}
	s.workers = append(s.workers, w)
	s.byID[w.id] = w
	w.expire()
}

func (w *simWorker) entry() WorkerEntry {
	return WorkerEntry{ID: w.id, Address: string(w.id), Service: "s", Labels: w.labels, Capacity: w.capacity, Draining: w.draining, Incarnation: w.life}
}

func (w *simWorker) clock() int64 {
	return int64(float64(w.s.now.Sub(w.began).Milliseconds()) * w.rate)
}

func (w *simWorker) silent() bool { return w.cut || w.dark || w.left }

// expire ends everything when the lease is over.
func (w *simWorker) expire() {
	if !w.dark && !w.left && w.clock() > w.lease {
		w.lapsedEnds = w.next
		for _, ref := range w.refs() {
			w.finish(ref, EndLeaseExpired)
		}
	}
	w.s.after(20*time.Millisecond, w.expire)
}

func (w *simWorker) refs() []TaskRef {
	refs := slices.Collect(maps.Keys(w.runs))
	slices.SortFunc(refs, func(a, b TaskRef) int {
		if a.String() < b.String() {
			return -1
		}
		return 1
	})
	return refs
}

// crash ends everything without a trace and starts anew after d.
func (w *simWorker) crash(d time.Duration) {
	w.dark = true
	w.drop()
	w.s.after(d, func() { w.reborn() })
}

func (w *simWorker) drop() {
	for _, ref := range w.refs() {
		r := w.runs[ref]
		if r == nil {
			continue // ended with its gang
		}
		r.task.running--
		delete(w.runs, ref)
		if r.gang() {
			w.s.gangEnded(ref, r, EndGangAborted)
		}
	}
}

func (w *simWorker) reborn() {
	w.dark, w.token, w.lease, w.ended, w.next, w.acks, w.lapsedEnds = false, 0, 0, nil, 0, 0, 0
	w.seen, w.ends = map[TaskRef]int64{}, map[int64]*simEnd{}
	w.life += 1000
	w.began = w.s.now
}

// finish ends a run and lists its end.
func (w *simWorker) finish(ref TaskRef, kind EndKind) {
	r := w.runs[ref]
	if r == nil {
		return
	}
	delete(w.runs, ref)
	r.task.running--
	w.seen[ref] = max(w.seen[ref], r.run)
	w.next++
	w.ends[w.next] = &simEnd{at: w.s.now}
	w.ended = append(w.ended, RunEnd{Seq: w.next, Task: ref, Run: r.run, Kind: kind})
	switch kind {
	case EndDone:
		r.task.done = true
	case EndFailed:
		r.task.failed++
		r.task.failures = append(r.task.failures, w.ends[w.next])
	}
	if kind != EndDone {
		w.s.wasted += w.s.now.Sub(r.from).Seconds() * float64(r.size.MilliCPU) / 1000
	}
	for _, f := range w.waiting {
		w.s.after(0, f)
	}
	w.waiting = nil
	if r.gang() {
		w.s.gangEnded(ref, r, kind)
	}
}

func (r *simRun) gang() bool { return r.task.job.spec.Steps[r.task.step].Gang }

// gangEnded ends the other members of a gang's run.
func (s *sim) gangEnded(ref TaskRef, r *simRun, kind EndKind) {
	if kind != EndDone {
		kind = EndGangAborted
	}
	for _, w := range s.workers {
		for _, other := range w.refs() {
			o := w.runs[other]
			if o != nil && other.Job == ref.Job && other.Step == ref.Step && o.run == r.run {
				w.finish(other, kind)
			}
		}
	}
}

// call delivers an order to a worker and its answer back, with the present
// faults. Late orders are executed seconds later and never answered.
func (s *sim) call(w *simWorker, life int64, execute func() bool, answer func(ok bool), wait time.Duration) {
	late := s.rng.Float64() < s.trouble.late
	delay := simHop
	if late {
		delay = 2*time.Second + time.Duration(s.rng.Float64()*10*float64(time.Second))
	}
	answered := false
	reply := s.of(func() {
		if !answered {
			answered = true
			answer(true)
		}
	})
	s.after(delay, func() {
		if w.silent() || w.life != life || !execute() || late || s.rng.Float64() < s.trouble.lost {
			return
		}
		s.after(simHop, reply)
	})
	s.after(wait, s.of(func() {
		if !answered {
			answered = true
			answer(false)
		}
	}))
}

func (s *sim) hold(h SyncRequest) {
	s.lists++
	w := s.byID[h.Worker]
	token, sent := s.token, s.now
	var result SyncResult
	limit := h.Wait + 450*time.Millisecond
	answered := false
	finish := s.of(func() {
		if answered {
			return
		}
		answered = true
		result.SentAt = sent
		s.core.HandleSyncResult(s.now, &result)
	})
	read := func() {
		result = SyncResult{Worker: h.Worker, Status: CallOK, ClockMs: w.clock(), Incarnation: w.life}
		if token < w.token {
			result = SyncResult{Worker: h.Worker, Status: CallFenced}
		}
		for _, ref := range w.refs() {
			result.Running = append(result.Running, RunReport{Task: ref, Run: w.runs[ref].run, Percent: w.runs[ref].percent(s.now)})
		}
		result.Ends = slices.Clone(w.ended)
		s.after(simHop, finish)
	}
	s.after(simHop, func() {
		if w.silent() {
			return
		}
		if token >= w.token {
			w.token = token
			w.ack(h.AckCursor)
			w.extend(h.LeaseDeadlineMs)
		}
		if h.Wait == 0 || len(w.ended) > 0 {
			read()
			return
		}
		done := false
		once := func() {
			if !done && !w.silent() {
				done = true
				read()
			}
		}
		w.waiting = append(w.waiting, once)
		s.after(h.Wait, once)
	})
	s.after(limit, s.of(func() {
		if !answered {
			answered = true
			s.core.HandleSyncResult(s.now, &SyncResult{Worker: h.Worker, SentAt: sent, Status: CallNoAnswer})
		}
	}))
}

func (w *simWorker) extend(deadline int64) {
	w.lease = max(w.lease, min(deadline, w.clock()+w.s.core0().MaxWorkerLease.Milliseconds()))
}

func (s *sim) core0() Config { return testConfig() }

func (w *simWorker) ack(cursor int64) {
	w.acks = max(w.acks, cursor)
	for len(w.ended) > 0 && w.ended[0].Seq <= cursor {
		e := w.ended[0]
		if t := w.s.task(e.Task); t != nil && e.Seq > w.lapsedEnds {
			w.note(e, t)
		}
		w.ended = w.ended[1:]
	}
}

// note takes note of an end and checks that no start contradicts it.
func (w *simWorker) note(e RunEnd, t *simTask) {
	end := w.ends[e.Seq]
	end.noted = true
	switch e.Kind {
	case EndDone:
		t.noted = true
		if t.lastStart.After(end.at) {
			w.s.breaks("TWICE", "%v began again before its end was noted", e.Task)
		}
	case EndFailed:
		if t.overBudget() {
			w.s.breaks("BUDGET", "%v began after its last attempt", e.Task)
		}
	}
}

// overBudget reports whether a run began after as many noted failures as the
// queue allows.
func (t *simTask) overBudget() bool {
	n := 0
	for _, f := range t.failures {
		if f.noted && f.at.Before(t.lastStart) {
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
	if r.began.IsZero() {
		return 0
	}
	return int(min(99, 100*now.Sub(r.began)/r.needed))
}

func (s *sim) start(o StartRequest) {
	w := s.byID[o.Worker]
	token, life := s.token, w.life
	status := CallOK
	attempt := func(execute func() bool, answer func(bool), wait time.Duration) {
		s.call(w, life, execute, answer, wait)
	}
	execute := func() bool {
		status = w.startNow(o, token)
		return true
	}
	var try func(n int)
	try = func(n int) {
		attempt(execute, func(ok bool) {
			if !ok && n < maxStartRetries {
				try(n + 1)
				return
			}
			r := &StartResult{Worker: o.Worker, Task: o.Task, Run: o.Run, Status: CallNoAnswer}
			if ok {
				r.Status, r.ClockMs = status, w.clock()
			}
			if n > 0 && r.Status != CallOK {
				r.Status = CallNoAnswer
			}
			s.core.HandleStartResult(s.now, r)
		}, 350*time.Millisecond)
	}
	try(0)
}

// startNow starts a run and checks the promises.
func (w *simWorker) startNow(o StartRequest, token uint64) CallStatus {
	s := w.s
	t := s.task(o.Task)
	if token < w.token {
		return CallFenced
	}
	w.token = token
	if r := w.runs[o.Task]; r != nil && r.run == o.Run {
		return CallOK
	}
	w.extend(o.LeaseDeadlineMs)
	if o.Run <= w.seen[o.Task] || w.runs[o.Task] != nil && w.runs[o.Task].run >= o.Run {
		return CallStaleRun
	}
	if o.LeaseDeadlineMs <= w.clock() {
		return CallDeadlinePassed
	}
	if r := w.runs[o.Task]; r != nil {
		s.breaks("TWICE", "%v starts beside itself on %s", o.Task, w.id)
	}
	w.check(o, t)
	w.run(o, t)
	return CallOK
}

// check tests what must hold whenever a task starts.
func (w *simWorker) check(o StartRequest, t *simTask) {
	s := w.s
	def := t.job.spec.Steps[t.step]
	used := def.Size
	for _, r := range w.runs {
		used = used.Add(r.size)
	}
	if !used.Fits(w.capacity) {
		s.breaks("LIMIT", "%v on %s: %v of %v", o.Task, w.id, used, w.capacity)
	}
	if t.running > 0 {
		s.breaks("TWICE", "%v runs elsewhere", o.Task)
	}
	if t.done && t.noted {
		s.breaks("TWICE", "%v is done", o.Task)
	}
	t.lastStart = s.now
	if t.overBudget() {
		s.breaks("BUDGET", "%v has failed %d times", o.Task, t.failed)
	}
	if t.job.refused {
		s.breaks("REFUSED", "%v", o.Task)
	}
	if !t.job.cancelAcked.IsZero() && s.now.Sub(t.job.cancelAcked) > 3*time.Second && s.now.After(s.trouble.lateUntil) {
		s.breaks("UNASKED", "%v starts after its cancellation", o.Task)
	}
	if !simAllowed(StepRef{Job: o.Task.Job, Step: o.Task.Step}, w.id, t.job.class.allowed) && t.job.class.queue.Advice != nil {
		s.breaks("ROUTE", "%v is not allowed on %s", o.Task, w.id)
	}
	for _, before := range def.After {
		for ref, other := range t.job.tasks {
			if int(ref.Step) == before && !other.done {
				s.breaks("ORDER", "%v before %v", o.Task, ref)
				return
			}
		}
	}
	same := 1
	for ref := range w.runs {
		if ref.Job == o.Task.Job && ref.Step == o.Task.Step {
			same++
		}
	}
	if def.MaxPerWorker > 0 && same > def.MaxPerWorker {
		s.breaks("ROUTE", "%d tasks of %v on %s", same, o.Task, w.id)
	}
}

// run lets the task work.
func (w *simWorker) run(o StartRequest, t *simTask) {
	s := w.s
	s.starts++
	if t.job.first.IsZero() {
		t.job.first = s.now
	}
	t.attempts++
	t.running++
	needed := time.Duration(float64(t.work) / w.speed * w.slower)
	r := &simRun{task: t, run: o.Run, size: t.job.spec.Steps[t.step].Size, from: s.now, needed: needed, life: w.life, stuck: w.hanging}
	w.runs[o.Task] = r
	kind := EndDone
	luck := rand.New(rand.NewPCG(s.seed^uint64(t.attempts), hashOf(o.Task.String())))
	// Of a gang at most the first member fails by chance.
	fails := luck.Float64() < t.job.class.failing && (o.Task.Index == 0 || !r.gang())
	if t.job.poison && o.Task.Index == 0 && o.Task.Step == 0 || fails || w.failing {
		kind = EndFailed
		needed = time.Duration(float64(needed) * luck.Float64())
	}
	begin := func() {
		r.began = s.now
		s.after(needed, func() {
			if w.runs[o.Task] == r && !w.dark {
				w.finish(o.Task, kind)
			}
		})
	}
	switch {
	case r.stuck && !r.gang():
		return
	case !r.gang():
		begin()
		return
	case !r.stuck:
		s.whenComplete(w, o, r, begin)
	}
	s.after(3*time.Second, func() {
		if w.runs[o.Task] == r && s.members(o, true) < t.job.spec.Steps[t.step].Count && w.life == r.life {
			if s.calmFor(6 * time.Second) {
				s.breaks("GANG", "%v run %d waited for the others", o.Task, o.Run)
			}
			w.finish(o.Task, EndGangIncomplete)
		}
	})
}

func hashOf(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}

// members counts the members of a gang's run that are present, those that stand
// still included or not.
func (s *sim) members(o StartRequest, stuck bool) int {
	n := 0
	for _, w := range s.workers {
		for ref, r := range w.runs {
			if ref.Job == o.Task.Job && ref.Step == o.Task.Step && r.run == o.Run && (stuck || !r.stuck) {
				n++
			}
		}
	}
	return n
}

// whenComplete calls begin for a member once all are present and work.
func (s *sim) whenComplete(w *simWorker, o StartRequest, r *simRun, begin func()) {
	var poll func()
	poll = func() {
		if w.runs[o.Task] != r {
			return
		}
		if s.members(o, false) == r.task.job.spec.Steps[r.task.step].Count {
			begin()
			return
		}
		s.after(10*time.Millisecond, poll)
	}
	poll()
}

func (s *sim) stop(o StopRequest) {
	w := s.byID[o.Worker]
	token := s.token
	status := CallOK
	s.call(w, w.life, func() bool {
		if token < w.token {
			status = CallFenced
			return true
		}
		w.token = token
		w.seen[o.Task] = max(w.seen[o.Task], o.Run)
		if r := w.runs[o.Task]; r != nil && r.run <= o.Run && !r.ending {
			r.ending = true
			s.after(time.Duration(s.rng.Float64()*400*float64(time.Millisecond)), func() {
				if w.runs[o.Task] == r {
					w.finish(o.Task, EndStopped)
				}
			})
		}
		return true
	}, func(ok bool) {
		r := &StopResult{Worker: o.Worker, Task: o.Task, Run: o.Run, Status: CallNoAnswer}
		if ok {
			r.Status, r.ClockMs = status, w.clock()
		}
		s.core.HandleStopResult(s.now, r)
	}, 400*time.Millisecond)
}
