package cellsoak

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"catkinvalve/internal/faultproxy"
	"catkinvalve/internal/pause"
)

// injector injects the faults of a schedule from outside the daemons and ends them.
type injector struct {
	cell         *soakCell
	startTime    time.Time
	logf         func(format string, args ...any)
	activeFaults sync.WaitGroup
	// mu guards the fields below and the field reserved of all daemons.
	mu       sync.Mutex
	injected map[Kind]int
	errs     []error
}

// run injects the faults at their scheduled times and returns when all have ended.
func (in *injector) run(ctx context.Context, schedule []Fault) {
	for _, f := range schedule {
		if !pause.For(ctx, time.Until(in.startTime.Add(f.At))) {
			break
		}
		in.activeFaults.Go(func() {
			if err := in.inject(ctx, f); err != nil {
				in.mu.Lock()
				in.errs = append(in.errs, fmt.Errorf("%s: %w", f.Kind, err))
				in.mu.Unlock()
			}
		})
		in.mu.Lock()
		in.injected[f.Kind]++
		in.mu.Unlock()
	}
	in.activeFaults.Wait()
}

// storeModes maps faults of the store to its mode during the fault.
var storeModes = map[Kind]storeMode{StoreRefuses: storeRefuses, StoreSilent: storeSilent, StoreSlow: storeSlow, StoreDropsResponses: storeDropsResponses, StoreExecutesLate: storeExecutesLate}

// workerFaults maps faults to the faulty behaviour of the affected workers.
var workerFaults = map[Kind]workerFault{WorkerFailsAll: failsAll, WorkerStalls: stalls, WorkerExecutesLate: executesLate}

// inject starts a fault, waits for its duration and ends it.
func (in *injector) inject(ctx context.Context, f Fault) error {
	if mode, ok := storeModes[f.Kind]; ok {
		in.cell.store.setMode(mode)
		pause.For(ctx, f.For)
		in.cell.store.setMode(storeNormal)
		return nil
	}
	if fault, ok := workerFaults[f.Kind]; ok {
		in.setWorkerFault(f, fault)
		pause.For(ctx, f.For)
		in.setWorkerFault(f, healthy)
		return nil
	}
	switch f.Kind {
	case PublishConfig:
		return in.cell.publishConfig()
	case StorePartition, WorkerPartition:
		in.setProxyMode(f, f.Mode)
		pause.For(ctx, f.For)
		in.setProxyMode(f, faultproxy.Pass)
		return nil
	case WorkerCrash, WorkerLeaves:
		return in.restartWorkers(ctx, f)
	case DeadlyJobs:
		in.cell.deadlyJobs.Store(true)
		pause.For(ctx, f.For)
		in.cell.deadlyJobs.Store(false)
		return nil
	case KillLeader:
		in.awaitCrash(ctx)
		if f.First = in.cell.leader(); f.First < 0 {
			return errors.New("the store names no leader")
		}
	}
	return in.signalDaemons(ctx, f)
}

// crashTimeout bounds the wait of awaitCrash.
const crashTimeout = 8 * time.Second

// awaitCrash waits until the next worker crashes under a task, at most crashTimeout.
func (in *injector) awaitCrash(ctx context.Context) {
	crashes := func() int {
		in.cell.checker.mu.Lock()
		defer in.cell.checker.mu.Unlock()
		return in.cell.checker.crashes
	}
	ctx, cancel := context.WithTimeout(ctx, crashTimeout)
	defer cancel()
	for before := crashes(); crashes() == before && pause.For(ctx, tickInterval); {
	}
}

func (in *injector) setWorkerFault(f Fault, fault workerFault) {
	in.cell.checker.mu.Lock()
	defer in.cell.checker.mu.Unlock()
	for _, w := range in.workers(f) {
		w.fault = fault
	}
}

// workers returns the workers that a fault affects.
func (in *injector) workers(f Fault) []*soakWorker {
	var out []*soakWorker
	for n := range f.Count {
		out = append(out, in.cell.workers[(f.First+n)%len(in.cell.workers)])
	}
	return out
}

// setProxyMode sets the mode of the proxies in front of the workers, or of those between
// the daemons and the store, that a fault affects.
func (in *injector) setProxyMode(f Fault, m faultproxy.Mode) {
	if f.Kind == WorkerPartition {
		for _, w := range in.workers(f) {
			w.proxy.SetMode(m)
		}
		return
	}
	for n := range f.Count {
		in.cell.daemons[(f.First+n)%len(in.cell.daemons)].proxy.SetMode(m)
	}
}

