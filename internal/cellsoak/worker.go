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
	answersLate
)

const (
	// leaseMax is the longest lease that a worker grants.
	leaseMax = 10 * time.Second
	// gangTimeout is how long members of a gang wait for the others.
	gangTimeout = 3 * time.Second
	// stopTime is how long a stop takes.
	stopTime = 50 * time.Millisecond
	// workerTick is how often a worker looks at its runs.
	workerTick = 10 * time.Millisecond
	// slowClock is how much slower than the real time half of the workers run.
	slowClock = 0.98
	// endsPerList is the number of ends in one answer.
	endsPerList = 500
	// failShare is the part of the runs that fail on a healthy worker.
	failShare = 0.02
)

// worker simulates one worker: it starts whatever it is told, under leases.
type worker struct {
	world    *world
	id       model.WorkerID
	capacity model.Size
	pace     float64

	// mu is the world's, so that checks see all workers at one moment.
	mu      *sync.Mutex
	born    time.Time
	token   uint64
	lease   int64
	runs    map[jobs.TaskRef]*workerRun
	highest map[jobs.TaskRef]int64
	ends    []jobs.RunEnd
	nextEnd int64
	fault   workerFault
	rng     *rand.Rand
	// changed is closed and replaced with each end.
	changed chan struct{}
}

type workerRun struct {
	number   int64
	size     model.Size
	gang     int
	work     time.Duration
	came     time.Time
	left     time.Duration
	stopAt   time.Time
	willFail bool
}

func newWorker(w *world, id model.WorkerID, capacity model.Size, seed uint64) *worker {
	n := &worker{world: w, id: id, capacity: capacity, pace: 1, mu: &w.mu, rng: rand.New(rand.NewPCG(seed, uint64(len(id)))), changed: make(chan struct{})}
	if seed%2 == 0 {
		n.pace = slowClock
	}
	n.reborn()
	return n
}

// reborn starts a life that knows nothing. The world's lock must be held, unless
// the worker is new.
func (n *worker) reborn() {
	for ref := range n.runs {
		n.world.ended(n, ref, jobs.EndLeaseExpired)
	}
	for i := range n.ends {
		n.world.lost(&n.ends[i])
	}
	n.born, n.token, n.lease = time.Now(), 0, 0
	n.runs, n.highest, n.ends, n.nextEnd = map[jobs.TaskRef]*workerRun{}, map[jobs.TaskRef]int64{}, nil, 0
}

// ID implements platform.WorkerBackend.
func (n *worker) ID() model.WorkerID { return n.id }

// Life implements platform.WorkerBackend.
func (n *worker) Incarnation() int64 { return n.born.UnixMilli() }

func (n *worker) clock() int64 {
	return int64(float64(time.Since(n.born).Milliseconds()) * n.pace)
}

// extend grants a lease up to a time on the worker's clock.
func (n *worker) extend(deadline int64) {
	n.lease = max(n.lease, min(deadline, n.clock()+leaseMax.Milliseconds()))
}

// leaveUnanswered reports whether a start is left without an answer, to be
// executed seconds later, unless the worker's life has ended by then.
func (n *worker) leaveUnanswered(token uint64, o *jobs.StartRequest) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.fault != answersLate || n.rng.IntN(4) > 0 {
		return false
	}
	life := n.born
	time.AfterFunc(time.Duration(2000+n.rng.IntN(4000))*time.Millisecond, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.born.Equal(life) {
			n.start(token, o)
		}
	})
	return true
}

// Start implements platform.WorkerBackend.
func (n *worker) Start(_ context.Context, token uint64, o jobs.StartRequest) jobs.StartResult {
	r := jobs.StartResult{Worker: n.id, Task: o.Task, Run: o.Run, Status: jobs.CallNoAnswer}
	if n.leaveUnanswered(token, &o) {
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
		return jobs.CallFenced, n.clock()
	}
	n.token = token
	if r := n.runs[o.Task]; r != nil && r.number == o.Run {
		return jobs.CallOK, n.clock()
	}
	if o.Run <= n.highest[o.Task] {
		n.extend(o.LeaseDeadlineMs)
		return jobs.CallStaleRun, n.clock()
	}
	if o.LeaseDeadlineMs <= n.clock() {
		return jobs.CallDeadlinePassed, n.clock()
	}
	n.extend(o.LeaseDeadlineMs)
	n.world.started(n, o, n.used())
	n.highest[o.Task] = max(n.highest[o.Task], o.Run-1)
	n.runs[o.Task] = n.newRun(o)
	return jobs.CallOK, n.clock()
}

func (n *worker) newRun(o *jobs.StartRequest) *workerRun {
	r := &workerRun{number: o.Run, came: time.Now(), work: workOf(o.Payload), willFail: n.rng.Float64() < failShare || poisoned(o.Payload)}
	if step := n.world.step(o.Task); step != nil {
		r.size = step.Size
		if step.Gang {
			r.gang = step.Count
		}
	}
	r.left = r.work
	return r
}

