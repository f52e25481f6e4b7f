package daemon

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/scheduler"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/ports"
)

const (
	// agentQueueSize bounds the batches that are queued for one worker.
	agentQueueSize = 1024
	// retryDelay is the delay before a failed call to a worker or to a peer is
	// repeated.
	retryDelay = 100 * time.Millisecond
	// minSyncWait is the shortest wait that a sync asks for, so that a slow
	// worker is not polled in a tight loop.
	minSyncWait = 10 * time.Millisecond
	// overheadDecay is the divisor of the decay: after a sync that did not exceed
	// the estimated overhead, the estimate shrinks by 1/overheadDecay.
	overheadDecay = 16
	// maxMergedStarts ends the merging of queued batches: a batch with this many
	// starts is sent without adding further ones.
	maxMergedStarts = 256
)

// agentBatch is a batch of starts or stops for one worker.
type agentBatch struct {
	// term is the lease term for which the starts were decided. They must not be
	// sent under a later one: its inventory has already reported these tasks as
	// missing, so the scheduler may have placed them again.
	term   uint64
	starts []scheduler.Start
	stops  []scheduler.Stop
}

// agent handles the communication with one worker. One goroutine acquires and
// renews the lease, another sends starts and stops under it, in order.
type agent struct {
	d      *Daemon
	id     model.WorkerID
	worker ports.Worker
	// wantedTerm is the lowest term at which to hold the lease; 0 means to hold
	// no lease.
	wantedTerm atomic.Uint64
	// termRaiseAllowed permits terms above wantedTerm. It is set when a campaign
	// has won its majority.
	termRaiseAllowed atomic.Bool
	wake             chan struct{}
	queue            chan agentBatch
	// overhead is the estimated time that a sync takes beyond the wait that it
	// asked for. Only the goroutine of maintainLease uses it.
	overhead time.Duration
	// held is the term of the current lease; 0 when none.
	held   atomic.Uint64
	cancel context.CancelFunc
	done   sync.WaitGroup
}

func newAgent(d *Daemon, id model.WorkerID, w ports.Worker) *agent {
	ctx, cancel := context.WithCancel(d.ctx)
	a := &agent{d: d, id: id, worker: w, wake: make(chan struct{}, 1), queue: make(chan agentBatch, agentQueueSize), cancel: cancel}
	a.done.Add(2)
	d.group.Go(func() { defer a.done.Done(); a.maintainLease(ctx) })
	d.group.Go(func() { defer a.done.Done(); a.sendBatches(ctx) })
	return a
}

// campaign makes the agent acquire the lease with exactly the given term, until
// allowTermRaise is called.
func (a *agent) campaign(term uint64) {
	a.termRaiseAllowed.Store(false)
	a.wantedTerm.Store(term)
	// A lease of an earlier ownership does not count for the campaign, whatever
	// its term is.
	a.held.Store(0)
	a.interrupt()
}

// allowTermRaise lets the agent acquire the lease with a higher term than the
// campaign's. Until a campaign has won, all leases need its term, because the
// owner's term must exceed every term granted before by a majority of the workers.
func (a *agent) allowTermRaise() { a.termRaiseAllowed.Store(true) }

// requestRelease makes the agent give up its lease in the background.
func (a *agent) requestRelease() {
	a.wantedTerm.Store(0)
	a.interrupt()
}

func (a *agent) stop() { a.cancel() }

// interrupt wakes the goroutine of maintainLease from sleep.
func (a *agent) interrupt() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// enqueue queues a batch without blocking. A full queue means that the worker does
// not answer: the starts were never sent, so they are reported as not started,
// and the stops are queued in the background.
func (a *agent) enqueue(b agentBatch) {
	select {
	case a.queue <- b:
		return
	default:
	}
	a.d.metrics.agentQueueFull.Inc(1)
	a.reportNotStarted(b.starts)
	if len(b.stops) > 0 {
		a.d.group.Go(func() {
			select {
			case a.queue <- agentBatch{stops: b.stops}:
			case <-a.d.ctx.Done():
			}
		})
	}
}

// reportNotStarted reports starts that were not sent. It does so in the
// background, since the caller may be the owner loop, which must not block.
func (a *agent) reportNotStarted(starts []scheduler.Start) {
	if len(starts) == 0 {
		return
	}
	a.d.group.Go(func() { a.d.sendControl(tasksNotStartedMsg{a.id, starts}) })
}

