package cellsoak

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/core/model"
)

// workerFault is how a worker misbehaves.
type workerFault uint8

const (
	healthy workerFault = iota
	// failsAll: every run fails at once.
	failsAll
	// stalls: runs make no progress.
	stalls
	// answersLate: some orders get no answer and are executed seconds later.
	executesLate
)

const (
	// leaseMax is the longest lease that a worker grants.
	leaseMax = 10 * time.Second
	// gangTimeout is how long members of a gang wait for the others.
	gangTimeout = 3 * time.Second
	// stopTime is how long a stop takes.
	stopDelay = 50 * time.Millisecond
	// workerTick is how often a worker looks at its runs.
	tickInterval = 10 * time.Millisecond
	// slowClock is how much slower than the real time half of the workers run.
	slowClockRate = 0.98
	// endsPerList is the number of ends in one answer.
	endsPerPage = 500
	// failShare is the part of the runs that fail on a healthy worker.
	failShare = 0.02
)

// worker simulates one worker: it starts whatever it is told, under leases.
type worker struct {
	checker   *checker
	id        model.WorkerID
	capacity  model.Size
	clockRate float64

	// mu is the world's, so that checks see all workers at one moment.
	mu               *sync.Mutex
	incarnationStart time.Time
	token            uint64
	leaseUntil       int64
	runs             map[jobs.TaskRef]*workerRun
	highestRun       map[jobs.TaskRef]int64
	unackedEnds      []jobs.RunEnd
	lastEndSeq       int64
	fault            workerFault
	rng              *rand.Rand
	// changed is closed and replaced with each end.
	changed chan struct{}
}

type workerRun struct {
	number    int64
	size      model.Size
	gangSize  int
	workTime  time.Duration
	startedAt time.Time
	remaining time.Duration
	stopAt    time.Time
	willFail  bool
}

func newWorker(c *checker, id model.WorkerID, capacity model.Size, seed uint64) *worker {
	n := &worker{checker: c, id: id, capacity: capacity, clockRate: 1, mu: &c.mu, rng: rand.New(rand.NewPCG(seed, uint64(len(id)))), changed: make(chan struct{})}
	if seed%2 == 0 {
		n.clockRate = slowClockRate
	}
	n.restart()
	return n
}

// reborn starts a life that knows nothing. The world's lock must be held, unless
// the worker is new.
func (n *worker) restart() {
	for ref := range n.runs {
		n.checker.recordEnd(n, ref, jobs.EndLeaseExpired)
	}
	for i := range n.unackedEnds {
		n.checker.recordLostEnd(&n.unackedEnds[i])
	}
	n.incarnationStart, n.token, n.leaseUntil = time.Now(), 0, 0
	n.runs, n.highestRun, n.unackedEnds, n.lastEndSeq = map[jobs.TaskRef]*workerRun{}, map[jobs.TaskRef]int64{}, nil, 0
}

// ID implements platform.WorkerBackend.
func (n *worker) ID() model.WorkerID { return n.id }

// Life implements platform.WorkerBackend.
func (n *worker) Incarnation() int64 { return n.incarnationStart.UnixMilli() }

func (n *worker) clockMs() int64 {
	return int64(float64(time.Since(n.incarnationStart).Milliseconds()) * n.clockRate)
}

// extend grants a lease up to a time on the worker's clock.
func (n *worker) extendLease(deadline int64) {
	n.leaseUntil = max(n.leaseUntil, min(deadline, n.clockMs()+leaseMax.Milliseconds()))
}

// leaveUnanswered reports whether a start is left without an answer, to be
// executed seconds later, unless the worker's life has ended by then.
func (n *worker) delayStart(token uint64, o *jobs.StartRequest) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.fault != executesLate || n.rng.IntN(4) > 0 {
		return false
	}
	incarnation := n.incarnationStart
	time.AfterFunc(time.Duration(2000+n.rng.IntN(4000))*time.Millisecond, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.incarnationStart.Equal(incarnation) {
			n.start(token, o)
		}
	})
	return true
}

