package soak

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"catkinvalve/internal/api"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/history"
	"catkinvalve/internal/pause"
)

const (
	// maxActiveKeys is the largest number of keys with active callers. Arrivals
	// beyond it wait.
	maxActiveKeys = 1000
	// fateWaitMS is how long a repeated submission waits for a final fate, in
	// milliseconds.
	fateWaitMS = 1500
	// retryInterval is the time between two attempts after an error, and between two
	// queries of a fate.
	retryInterval = 150 * time.Millisecond
)

// load submits the requests of a run and records their outcomes.
type load struct {
	cell *cell
	rec  *history.Recorder

	// mu guards the fields below.
	mu            sync.Mutex
	requests      map[string]request
	finalStatuses map[string]api.RequestStatus
	// refusals holds the last permanent refusal of each key that had one.
	refusals    map[string]fault.Kind
	failedCalls map[fault.Kind]int
}

func newLoad(c *cell, rec *history.Recorder) *load {
	return &load{cell: c, rec: rec, requests: map[string]request{}, finalStatuses: map[string]api.RequestStatus{},
		refusals: map[string]fault.Kind{}, failedCalls: map[fault.Kind]int{}}
}

// run submits requests for the given time and follows each of them until its fate
// is final or ctx ends.
func (l *load) run(ctx context.Context, start time.Time, length time.Duration, p *planner) {
	workers := pool.New().WithMaxGoroutines(maxActiveKeys)
	defer workers.Wait()
	for {
		r := p.next()
		if r.at >= length || !pause.For(ctx, time.Until(start.Add(r.at))) || time.Since(start) > length {
			return
		}
		l.mu.Lock()
		l.requests[r.req.Key] = r
		l.mu.Unlock()
		workers.Go(func() { l.runKey(ctx, r) })
	}
}

// runKey runs all callers of one request, and its cancellation if it has one.
func (l *load) runKey(ctx context.Context, r request) {
	issued := time.Now()
	r.req.IssuedAt = &issued
	if r.startWithin > 0 {
		deadline := issued.Add(r.startWithin)
		r.req.Deadline = &deadline
	}
	var wg sync.WaitGroup
	for _, order := range r.callers {
		wg.Go(func() { l.runCaller(ctx, r, order) })
	}
	if r.cancelAfter > 0 && pause.For(ctx, r.cancelAfter) {
		l.cancel(ctx, r)
	}
	wg.Wait()
}

// runCaller submits the key through one daemon after another, in the given order,
// until it has a final fate or a permanent refusal.
func (l *load) runCaller(ctx context.Context, r request, order []int) {
	for i := 0; ctx.Err() == nil; i++ {
		out, st := l.submit(ctx, r, order[i%len(order)])
		switch {
		case out.Fate.Terminal():
			l.recordFinal(st)
			return
		case isPermanent(out.Err):
			l.recordRefusal(r.req.Key, out.Err)
			return
		case out.Err != "":
			pause.For(ctx, retryInterval)
		}
		r.req.WaitMS = fateWaitMS
	}
}

// isPermanent reports whether the same call would be refused again with this error.
func isPermanent(k fault.Kind) bool {
	switch k {
	case fault.DeadlineExceeded, fault.CanNeverRun, fault.UnknownService, fault.Malformed, fault.KeyConflict:
		return true
	}
	return false
}

func (l *load) submit(ctx context.Context, r request, daemon int) (history.Outcome, api.RequestStatus) {
	wait := time.Duration(r.req.WaitMS) * time.Millisecond
	return l.call(ctx, r, history.Submit, daemon, wait, func(ctx context.Context, cl *api.Client) (api.RequestStatus, error) {
		return cl.Submit(ctx, r.req)
	})
}

func (l *load) queryFate(ctx context.Context, r request, daemon int) (history.Outcome, api.RequestStatus) {
	return l.call(ctx, r, history.QueryFate, daemon, 0, func(ctx context.Context, cl *api.Client) (api.RequestStatus, error) {
		return cl.Fate(ctx, r.req.Key)
	})
}

func (l *load) cancel(ctx context.Context, r request) {
	daemon := r.callers[0][len(r.callers[0])-1]
	l.call(ctx, r, history.Cancel, daemon, 0, func(ctx context.Context, cl *api.Client) (api.RequestStatus, error) {
		return cl.Cancel(ctx, r.req.Key)
	})
}

// call makes one call through a daemon and records it. An error that leaves open
// whether the call took effect is recorded as pending.
func (l *load) call(ctx context.Context, r request, kind history.Kind, daemon int, wait time.Duration,
	do func(context.Context, *api.Client) (api.RequestStatus, error)) (history.Outcome, api.RequestStatus) {
	op := history.Op{
		Key: r.req.Key, Kind: kind, Daemon: l.cell.ids[daemon], Call: l.rec.Now(),
		NonIdempotent: r.nonIdempotent, Payload: r.req.Payload, Tasks: r.tasks,
	}
	callCtx, cancel := withCallTimeout(ctx, wait)
	defer cancel()
	st, err := do(callCtx, l.cell.clients[daemon])
	op.Return = l.rec.Now()
	if err != nil {
		op.Outcome.Err = fault.KindOf(err)
		l.countFailedCall(op.Outcome.Err)
		if op.Outcome.Err == fault.FateUnknownYet || op.Outcome.Err == fault.Internal {
			op.Return = history.Pending
		}
	} else {
		op.Outcome = history.Outcome{Fate: st.Fate, OK: st.OK, Answer: st.Answer}
	}
	l.rec.Add(op)
	return op.Outcome, st
}

func (l *load) countFailedCall(k fault.Kind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failedCalls[k]++
}

// recordFinal keeps the first final status of a key.
func (l *load) recordFinal(st api.RequestStatus) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.finalStatuses[st.Key]; !ok {
		l.finalStatuses[st.Key] = st
	}
}

func (l *load) recordRefusal(key string, k fault.Kind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusals[key] = k
}

// collectFates queries the fate of every key once more through two daemons. It is
// called after all faults have ended.
func (l *load) collectFates(ctx context.Context) {
	l.mu.Lock()
	var all []request
	for _, r := range l.requests {
		all = append(all, r)
	}
	l.mu.Unlock()
	workers := pool.New().WithMaxGoroutines(64)
	defer workers.Wait()
	for _, r := range all {
		workers.Go(func() {
			for _, daemon := range r.callers[0][:2] {
				l.awaitFinalFate(ctx, r, daemon)
			}
		})
	}
}

// awaitFinalFate queries one daemon until it returns a final fate or does not know
// the key.
func (l *load) awaitFinalFate(ctx context.Context, r request, daemon int) {
	for ctx.Err() == nil {
		out, st := l.queryFate(ctx, r, daemon)
		if out.Fate.Terminal() {
			l.recordFinal(st)
			return
		}
		if out.Err == fault.NotFound {
			return
		}
		pause.For(ctx, retryInterval)
	}
}
