package cellsoak

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/core/model"
)

// workerFault is the faulty behaviour of a worker.
type workerFault uint8

const (
	healthy workerFault = iota
	// failsAll: every run fails at once.
	failsAll
	// stalls: runs make no progress.
	stalls
	// executesLate: a quarter of the starts get no response and are executed 2 to 6 s
	// later.
	executesLate
)

const (
	// leaseMax is the longest lease that a worker grants.
	leaseMax = 10 * time.Second
	// gangTimeout is how long the members of a gang wait for the others to start.
	gangTimeout = 3 * time.Second
	// stopDelay is the time from a stop request to the end of the run.
	stopDelay = 50 * time.Millisecond
	// tickInterval is the time between two advances of a worker's runs.
	tickInterval = 10 * time.Millisecond
	// slowClockRate is the rate of the clocks of half of the workers relative to real
	// time.
	slowClockRate = 0.98
	// deadlyDelay is the time from the start of a deadly task to the crash of its worker.
	deadlyDelay = 10 * time.Millisecond
	// endsPerPage is the largest number of ended runs in one response.
	endsPerPage = 500
	// failShare is the fraction of runs that fail on a healthy worker.
	failShare = 0.02
)

// worker simulates one worker. It executes every start that the protocol allows, also one
// that violates a rule of the platform, so that the checker sees it. It ends its runs when
// its lease expires.
type worker struct {
	checker   *checker
	id        model.WorkerID
	capacity  model.Size
	clockRate float64

	// mu is the checker's, so that checks see a consistent state of all workers.
	mu               *sync.Mutex
	incarnationStart time.Time
	token            uint64
	// leaseUntil is the end of the lease in milliseconds on the worker's clock.
	leaseUntil int64
	runs       map[jobs.TaskRef]*workerRun
	// highestRun holds, for each task, the highest run number that is refused as stale.
	highestRun  map[jobs.TaskRef]int64
	unackedEnds []jobs.RunEnd // ended runs that the cell has not acknowledged
	lastEndSeq  int64
	// reportedSeq is the number of the last end that was in a response.
	reportedSeq int64
	fault       workerFault
	// down is set from a crash under a task until the worker is back. No call is executed
	// or answered meanwhile.
	down bool
	rng  *rand.Rand
	// changed is closed and replaced whenever a run ends.
	changed chan struct{}
}

// workerRun is a run of a task on a worker.
type workerRun struct {
	number int64
	size   model.Size
	// gangSize is the number of members of the gang; 0 for a task without one.
	gangSize int
	// workTime is how long the run takes, remaining what is left of it.
	workTime  time.Duration
	startedAt time.Time
	remaining time.Duration
	// stopAt is when a requested stop takes effect; zero without a request.
	stopAt   time.Time
	willFail bool
	// deadly is set if the run crashes the worker.
	deadly bool
}

func newWorker(c *checker, id model.WorkerID, capacity model.Size, seed uint64) *worker {
	w := &worker{checker: c, id: id, capacity: capacity, clockRate: 1, mu: &c.mu, rng: rand.New(rand.NewPCG(seed, uint64(len(id)))), changed: make(chan struct{})}
	if seed%2 == 0 {
		w.clockRate = slowClockRate
	}
	w.restart()
	return w
}

// restart begins a new incarnation without any state of the previous one. The caller
// holds the checker's lock, unless the worker is new.
func (w *worker) restart() {
	for ref := range w.runs {
		w.checker.recordEnd(w, ref, jobs.EndLeaseExpired)
	}
	for i := range w.unackedEnds {
		w.checker.recordLostEnd(&w.unackedEnds[i])
	}
	w.incarnationStart, w.token, w.leaseUntil = time.Now(), 0, 0
	w.runs, w.highestRun, w.unackedEnds = map[jobs.TaskRef]*workerRun{}, map[jobs.TaskRef]int64{}, nil
	w.lastEndSeq, w.reportedSeq = 0, 0
}

// crash ends the worker's process because of a run on it, until comeBack.
func (w *worker) crash() {
	w.checker.workerCrashed(w)
	w.restart()
	w.down = true
}

// comeBack begins a new incarnation with the given ID after a crash.
func (w *worker) comeBack(id model.WorkerID) {
	w.restart()
	w.id, w.down = id, false
}

// ID implements platform.SimulatedWorker.
func (w *worker) ID() model.WorkerID {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.id
}

// Incarnation implements platform.SimulatedWorker.
func (w *worker) Incarnation() int64 { return w.incarnationStart.UnixMilli() }

// clockMs returns the milliseconds since the start of the incarnation on the worker's
// clock.
func (w *worker) clockMs() int64 {
	return int64(float64(time.Since(w.incarnationStart).Milliseconds()) * w.clockRate)
}

// extendLease extends the lease to a time on the worker's clock in milliseconds, but no
// longer than leaseMax from now.
func (w *worker) extendLease(deadline int64) {
	w.leaseUntil = max(w.leaseUntil, min(deadline, w.clockMs()+leaseMax.Milliseconds()))
}

