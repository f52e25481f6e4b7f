package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/pause"
	"catkinvalve/internal/ports"
	"catkinvalve/internal/standinapi"
)

const (
	// logDelayMS is the delay of LogSlow and listLagMS the lag of ListLag, both in
	// milliseconds.
	logDelayMS    = 600
	listLagMS     = 3000
	dropsPerParam = 5 // dropped responses for each unit of Fault.Param
)

// injector injects the faults of a schedule and ends them.
type injector struct {
	cell *cell
	pub  *publisher
	logf func(format string, args ...any)
	// mu guards the fields below.
	mu       sync.Mutex
	injected map[Kind]int
	errs     []error
}

// run injects each fault at its scheduled time and waits until all have ended.
func (in *injector) run(ctx context.Context, start time.Time, schedule []Fault) {
	var wg sync.WaitGroup
	for _, f := range schedule {
		if !pause.For(ctx, time.Until(start.Add(f.At))) {
			break
		}
		wg.Go(func() {
			err := in.inject(ctx, f)
			in.mu.Lock()
			defer in.mu.Unlock()
			in.injected[f.Kind]++
			if err != nil {
				in.errs = append(in.errs, fmt.Errorf("inject %s: %w", f.Kind, err))
			}
		})
	}
	wg.Wait()
}

// inject starts a fault, waits for its duration and ends it.
func (in *injector) inject(ctx context.Context, f Fault) error {
	c := in.cell
	switch f.Kind {
	case Kill, Pause, ReplaceDaemons:
		return in.injectProcess(ctx, f)
	case Partition:
		return in.applyFor(ctx, f, func(on bool) error {
			if err := c.changePartition(ctx, f.DC, f.PeerDC, countDelta(on)); err != nil {
				return err
			}
			return c.changePartition(ctx, f.PeerDC, f.DC, countDelta(on))
		})
	case OneWayPartition:
		return in.applyFor(ctx, f, func(on bool) error { return c.changePartition(ctx, f.DC, f.PeerDC, countDelta(on)) })
	case LogPartition, ListPartition:
		id, addr, partitions := c.pickDaemon(ctx, f), c.cluster.Log.Admin, c.logPartitions
		if f.Kind == ListPartition {
			addr, partitions = c.cluster.List.Admin, c.listPartitions
		}
		in.logf("%s: %s", f.Kind, id)
		return in.applyFor(ctx, f, func(on bool) error { return c.changeDaemonPartition(ctx, addr, partitions, id, countDelta(on)) })
	case PublishRace:
		return in.pub.publishRace(ctx, f.Param)
	case ShareChange:
		return in.pub.publishShareChange(ctx, f.Param)
	}
	return in.injectPlatform(ctx, f)
}

// countDelta returns the change of a count when a fault begins (on) or ends.
func countDelta(on bool) int {
	if on {
		return 1
	}
	return -1
}

// applyFor calls set(true), waits for the duration of the fault and calls
// set(false), also if ctx ends during the wait.
func (in *injector) applyFor(ctx context.Context, f Fault, set func(on bool) error) error {
	if err := set(true); err != nil {
		return err
	}
	pause.For(ctx, f.For)
	return set(false)
}

// injectProcess handles the faults that kill, pause or replace daemons.
func (in *injector) injectProcess(ctx context.Context, f Fault) error {
	c := in.cell
	if f.Kind == ReplaceDaemons {
		ids := c.daemonsIn(f.DC)
		return in.applyFor(ctx, f, func(on bool) error {
			if on {
				return c.kill(ids...)
			}
			return c.restart(ctx, ids...)
		})
	}
	id := c.pickDaemon(ctx, f)
	in.logf("%s: %s", f.Kind, id)
	return in.applyFor(ctx, f, func(on bool) error {
		switch {
		case f.Kind == Pause:
			return c.pause(id, on)
		case on:
			return c.kill(id)
		}
		return c.restart(ctx, id)
	})
}

// injectPlatform handles the faults of the log, the instance list and the workers.
func (in *injector) injectPlatform(ctx context.Context, f Fault) error {
	c := in.cell
	workersAddr, drops, zero := c.cluster.Workers[f.DC].Admin, f.Param*dropsPerParam, int64(0)
	setWorkerFault := func(set func(*standinapi.WorkerFault)) error {
		var wf standinapi.WorkerFault
		set(&wf)
		return c.cluster.Fault(ctx, workersAddr, wf)
	}
	setLogFault := func(g standinapi.CommonFault) error { return c.cluster.Fault(ctx, c.cluster.Log.Admin, g) }
	switch f.Kind {
	case LogOutage:
		return in.applyFor(ctx, f, func(on bool) error { return setLogFault(standinapi.CommonFault{Outage: &on}) })
	case LogSlow:
		return in.applyFor(ctx, f, func(on bool) error {
			ms := zero
			if on {
				ms = logDelayMS
			}
			return setLogFault(standinapi.CommonFault{DelayMS: &ms})
		})
	case LogDropsResponses:
		return in.applyFor(ctx, f, func(on bool) error {
			if !on {
				drops = 0
			}
			return setLogFault(standinapi.CommonFault{LoseNextAnswers: &drops})
		})
	case ListLag:
		return in.applyFor(ctx, f, func(on bool) error {
			ms := zero
			if on {
				ms = listLagMS
			}
			return c.cluster.Fault(ctx, c.cluster.List.Admin, standinapi.ListFault{LagMS: &ms})
		})
	case WorkersDropResponses:
		return setWorkerFault(func(w *standinapi.WorkerFault) { w.LoseNextAnswers = &drops })
	case WorkerCrash:
		c.mu.Lock()
		c.crashedWorkers[model.WorkerID(f.Worker)] = true
		c.mu.Unlock()
		return setWorkerFault(func(w *standinapi.WorkerFault) { w.Worker, w.Crash = model.WorkerID(f.Worker), true })
	case WorkerFailsAll:
		return in.applyFor(ctx, f, func(on bool) error {
			return setWorkerFault(func(w *standinapi.WorkerFault) { w.Worker, w.FailAll = model.WorkerID(f.Worker), &on })
		})
	case WorkersDuplicateEvents:
		return in.applyFor(ctx, f, func(on bool) error {
			return setWorkerFault(func(w *standinapi.WorkerFault) { w.DuplicateEvents = &on })
		})
	case WorkersReorderEvents:
		return in.applyFor(ctx, f, func(on bool) error { return setWorkerFault(func(w *standinapi.WorkerFault) { w.ReorderEvents = &on }) })
	case Drain:
		return in.applyFor(ctx, f, func(on bool) error {
			state := ports.StateLive
			if on {
				state = ports.StateLeaving
			}
			return c.setWorkerState(ctx, f.Worker, state)
		})
	}
	return fmt.Errorf("unknown kind of fault %q", f.Kind)
}
