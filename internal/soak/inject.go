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
	slowLogMS    = 600
	listLagMS    = 3000
	lostPerFault = 5 // times N of the fault
)

// injector carries out a schedule.
type injector struct {
	cell *cell
	pub  *publisher
	say  func(format string, args ...any)
	mu   sync.Mutex
	done map[Kind]int
	errs []error
}

// run injects each fault at its time and waits until all have ended.
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
			in.done[f.Kind]++
			if err != nil {
				in.errs = append(in.errs, fmt.Errorf("inject %s: %w", f.Kind, err))
			}
		})
	}
	wg.Wait()
}

// inject starts a fault, waits and ends it.
func (in *injector) inject(ctx context.Context, f Fault) error {
	c := in.cell
	switch f.Kind {
	case Kill, Pause, Replace:
		return in.injectProcess(ctx, f)
	case Cut:
		return in.during(ctx, f, func(on bool) error {
			if err := c.cut(ctx, f.DC, f.Other, sign(on)); err != nil {
				return err
			}
			return c.cut(ctx, f.Other, f.DC, sign(on))
		})
	case CutOneWay:
		return in.during(ctx, f, func(on bool) error { return c.cut(ctx, f.DC, f.Other, sign(on)) })
	case CutLog, CutList:
		id, addr, cuts := c.pick(ctx, f), c.tb.Log.Admin, c.noLog
		if f.Kind == CutList {
			addr, cuts = c.tb.List.Admin, c.noList
		}
		in.say("%s: %s", f.Kind, id)
		return in.during(ctx, f, func(on bool) error { return c.cutFrom(ctx, addr, cuts, id, sign(on)) })
	case PublishRace:
		return in.pub.race(ctx, f.N)
	case ShareChange:
		return in.pub.change(ctx, f.N)
	}
	return in.injectPlatform(ctx, f)
}

func sign(on bool) int {
	if on {
		return 1
	}
	return -1
}

// during calls set with true, waits for the length of the fault and calls set
// with false, also when the run ends early.
func (in *injector) during(ctx context.Context, f Fault, set func(on bool) error) error {
	if err := set(true); err != nil {
		return err
	}
	pause.For(ctx, f.For)
	return set(false)
}

func (in *injector) injectProcess(ctx context.Context, f Fault) error {
	c := in.cell
	if f.Kind == Replace {
		ids := c.dcOf(f.DC)
		return in.during(ctx, f, func(on bool) error {
			if on {
				return c.kill(ids...)
			}
			return c.restart(ctx, ids...)
		})
	}
	id := c.pick(ctx, f)
	in.say("%s: %s", f.Kind, id)
	return in.during(ctx, f, func(on bool) error {
		switch {
		case f.Kind == Pause:
			return c.pause(id, on)
		case on:
			return c.kill(id)
		}
		return c.restart(ctx, id)
	})
}

// injectPlatform handles the faults of the log, the list and the workers.
func (in *injector) injectPlatform(ctx context.Context, f Fault) error {
	c := in.cell
	workers, lost, zero := c.tb.Workers[f.DC].Admin, f.N*lostPerFault, int64(0)
	worker := func(set func(*standinapi.WorkerFault)) error {
		var wf standinapi.WorkerFault
		set(&wf)
		return c.tb.Fault(ctx, workers, wf)
	}
	log := func(g standinapi.CommonFault) error { return c.tb.Fault(ctx, c.tb.Log.Admin, g) }
	switch f.Kind {
	case LogOutage:
		return in.during(ctx, f, func(on bool) error { return log(standinapi.CommonFault{Outage: &on}) })
	case LogSlow:
		return in.during(ctx, f, func(on bool) error {
			ms := zero
			if on {
				ms = slowLogMS
			}
			return log(standinapi.CommonFault{DelayMS: &ms})
		})
	case LogLost:
		return in.during(ctx, f, func(on bool) error {
			if !on {
				lost = 0
			}
			return log(standinapi.CommonFault{LoseNextAnswers: &lost})
		})
	case ListLag:
		return in.during(ctx, f, func(on bool) error {
			ms := zero
			if on {
				ms = listLagMS
			}
			return c.tb.Fault(ctx, c.tb.List.Admin, standinapi.ListFault{LagMS: &ms})
		})
	case WorkerLost:
		return worker(func(w *standinapi.WorkerFault) { w.LoseNextAnswers = &lost })
	case WorkerCrash:
		c.mu.Lock()
		c.crashed[model.WorkerID(f.Worker)] = true
		c.mu.Unlock()
		return worker(func(w *standinapi.WorkerFault) { w.Worker, w.Crash = model.WorkerID(f.Worker), true })
	case WorkerFails:
		return in.during(ctx, f, func(on bool) error {
			return worker(func(w *standinapi.WorkerFault) { w.Worker, w.FailAll = model.WorkerID(f.Worker), &on })
		})
	case WorkerRepeats:
		return in.during(ctx, f, func(on bool) error { return worker(func(w *standinapi.WorkerFault) { w.DuplicateEvents = &on }) })
	case WorkerReorder:
		return in.during(ctx, f, func(on bool) error { return worker(func(w *standinapi.WorkerFault) { w.ReorderEvents = &on }) })
	case Drain:
		return in.during(ctx, f, func(on bool) error {
			state := ports.StateLive
			if on {
				state = ports.StateLeaving
			}
			return c.setState(ctx, f.Worker, state)
		})
	}
	return fmt.Errorf("unknown kind %q", f.Kind)
}