// delayStart reports whether a start gets no response because of the worker's fault. Such
// a start is executed 2 to 6 s later if the worker has not restarted by then.
func (w *worker) delayStart(token uint64, req *jobs.StartRequest) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fault != executesLate || w.rng.IntN(4) > 0 {
		return false
	}
	incarnation := w.incarnationStart
	time.AfterFunc(time.Duration(2000+w.rng.IntN(4000))*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.incarnationStart.Equal(incarnation) {
			w.start(token, req)
		}
	})
	return true
}

// Start implements platform.SimulatedWorker.
func (w *worker) Start(_ context.Context, token uint64, req jobs.StartRequest) jobs.StartResult {
	r := jobs.StartResult{Worker: req.Worker, Task: req.Task, Run: req.Run, Status: jobs.CallNoAnswer}
	if w.delayStart(token, &req) {
		return r
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	r.Status, r.ClockMs = w.start(token, &req)
	return r
}

// start executes a start request and returns its status and the worker's clock in
// milliseconds. The caller holds the checker's lock.
func (w *worker) start(token uint64, req *jobs.StartRequest) (jobs.CallStatus, int64) {
	if w.down {
		return jobs.CallNoAnswer, 0
	}
	if token < w.token {
		return jobs.CallFenced, w.clockMs()
	}
	w.token = token
	if r := w.runs[req.Task]; r != nil && r.number == req.Run {
		return jobs.CallOK, w.clockMs()
	}
	if req.Run <= w.highestRun[req.Task] {
		w.extendLease(req.LeaseDeadlineMs)
		return jobs.CallStaleRun, w.clockMs()
	}
	if req.LeaseDeadlineMs <= w.clockMs() {
		return jobs.CallDeadlinePassed, w.clockMs()
	}
	w.extendLease(req.LeaseDeadlineMs)
	w.checker.started(w, req, w.usedCapacity())
	w.highestRun[req.Task] = max(w.highestRun[req.Task], req.Run-1)
	w.runs[req.Task] = w.newRun(req)
	return jobs.CallOK, w.clockMs()
}

func (w *worker) newRun(req *jobs.StartRequest) *workerRun {
	r := &workerRun{number: req.Run, startedAt: time.Now(), workTime: parseWorkTime(req.Payload), willFail: w.rng.Float64() < failShare || poisoned(req.Payload), deadly: w.checker.deadly(req.Task)}
	if step := w.checker.step(req.Task); step != nil {
		r.size = step.Size
		if step.Gang {
			r.gangSize = step.Count
		}
	}
	r.remaining = r.workTime
	return r
}

func (w *worker) usedCapacity() model.Size {
	var sum model.Size
	for _, r := range w.runs {
		sum = sum.Add(r.size)
	}
	return sum
}

// Stop implements platform.SimulatedWorker.
func (w *worker) Stop(_ context.Context, token uint64, req jobs.StopRequest) jobs.StopResult {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := jobs.StopResult{Worker: w.id, Task: req.Task, Run: req.Run, Status: jobs.CallFenced, ClockMs: w.clockMs()}
	if w.down {
		r.Status = jobs.CallNoAnswer
		return r
	}
	if token < w.token {
		return r
	}
	w.token, r.Status = token, jobs.CallOK
	w.highestRun[req.Task] = max(w.highestRun[req.Task], req.Run)
	if run := w.runs[req.Task]; run != nil && run.number <= req.Run && run.stopAt.IsZero() {
		run.stopAt = time.Now().Add(stopDelay)
	}
	return r
}

// RenewLease implements platform.SimulatedWorker. It returns when a run has ended or the
// wait of the request is over.
func (w *worker) RenewLease(ctx context.Context, token uint64, req jobs.SyncRequest) jobs.SyncResult {
	until := time.Now().Add(req.Wait)
	first := true
	for {
		r, changed := w.syncResult(token, &req, first)
		first = false
		remaining := time.Until(until)
		if r.Status != jobs.CallOK || len(r.Ends) > 0 || remaining <= 0 {
			return r
		}
		timer := time.NewTimer(remaining)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return jobs.SyncResult{Status: jobs.CallNoAnswer}
		}
		timer.Stop()
	}
}