// restartWorkers restarts workers in turn, either by a crash or after a drain, and
// registers them again.
func (in *injector) restartWorkers(ctx context.Context, f Fault) error {
	for _, w := range in.workers(f) {
		if f.Kind == WorkerLeaves {
			in.setDraining(w, drainDuration)
			if err := in.cell.register(w); err != nil {
				return err
			}
			pause.For(ctx, drainDuration)
		}
		if err := in.restartWorker(ctx, f, w); err != nil {
			return err
		}
	}
	return nil
}

// restartWorker ends a worker's process and registers the next one after the duration of
// the fault. The worker stays down meanwhile, unless another fault ends on its proxy; then
// it crashes once more.
func (in *injector) restartWorker(ctx context.Context, f Fault, w *soakWorker) error {
	w.crashing.Lock()
	defer w.crashing.Unlock()
	in.endProcess(w)
	pause.For(ctx, f.For)
	in.endProcess(w)
	in.setDraining(w, 0)
	if err := in.cell.register(w); err != nil {
		return err
	}
	w.proxy.SetMode(faultproxy.Pass)
	return nil
}

// endProcess resets a worker's connections and begins its next incarnation.
func (in *injector) endProcess(w *soakWorker) {
	w.proxy.SetMode(faultproxy.Reset)
	in.cell.checker.mu.Lock()
	defer in.cell.checker.mu.Unlock()
	w.restart()
}

// setDraining changes a worker's entry to draining for the given time, or to ready for 0.
func (in *injector) setDraining(w *soakWorker, remaining time.Duration) {
	in.cell.checker.mu.Lock()
	defer in.cell.checker.mu.Unlock()
	w.entry.Draining, w.entry.RemainingTime = remaining > 0, remaining
}

// reserve reserves a daemon for a fault. It reports false if another fault acts on it.
func (in *injector) reserve(d *soakDaemon) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if d.reserved {
		return false
	}
	d.reserved = true
	return true
}

func (in *injector) release(d *soakDaemon) {
	in.mu.Lock()
	defer in.mu.Unlock()
	d.reserved = false
}

// signalDaemons applies a fault to daemons, all at once or in turn. It skips daemons on
// which another fault acts.
func (in *injector) signalDaemons(ctx context.Context, f Fault) error {
	var wg sync.WaitGroup
	for n := range f.Count {
		d := in.cell.daemons[(f.First+n)%len(in.cell.daemons)]
		apply := func() {
			if !in.reserve(d) {
				return
			}
			defer in.release(d)
			if err := in.signalDaemon(ctx, f, d); err != nil {
				in.mu.Lock()
				in.errs = append(in.errs, fmt.Errorf("%s: %w", f.Kind, err))
				in.mu.Unlock()
			}
		}
		if f.Kind == RollingTerminate {
			apply()
		} else {
			wg.Go(apply)
		}
	}
	wg.Wait()
	return nil
}

// stopTimeout is how long a daemon may take to stop after SIGTERM.
const stopTimeout = 6 * time.Second

// signalDaemon sends a daemon the signal of a fault and, if that ends the process, starts
// it again.
func (in *injector) signalDaemon(ctx context.Context, f Fault, d *soakDaemon) error {
	in.logf("%s %s", f.Kind, d.settings.Node)
	switch f.Kind {
	case Pause:
		if err := d.process.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		pause.For(ctx, f.For)
		return d.process.Signal(syscall.SIGCONT)
	case Hangup:
		if err := in.cell.writeSettings(d); err != nil {
			return err
		}
		if err := in.cell.awaitStart(d); err != nil {
			return err
		}
		return d.process.Signal(syscall.SIGHUP)
	case Terminate, RollingTerminate:
		if err := in.cell.awaitStart(d); err != nil {
			return err
		}
		if err := d.process.Terminate(stopTimeout); err != nil {
			return err
		}
	default:
		if err := d.process.Kill(); err != nil {
			return err
		}
	}
	if f.Kind != RollingTerminate {
		pause.For(ctx, f.For)
	}
	return in.cell.startDaemon(d)
}