func (n *worker) used() model.Size {
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
	r := jobs.StopResult{Worker: n.id, Task: o.Task, Run: o.Run, Status: jobs.CallFenced, ClockMs: n.clock()}
	if token < n.token {
		return r
	}
	n.token, r.Status = token, jobs.CallOK
	n.highest[o.Task] = max(n.highest[o.Task], o.Run)
	if run := n.runs[o.Task]; run != nil && run.number <= o.Run && run.stopAt.IsZero() {
		run.stopAt = time.Now().Add(stopTime)
	}
	return r
}

// Hold implements platform.WorkerBackend.
func (n *worker) RenewLease(ctx context.Context, token uint64, o jobs.SyncRequest) jobs.SyncResult {
	until := time.Now().Add(o.Wait)
	first := true
	for {
		r, changed := n.lists(token, &o, first)
		first = false
		left := time.Until(until)
		if r.Status != jobs.CallOK || len(r.Ends) > 0 || left <= 0 {
			return r
		}
		timer := time.NewTimer(left)
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

func (n *worker) lists(token uint64, o *jobs.SyncRequest, first bool) (jobs.SyncResult, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := jobs.SyncResult{Worker: n.id, Status: jobs.CallFenced, ClockMs: n.clock(), Incarnation: n.Incarnation()}
	if token < n.token {
		return r, n.changed
	}
	n.token, r.Status = token, jobs.CallOK
	if first {
		n.extend(o.LeaseDeadlineMs)
		for len(n.ends) > 0 && n.ends[0].Seq <= o.AckCursor {
			n.world.noted(&n.ends[0])
			n.ends = n.ends[1:]
		}
	}
	for ref, run := range n.runs {
		percent := 0
		if run.work > 0 {
			percent = int(100 * (run.work - run.left) / run.work)
		}
		r.Running = append(r.Running, jobs.RunReport{Task: ref, Run: run.number, Percent: percent})
	}
	r.Ends = append(r.Ends, n.ends[:min(len(n.ends), endsPerList)]...)
	return r, n.changed
}

// advance lets the worker's runs go on for a tick. The world's lock must be held.
func (n *worker) advance(now time.Time) {
	lapsed := n.clock() > n.lease
	if lapsed {
		for i := range n.ends {
			n.world.lost(&n.ends[i])
		}
	}
	for ref, r := range n.runs {
		switch {
		case lapsed:
			n.end(ref, r, jobs.EndLeaseExpired)
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			n.end(ref, r, jobs.EndStopped)
		case r.gang > 0 && !n.world.present(ref, r):
			if now.Sub(r.came) > gangTimeout {
				n.end(ref, r, jobs.EndGangIncomplete)
			}
		case n.fault == failsAll || r.willFail && r.left < r.work/2:
			n.end(ref, r, jobs.EndFailed)
		case n.fault == stalls:
		default:
			if r.left -= workerTick; r.left <= 0 {
				n.world.finish(ref, r, n)
			}
		}
	}
}

// present reports whether all members of a gang's run are on workers.
func (w *world) present(ref jobs.TaskRef, r *workerRun) bool {
	for i := range r.gang {
		ref.Index = int32(i)
		found := false
		for _, number := range w.task(ref).running {
			found = found || number == r.number
		}
		if !found {
			return false
		}
	}
	return true
}

// finish ends a run as done, and the other members of its gang with it.
func (w *world) finish(ref jobs.TaskRef, r *workerRun, on *worker) {
	for i := range max(r.gang, 1) {
		member := ref
		if r.gang > 0 {
			member.Index = int32(i)
		}
		for other, number := range w.task(member).running {
			if number == r.number && (r.gang > 0 || other == on) {
				other.end(member, other.runs[member], jobs.EndDone)
			}
		}
	}
}

// end ends a run on the worker. A gang that loses a member is broken.
func (n *worker) end(ref jobs.TaskRef, r *workerRun, how jobs.EndKind) {
	if r == nil {
		return
	}
	delete(n.runs, ref)
	n.highest[ref] = max(n.highest[ref], r.number)
	n.world.ended(n, ref, how)
	n.nextEnd++
	n.ends = append(n.ends, jobs.RunEnd{Seq: n.nextEnd, Task: ref, Run: r.number, Kind: how})
	close(n.changed)
	n.changed = make(chan struct{})
	if r.gang == 0 || how == jobs.EndDone {
		return
	}
	for i := range r.gang {
		member := ref
		member.Index = int32(i)
		for other, number := range n.world.task(member).running {
			if number == r.number {
				other.end(member, other.runs[member], jobs.EndGangAborted)
			}
		}
	}
}

// payload returns the payload of a job whose tasks take a time, and fail for ever
// if it is poisoned.
func payload(work time.Duration, poison bool) string {
	p := strconv.FormatInt(work.Milliseconds(), 10)
	if poison {
		return "!" + p
	}
	return p
}

func poisoned(payload string) bool { return payload != "" && payload[0] == '!' }

func workOf(payload string) time.Duration {
	if poisoned(payload) {
		payload = payload[1:]
	}
	ms, err := strconv.Atoi(payload)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