// syncResult returns the state of the worker and the channel that is closed at the next
// end of a run. The first call for a request also extends the lease and removes the
// acknowledged ends.
func (w *worker) syncResult(token uint64, req *jobs.SyncRequest, first bool) (jobs.SyncResult, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := jobs.SyncResult{Worker: w.id, Status: jobs.CallFenced, ClockMs: w.clockMs(), Incarnation: w.Incarnation()}
	if w.down {
		r.Status = jobs.CallNoAnswer
		return r, w.changed
	}
	if token < w.token {
		return r, w.changed
	}
	w.token, r.Status = token, jobs.CallOK
	if first {
		w.extendLease(req.LeaseDeadlineMs)
		for len(w.unackedEnds) > 0 && w.unackedEnds[0].Seq <= req.AckCursor {
			w.checker.acknowledged(&w.unackedEnds[0])
			w.unackedEnds = w.unackedEnds[1:]
		}
	}
	for ref, run := range w.runs {
		percent := 0
		if run.workTime > 0 {
			percent = int(100 * (run.workTime - run.remaining) / run.workTime)
		}
		r.Running = append(r.Running, jobs.RunReport{Task: ref, Run: run.number, Percent: percent})
	}
	r.Ends = append(r.Ends, w.unackedEnds[:min(len(w.unackedEnds), endsPerPage)]...)
	for i := range r.Ends {
		if r.Ends[i].Seq > w.reportedSeq {
			w.reportedSeq = r.Ends[i].Seq
			w.checker.reported(&r.Ends[i])
		}
	}
	return r, w.changed
}

// advance advances the worker's runs by tickInterval, ends those that are due and reports
// whether one crashed the worker. The caller holds the checker's lock.
func (w *worker) advance(now time.Time) (crashed bool) {
	for _, r := range w.runs {
		if r.deadly && now.Sub(r.startedAt) >= deadlyDelay {
			w.crash()
			return true
		}
	}
	leaseExpired := w.clockMs() > w.leaseUntil
	if leaseExpired {
		for i := range w.unackedEnds {
			w.checker.recordLostEnd(&w.unackedEnds[i])
		}
	}
	for ref, r := range w.runs {
		switch {
		case leaseExpired:
			w.endRun(ref, r, jobs.EndLeaseExpired)
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			w.endRun(ref, r, jobs.EndStopped)
		case r.gangSize > 0 && !w.checker.gangComplete(ref, r):
			if now.Sub(r.startedAt) > gangTimeout {
				w.endRun(ref, r, jobs.EndGangIncomplete)
			}
		case w.fault == failsAll || r.willFail && r.remaining < r.workTime/2:
			w.endRun(ref, r, jobs.EndFailed)
		case w.fault == stalls:
		default:
			if r.remaining -= tickInterval; r.remaining <= 0 {
				w.checker.completeRun(ref, r, w)
			}
		}
	}
	return false
}

// gangComplete reports whether all members of a gang run on workers.
func (c *checker) gangComplete(ref jobs.TaskRef, r *workerRun) bool {
	for i := range r.gangSize {
		ref.Index = int32(i)
		found := false
		for _, number := range c.task(ref).running {
			found = found || number == r.number
		}
		if !found {
			return false
		}
	}
	return true
}

// completeRun ends a run as done, together with the other members of its gang.
func (c *checker) completeRun(ref jobs.TaskRef, r *workerRun, w *worker) {
	for i := range max(r.gangSize, 1) {
		member := ref
		if r.gangSize > 0 {
			member.Index = int32(i)
		}
		for other, number := range c.task(member).running {
			if number == r.number && (r.gangSize > 0 || other == w) {
				other.endRun(member, other.runs[member], jobs.EndDone)
			}
		}
	}
}

// endRun ends a run on the worker and does nothing if r is nil. Unless the run is done,
// the other members of its gang are aborted.
func (w *worker) endRun(ref jobs.TaskRef, r *workerRun, kind jobs.EndKind) {
	if r == nil {
		return
	}
	delete(w.runs, ref)
	w.highestRun[ref] = max(w.highestRun[ref], r.number)
	w.checker.recordEnd(w, ref, kind)
	w.lastEndSeq++
	w.unackedEnds = append(w.unackedEnds, jobs.RunEnd{Seq: w.lastEndSeq, Task: ref, Run: r.number, Kind: kind})
	close(w.changed)
	w.changed = make(chan struct{})
	if r.gangSize == 0 || kind == jobs.EndDone {
		return
	}
	for i := range r.gangSize {
		member := ref
		member.Index = int32(i)
		for other, number := range w.checker.task(member).running {
			if number == r.number {
				other.endRun(member, other.runs[member], jobs.EndGangAborted)
			}
		}
	}
}

// payload returns the payload of a job whose tasks run for the given time, and always
// fail if poison is set.
func payload(workTime time.Duration, poison bool) string {
	p := strconv.FormatInt(workTime.Milliseconds(), 10)
	if poison {
		return "!" + p
	}
	return p
}

// poisoned reports whether the runs of a job with the payload always fail.
func poisoned(payload string) bool { return payload != "" && payload[0] == '!' }

// Marks in front of the payload of a deadly job: the first task of its last step, or each
// task of that step, crashes the worker that starts it.
const (
	firstDeadlyMark = "*"
	allDeadlyMark   = "#"
)

// deadlyPayload returns a payload with a mark of a deadly job instead of its own.
func deadlyPayload(mark, payload string) string { return mark + strings.TrimPrefix(payload, "!") }

// parseWorkTime returns the run time in a payload, and 0 for an invalid one.
func parseWorkTime(payload string) time.Duration {
	ms, err := strconv.Atoi(strings.TrimLeft(payload, "!"+firstDeadlyMark+allDeadlyMark))
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
