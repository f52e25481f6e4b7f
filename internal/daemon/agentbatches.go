package daemon

import (
	"context"
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/scheduler"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/pause"
	"catkinvalve/internal/ports"
)

// sendBatches sends the queued batches in order until ctx ends.
func (a *agent) sendBatches(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-a.queue:
			for next := &b; next != nil; {
				var merged agentBatch
				merged, next = a.mergeQueued(*next)
				a.sendBatch(ctx, merged)
			}
		}
	}
}

// mergeQueued merges queued batches of the same lease term into b, so that they
// are sent in one call. rest is a batch of another term that was taken from the
// queue and has to be sent next, or nil.
func (a *agent) mergeQueued(b agentBatch) (merged agentBatch, rest *agentBatch) {
	for len(b.starts) > 0 && len(b.stops) == 0 && len(b.starts) < maxMergedStarts {
		select {
		case next := <-a.queue:
			if len(next.starts) > 0 && next.term != b.term {
				return b, &next
			}
			b.starts = append(b.starts, next.starts...)
			b.stops = next.stops
		default:
			return b, nil
		}
	}
	return b, nil
}

// sendBatch sends starts only under the lease for which they were decided, and
// reports them as not started otherwise. Stops are sent under any lease and dropped
// without one.
func (a *agent) sendBatch(ctx context.Context, b agentBatch) {
	term := a.held.Load()
	switch {
	case term == 0 || term != b.term:
		a.reportNotStarted(b.starts)
	case len(b.starts) > 0:
		a.sendStarts(ctx, term, b.starts)
	}
	if term != 0 && len(b.stops) > 0 {
		a.sendStops(ctx, term, b.stops)
	}
}

// sendStarts sends a batch, and repeats it under the same lease until the worker
// answers. Starts are idempotent by task and attempt. When the lease ends after a
// call without an answer, only the inventory of the next lease can tell whether
// they took effect, so nothing is reported.
func (a *agent) sendStarts(ctx context.Context, term uint64, starts []scheduler.Start) {
	tasks := make([]ports.StartTask, len(starts))
	maybeSent := false
	for ctx.Err() == nil && a.held.Load() == term {
		for i, s := range starts {
			tasks[i] = a.startTask(s)
		}
		refused, err := a.callWithTimeout(ctx, func(ctx context.Context) ([]ports.StartRefusal, error) {
			return a.worker.Start(ctx, a.lease(term), tasks)
		})
		if err == nil {
			a.reportRefused(term, starts, refused, maybeSent)
			return
		}
		if fault.KindOf(err) == fault.LeaseLost {
			if !maybeSent {
				a.d.sendControl(tasksNotStartedMsg{a.id, starts})
			}
			return
		}
		maybeSent = true
		pause.For(ctx, retryDelay)
	}
	if !maybeSent {
		a.reportNotStarted(starts)
	}
}

func (a *agent) startTask(s scheduler.Start) ports.StartTask {
	t := ports.StartTask{ID: s.ID, Attempt: s.Attempt, Service: s.Service, Size: s.Size, RunTime: s.RunTime, Payload: s.Payload}
	if !s.Deadline.IsZero() {
		// 0 would mean no limit, so an expired deadline becomes the shortest limit
		// and the worker refuses the start.
		t.StartWithin = max(s.Deadline.Sub(a.d.now()), time.Millisecond)
	}
	return t
}

// reportRefused reports the starts that the worker refused. When the answer to an
// earlier call was lost, that call may still reach the worker. The agent then
// acquires the lease with a new term: the worker refuses the delayed call, and
// its inventory shows what was started.
func (a *agent) reportRefused(term uint64, starts []scheduler.Start, refused []ports.StartRefusal, maybeSent bool) {
	if len(refused) == 0 {
		return
	}
	if maybeSent {
		a.markLeaseLost(term)
		return
	}
	byID := make(map[model.TaskID]bool, len(refused))
	for _, r := range refused {
		byID[r.ID] = true
	}
	var out []scheduler.Start
	for _, s := range starts {
		if byID[s.ID] {
			out = append(out, s)
		}
	}
	a.d.sendControl(tasksNotStartedMsg{a.id, out})
}

// sendStops sends stops, and repeats them under the same lease until the worker
// answers or the lease ends.
func (a *agent) sendStops(ctx context.Context, term uint64, stops []scheduler.Stop) {
	tasks := make([]ports.StopTask, len(stops))
	for i, s := range stops {
		tasks[i] = ports.StopTask{ID: s.ID, Attempt: s.Attempt, Mode: ports.StopMode(s.Mode)}
	}
	for ctx.Err() == nil && a.held.Load() == term {
		_, err := a.callWithTimeout(ctx, func(ctx context.Context) ([]ports.StartRefusal, error) {
			return nil, a.worker.Stop(ctx, a.lease(term), tasks)
		})
		if err == nil || fault.KindOf(err) == fault.LeaseLost {
			return
		}
		pause.For(ctx, retryDelay)
	}
}

// callWithTimeout bounds a call to the worker by the renew interval.
func (a *agent) callWithTimeout(ctx context.Context, fn func(context.Context) ([]ports.StartRefusal, error)) ([]ports.StartRefusal, error) {
	ctx, cancel := context.WithTimeout(ctx, a.d.set.Timings.RenewInterval)
	defer cancel()
	return fn(ctx)
}