// maintainLease acquires the lease while it is wanted, renews it, and reports
// the worker's events to the owner loop.
func (a *agent) maintainLease(ctx context.Context) {
	var ack int64
	var lastTerm uint64
	for ctx.Err() == nil {
		wantedTerm := a.wantedTerm.Load()
		switch {
		case wantedTerm == 0:
			a.releaseLease(ctx)
			a.sleep(ctx, time.Hour)
		case a.held.Load() < wantedTerm:
			var ok bool
			if lastTerm, ok = a.acquire(ctx, wantedTerm, lastTerm); ok {
				ack = 0
			}
		default:
			ack = a.sync(ctx, ack)
		}
	}
}

func (a *agent) lease(term uint64) ports.Lease {
	return ports.Lease{Holder: a.d.holder, Term: term}
}

// releaseLease releases the current lease, if any. A failure is ignored, because the
// lease expires by itself.
func (a *agent) releaseLease(ctx context.Context) {
	term := a.held.Swap(0)
	if term == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, a.d.set.Timings.RenewInterval)
	defer cancel()
	_ = a.worker.Release(ctx, a.lease(term))
}

// acquire asks for the lease once and sleeps if it isn't granted. It returns the
// highest term that the worker is known to have granted, and whether the lease
// is held.
func (a *agent) acquire(ctx context.Context, wantedTerm, lastTerm uint64) (uint64, bool) {
	term := wantedTerm
	if a.termRaiseAllowed.Load() && lastTerm >= term {
		term = lastTerm + 1
	}
	sentAt := a.d.now()
	callCtx, cancel := context.WithTimeout(ctx, a.d.set.Timings.LeaseTTL)
	defer cancel()
	grant, err := a.worker.Acquire(callCtx, a.lease(term), a.d.set.Timings.LeaseTTL, a.d.set.Timings.TaskGrace)
	var held *ports.LeaseHeldError
	switch {
	case err == nil:
		a.held.Store(term)
		if now := a.wantedTerm.Load(); now != 0 && now != wantedTerm {
			a.held.CompareAndSwap(term, 0) // a new campaign has started during the call
			return term, false
		}
		a.d.sendControl(leaseGrantedMsg{a.id, term, sentAt, grant})
		return term, true
	case errors.As(err, &held):
		a.d.sendControl(leaseHeldMsg{a.id, held.Lease.Term})
		a.sleep(ctx, min(max(held.Remaining, retryDelay/4), a.d.set.Timings.LeaseTTL))
		return max(lastTerm, held.Lease.Term), false
	default:
		a.sleep(ctx, retryDelay)
		return lastTerm, false
	}
}

// sync renews the lease and passes the worker's events to the owner loop. It
// returns the sequence number to acknowledge next, which after a failure is ack.
func (a *agent) sync(ctx context.Context, ack int64) int64 {
	term := a.held.Load()
	sentAt := a.d.now()
	callCtx, cancel := context.WithTimeout(ctx, a.d.set.Timings.LeaseTTL)
	defer cancel()
	wait := max(a.d.set.Timings.RenewInterval-a.overhead, minSyncWait)
	res, err := a.worker.Sync(callCtx, a.lease(term), a.d.set.Timings.LeaseTTL, ack, wait)
	a.updateOverhead(a.d.now().Sub(sentAt) - wait)
	if err != nil {
		a.handleSyncError(ctx, term, err)
		return ack
	}
	for _, ev := range res.Events {
		ack = max(ack, ev.Seq)
	}
	a.d.sendControl(leaseRenewedMsg{a.id, term, sentAt, res})
	return ack
}

// updateOverhead updates the estimated overhead from excess, the time that a sync
// took beyond its wait. A slow worker is asked to wait for a shorter time, so
// that the lease is renewed in time.
func (a *agent) updateOverhead(excess time.Duration) {
	if excess > a.overhead {
		a.overhead = excess
		return
	}
	// A sync with events returns early and does not show the overhead, so the
	// estimate only decays.
	a.overhead -= a.overhead / overheadDecay
}

// handleSyncError marks the lease as lost if the worker no longer accepts it, and
// sleeps before the next call.
func (a *agent) handleSyncError(ctx context.Context, term uint64, err error) {
	if fault.KindOf(err) == fault.LeaseLost {
		a.markLeaseLost(term)
	}
	a.sleep(ctx, retryDelay)
}

// markLeaseLost reports the lease of a term as lost and makes the agent acquire it
// again with a higher term.
func (a *agent) markLeaseLost(term uint64) {
	if a.held.CompareAndSwap(term, 0) {
		a.d.sendControl(leaseLostMsg{a.id, term})
		a.interrupt()
	}
}

// reacquire makes the agent acquire the lease again. The owner loop calls it when
// the lease has expired by its own clock.
func (a *agent) reacquire() {
	a.held.Store(0)
	a.interrupt()
}

// sleep waits for d, or until ctx ends or interrupt is called.
func (a *agent) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-a.wake:
	case <-t.C:
	}
}