// Start implements platform.WorkerBackend.
func (n *worker) Start(_ context.Context, token uint64, o jobs.StartRequest) jobs.StartResult {
	r := jobs.StartResult{Worker: n.id, Task: o.Task, Run: o.Run, Status: jobs.CallNoAnswer}
	if n.delayStart(token, &o) {
		return r
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	r.Status, r.ClockMs = n.start(token, &o)
	return r
}

// start executes a start. The world's lock must be held.
func (n *worker) start(token uint64, o *jobs.StartRequest) (jobs.CallStatus, int64) {
	if token < n.token {
		return jobs.CallFenced, n.clockMs()
	}
	n.token = token
	if r := n.runs[o.Task]; r != nil && r.number == o.Run {
		return jobs.CallOK, n.clockMs()
	}
	if o.Run <= n.highestRun[o.Task] {
		n.extendLease(o.LeaseDeadlineMs)
		return jobs.CallStaleRun, n.clockMs()
	}
	if o.LeaseDeadlineMs <= n.clockMs() {
		return jobs.CallDeadlinePassed, n.clockMs()
	}
	n.extendLease(o.LeaseDeadlineMs)
	n.checker.started(n, o, n.usedCapacity())
	n.highestRun[o.Task] = max(n.highestRun[o.Task], o.Run-1)
	n.runs[o.Task] = n.newRun(o)
	return jobs.CallOK, n.clockMs()
}

func (n *worker) newRun(o *jobs.StartRequest) *workerRun {
	r := &workerRun{number: o.Run, startedAt: time.Now(), workTime: parseWorkTime(o.Payload), willFail: n.rng.Float64() < failShare || poisoned(o.Payload)}
	if step := n.checker.step(o.Task); step != nil {
		r.size = step.Size
		if step.Gang {
			r.gangSize = step.Count
		}
	}
	r.remaining = r.workTime
	return r
}

func (n *worker) usedCapacity() model.Size {
	var sum model.Size
	for _, r := range n.runs {
		sum = sum.Add(r.size)
	}
	return sum
}

// Stop implements platform.WorkerBackend.
func (n *worker) Stop(_ context.Context, token uint64, o jobs.StopRequest) jobs.StopResult {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := jobs.StopResult{Worker: n.id, Task: o.Task, Run: o.Run, Status: jobs.CallFenced, ClockMs: n.clockMs()}
	if token < n.token {
		return r
	}
	n.token, r.Status = token, jobs.CallOK
	n.highestRun[o.Task] = max(n.highestRun[o.Task], o.Run)
	if run := n.runs[o.Task]; run != nil && run.number <= o.Run && run.stopAt.IsZero() {
		run.stopAt = time.Now().Add(stopDelay)
	}
	return r
}

// Hold implements platform.WorkerBackend.
func (n *worker) RenewLease(ctx context.Context, token uint64, o jobs.SyncRequest) jobs.SyncResult {
	until := time.Now().Add(o.Wait)
	first := true
	for {
		r, changed := n.syncResult(token, &o, first)
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

func (n *worker) syncResult(token uint64, o *jobs.SyncRequest, first bool) (jobs.SyncResult, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := jobs.SyncResult{Worker: n.id, Status: jobs.CallFenced, ClockMs: n.clockMs(), Incarnation: n.Incarnation()}
	if token < n.token {
		return r, n.changed
	}
	n.token, r.Status = token, jobs.CallOK
	if first {
		n.extendLease(o.LeaseDeadlineMs)
		for len(n.unackedEnds) > 0 && n.unackedEnds[0].Seq <= o.AckCursor {
			n.checker.acknowledged(&n.unackedEnds[0])
			n.unackedEnds = n.unackedEnds[1:]
		}
	}
	for ref, run := range n.runs {
		percent := 0
		if run.workTime > 0 {
			percent = int(100 * (run.workTime - run.remaining) / run.workTime)
		}
		r.Running = append(r.Running, jobs.RunReport{Task: ref, Run: run.number, Percent: percent})
	}
	r.Ends = append(r.Ends, n.unackedEnds[:min(len(n.unackedEnds), endsPerPage)]...)
	return r, n.changed
}

// advance lets the worker's runs go on for a tick. The world's lock must be held.
func (n *worker) advance(now time.Time) {
	leaseExpired := n.clockMs() > n.leaseUntil
	if leaseExpired {
		for i := range n.unackedEnds {
			n.checker.recordLostEnd(&n.unackedEnds[i])
		}
	}
	for ref, r := range n.runs {
		switch {
		case leaseExpired:
			n.endRun(ref, r, jobs.EndLeaseExpired)
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			n.endRun(ref, r, jobs.EndStopped)
		case r.gangSize > 0 && !n.checker.gangPresent(ref, r):
			if now.Sub(r.startedAt) > gangTimeout {
				n.endRun(ref, r, jobs.EndGangIncomplete)
			}
		case n.fault == failsAll || r.willFail && r.remaining < r.workTime/2:
			n.endRun(ref, r, jobs.EndFailed)
		case n.fault == stalls:
		default:
			if r.remaining -= tickInterval; r.remaining <= 0 {
				n.checker.completeRun(ref, r, n)
			}
		}
	}
}

// present reports whether all members of a gang's run are on workers.
func (c *checker) gangPresent(ref jobs.TaskRef, r *workerRun) bool {
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

// finish ends a run as done, and the other members of its gang with it.
func (c *checker) completeRun(ref jobs.TaskRef, r *workerRun, on *worker) {
	for i := range max(r.gangSize, 1) {
		member := ref
		if r.gangSize > 0 {
			member.Index = int32(i)
		}
		for other, number := range c.task(member).running {
			if number == r.number && (r.gangSize > 0 || other == on) {
				other.endRun(member, other.runs[member], jobs.EndDone)
			}
		}
	}
}

// end ends a run on the worker. A gang that loses a member is broken.
func (n *worker) endRun(ref jobs.TaskRef, r *workerRun, how jobs.EndKind) {
	if r == nil {
		return
	}
	delete(n.runs, ref)
	n.highestRun[ref] = max(n.highestRun[ref], r.number)
	n.checker.recordEnd(n, ref, how)
	n.lastEndSeq++
	n.unackedEnds = append(n.unackedEnds, jobs.RunEnd{Seq: n.lastEndSeq, Task: ref, Run: r.number, Kind: how})
	close(n.changed)
	n.changed = make(chan struct{})
	if r.gangSize == 0 || how == jobs.EndDone {
		return
	}
	for i := range r.gangSize {
		member := ref
		member.Index = int32(i)
		for other, number := range n.checker.task(member).running {
			if number == r.number {
				other.endRun(member, other.runs[member], jobs.EndGangAborted)
			}
		}
	}
}

// payload returns the payload of a job whose tasks take a time, and fail for ever
// if it is poisoned.
func payload(workTime time.Duration, poison bool) string {
	p := strconv.FormatInt(workTime.Milliseconds(), 10)
	if poison {
		return "!" + p
	}
	return p
}

func poisoned(payload string) bool { return payload != "" && payload[0] == '!' }

func parseWorkTime(payload string) time.Duration {
	if poisoned(payload) {
		payload = payload[1:]
	}
	ms, err := strconv.Atoi(payload)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
