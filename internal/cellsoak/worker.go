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
	// endsPerPage is the largest number of ended runs in one response.
	endsPerPage = 500
	// failShare is the fraction of runs that fail on a healthy worker.
	failShare = 0.02
)

// worker simulates one worker. It executes every start that the protocol allows, so that
// the checker sees wrong ones, and ends its runs when its lease expires.
type worker struct {
	checker   *checker
	id        model.WorkerID
	capacity  model.Size
	clockRate float64

	// mu is the checker's, so that checks see a consistent state of all workers.
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
	// changed is closed and replaced whenever a run ends.
	changed chan struct{}
}

// workerRun is a run of a task on a worker.
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

// restart begins a new incarnation without any state of the previous one. The caller
// holds the checker's lock, unless the worker is new.
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

// ID implements platform.SimulatedWorker.
func (n *worker) ID() model.WorkerID { return n.id }

// Incarnation implements platform.SimulatedWorker.
func (n *worker) Incarnation() int64 { return n.incarnationStart.UnixMilli() }

// clockMs returns the milliseconds since the start of the incarnation on the worker's
// clock.
func (n *worker) clockMs() int64 {
	return int64(float64(time.Since(n.incarnationStart).Milliseconds()) * n.clockRate)
}

// extendLease extends the lease to a time on the worker's clock in milliseconds, but no
// longer than leaseMax from now.
func (n *worker) extendLease(deadline int64) {
	n.leaseUntil = max(n.leaseUntil, min(deadline, n.clockMs()+leaseMax.Milliseconds()))
}

// delayStart reports whether a start gets no response because of the worker's fault. Such
// a start is executed 2 to 6 s later if the worker has not restarted by then.
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

// Start implements platform.SimulatedWorker.
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

// start executes a start request and returns its status and the worker's clock in
// milliseconds. The caller holds the checker's lock.
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

// Stop implements platform.SimulatedWorker.
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

// RenewLease implements platform.SimulatedWorker. It returns when a run has ended or the
// wait of the request is over.
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

// syncResult returns the state of the worker and the channel that is closed at the next
// end of a run. The first call for a request also extends the lease and removes the
// acknowledged ends.
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

// advance advances the worker's runs by tickInterval and ends those that are due. The
// caller holds the checker's lock.
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

// gangPresent reports whether all members of a gang run on workers.
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

// completeRun ends a run as done, together with the other members of its gang.
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

// endRun ends a run on the worker. Unless it is done, the other members of its gang are
// aborted.
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

// payload returns the payload of a job whose tasks run for the given time, and always
// fail if poison is set.
func payload(workTime time.Duration, poison bool) string {
	p := strconv.FormatInt(workTime.Milliseconds(), 10)
	if poison {
		return "!" + p
	}
	return p
}

func poisoned(payload string) bool { return payload != "" && payload[0] == '!' }

// parseWorkTime returns the run time in a payload, and 0 for an invalid one.
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
