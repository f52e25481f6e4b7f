// Package workerd implements a stand-in for the platform's workers. A worker
// grants leases by its own clock and starts every task that it receives from the
// lease holder. It counts starts above its capacity and double starts instead of
// refusing them, so that tests detect scheduler errors.
package workerd

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/standin/harness"
	"catkinvalve/internal/standinapi"
)

// bootCounter makes boot IDs unique within the process.
var bootCounter atomic.Int64

func newBootID() string {
	return strconv.FormatInt(time.Now().UnixNano(), 36) + "-" + strconv.FormatInt(bootCounter.Add(1), 36)
}

// Config holds the settings that all workers of a fleet share.
type Config struct {
	Capacity model.Size
	// UsageLag is the age of usage measurements.
	UsageLag time.Duration
	// UsagePeriod is the minimum time between two measurements of a task.
	UsagePeriod time.Duration
	// FinishedRetention is how long an ended task stays in the inventory after its
	// final event was acknowledged.
	FinishedRetention time.Duration
}

// lease is the last lease that the worker granted since it booted. The zero value
// means that none was granted.
type lease struct {
	holder  string
	term    uint64
	expires time.Time
	grace   time.Duration
}

func (l *lease) current(now time.Time) bool { return l.holder != "" && now.Before(l.expires) }

func (l *lease) matches(holder string, term uint64, now time.Time) bool {
	return l.current(now) && l.holder == holder && l.term == term
}

// Worker is one worker. A simulated crash discards its state but not its counters.
type Worker struct {
	cfg         Config
	faults      *harness.FaultInjector
	startCounts *startCounts

	mu           sync.Mutex
	info         standinapi.WorkerInfo
	lease        lease
	graceTimer   *time.Timer
	tasks        map[taskRef]*task
	running      map[taskRef]*task
	endedTasks   []*task // in the order in which they ended
	inUse        model.Size
	events       []standinapi.TaskEvent // not acknowledged yet, in order of Seq
	lastEventSeq int64
	changed      chan struct{} // closed and replaced on each event, crash, grant and release
	closed       bool

	failAll         bool
	duplicateEvents bool
	reorderEvents   bool
	stats           standinapi.WorkerStats
}

func newWorker(cfg Config, info standinapi.WorkerInfo, startCounts *startCounts) *Worker {
	info.Capacity = cfg.Capacity
	info.BootID = newBootID()
	return &Worker{
		cfg: cfg, info: info, startCounts: startCounts,
		faults: harness.NewFaultInjector(fault.WorkerUnavailable, "/v1/tasks"),
		tasks:  map[taskRef]*task{}, running: map[taskRef]*task{}, changed: make(chan struct{}),
	}
}

// acquireLease grants the lease or returns the current holder. It refuses if
// another holder's lease has not expired, if the term is below the highest term
// granted, or if another holder uses that same term.
func (w *Worker) acquireLease(in standinapi.LeaseRequest, now time.Time) (standinapi.LeaseGrant, *standinapi.LeaseHeldReply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	sameHolder := w.lease.holder == in.Holder
	heldByOther := w.lease.current(now) && !sameHolder
	staleTerm := w.lease.holder != "" && (in.Term < w.lease.term || (!sameHolder && in.Term == w.lease.term))
	if heldByOther || staleTerm {
		w.stats.LeaseRefusals++
		remaining := max(0, w.lease.expires.Sub(now))
		return standinapi.LeaseGrant{}, &standinapi.LeaseHeldReply{
			Holder: w.lease.holder, Term: w.lease.term, RemainingMS: ceilMS(remaining),
		}
	}
	w.lease = lease{
		holder: in.Holder, term: in.Term, grace: time.Duration(in.TaskGraceMS) * time.Millisecond,
		expires: now.Add(time.Duration(in.TTLMS) * time.Millisecond),
	}
	for _, t := range w.running {
		t.measuredAt = time.Time{}
	}
	w.resetGraceTimer(now)
	w.notifyChanged()
	return standinapi.LeaseGrant{BootID: w.info.BootID, Term: in.Term, Tasks: w.inventory(now)}, nil
}

// ceilMS converts to milliseconds and rounds up, so that the lease has expired for
// a caller that waits this long.
func ceilMS(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// releaseLease lets the lease expire at now. It returns false if the caller does
// not hold the lease.
func (w *Worker) releaseLease(in standinapi.LeaseRequest, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.checkLease(in.Holder, in.Term, now) {
		return false
	}
	w.lease.expires = now
	w.resetGraceTimer(now)
	w.notifyChanged()
	return true
}

// checkLease reports whether the holder has the lease with this term. It counts a
// refusal if not. The caller holds mu.
func (w *Worker) checkLease(holder string, term uint64, now time.Time) bool {
	if w.lease.matches(holder, term, now) {
		return true
	}
	w.stats.LeaseRefusals++
	return false
}

// resetGraceTimer schedules the stop of all tasks for the end of the lease's grace
// period. The caller holds mu.
func (w *Worker) resetGraceTimer(now time.Time) {
	if w.closed {
		return
	}
	d := w.lease.expires.Add(w.lease.grace).Sub(now)
	if w.graceTimer == nil {
		w.graceTimer = time.AfterFunc(d, w.stopTasksAfterGrace)
		return
	}
	w.graceTimer.Reset(d)
}

// stopTasksAfterGrace stops all tasks unless the lease was renewed while the timer
// fired.
func (w *Worker) stopTasksAfterGrace() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.closed || now.Before(w.lease.expires.Add(w.lease.grace)) {
		return
	}
	for _, t := range w.running {
		w.endTask(t, model.TaskStopped, now)
	}
}

// notifyChanged wakes all waiting long polls. The caller holds mu.
func (w *Worker) notifyChanged() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// inventory returns the running tasks and the ended tasks that are still retained.
// The caller holds mu.
func (w *Worker) inventory(now time.Time) []standinapi.TaskStatus {
	w.pruneEndedTasks(now)
	out := make([]standinapi.TaskStatus, 0, len(w.tasks))
	for ref, t := range w.tasks {
		out = append(out, standinapi.TaskStatus{
			ID: ref.id, Attempt: ref.attempt, Key: t.spec.Key, Service: t.spec.Service, Size: t.spec.Size,
			State: t.state, OK: t.state == model.TaskDone, Answer: t.answer,
		})
	}
	return out
}

// crash simulates a restart of the instance: tasks, events and the lease are lost
// and the boot ID changes.
func (w *Worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.running {
		w.removeRunning(t, model.TaskLost)
	}
	w.tasks, w.endedTasks, w.events, w.lastEventSeq = map[taskRef]*task{}, nil, nil, 0
	w.lease = lease{}
	w.info.BootID = newBootID()
	w.notifyChanged()
}

// close stops all timers and removes all running tasks.
func (w *Worker) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	if w.graceTimer != nil {
		w.graceTimer.Stop()
	}
	for _, t := range w.running {
		w.removeRunning(t, model.TaskLost)
	}
}

func (w *Worker) snapshot() standinapi.WorkerStats {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := w.stats
	out.BootID, out.Holder, out.Term = w.info.BootID, w.lease.holder, w.lease.term
	out.Running, out.InUse, out.Capacity = len(w.running), w.inUse, w.info.Capacity
	return out
}

func (w *Worker) resetStats() {
	w.faults.Reset()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failAll, w.duplicateEvents, w.reorderEvents = false, false, false
	w.stats = standinapi.WorkerStats{Addr: w.stats.Addr, MaxInUse: w.inUse}
}
