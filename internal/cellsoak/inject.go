package cellsoak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"catkinvalve/internal/faultproxy"
	"catkinvalve/internal/pause"
)

// injector injects the faults of a schedule from outside the daemons.
type injector struct {
	cell      *soakCell
	startTime time.Time
	logf      func(format string, args ...any)
	work      sync.WaitGroup
	mu        sync.Mutex
	injected  map[Kind]int
	errs      []error
}

// run injects the faults at their scheduled times and returns when all have ended.
func (i *injector) run(ctx context.Context, schedule []Fault) {
	for _, f := range schedule {
		if !pause.For(ctx, time.Until(i.startTime.Add(f.At))) {
			break
		}
		i.work.Go(func() {
			if err := i.inject(ctx, f); err != nil {
				i.mu.Lock()
				i.errs = append(i.errs, fmt.Errorf("%s: %w", f.Kind, err))
				i.mu.Unlock()
			}
		})
		i.mu.Lock()
		i.injected[f.Kind]++
		i.mu.Unlock()
	}
	i.work.Wait()
}

// storeModes maps faults of the store to its mode during the fault.
var storeModes = map[Kind]storeMode{StoreRefuses: storeRefuses, StoreSilent: storeSilent, StoreSlow: storeSlow, StoreDropsResponses: storeDropsResponses, StoreExecutesLate: storeExecutesLate}

// workerFaults maps faults to the faulty behaviour of the affected workers.
var workerFaults = map[Kind]workerFault{WorkerFailsAll: failsAll, WorkerStalls: stalls, WorkerExecutesLate: executesLate}

// inject starts a fault, waits for its duration and ends it.
func (i *injector) inject(ctx context.Context, f Fault) error {
	if mode, ok := storeModes[f.Kind]; ok {
		i.cell.store.setMode(mode)
		pause.For(ctx, f.For)
		i.cell.store.setMode(storeNormal)
		return nil
	}
	if fault, ok := workerFaults[f.Kind]; ok {
		i.setWorkerFault(f, fault)
		pause.For(ctx, f.For)
		i.setWorkerFault(f, healthy)
		return nil
	}
	switch f.Kind {
	case PublishConfig:
		return i.cell.publishConfig()
	case StorePartition, WorkerPartition:
		i.setProxyMode(f, f.Mode)
		pause.For(ctx, f.For)
		i.setProxyMode(f, faultproxy.Pass)
		return nil
	case WorkerCrash, WorkerLeaves:
		return i.restartWorkers(ctx, f)
	}
	return i.signalDaemons(ctx, f)
}

func (i *injector) setWorkerFault(f Fault, fault workerFault) {
	i.cell.checker.mu.Lock()
	defer i.cell.checker.mu.Unlock()
	for _, w := range i.workers(f) {
		w.fault = fault
	}
}

// workers returns the workers that a fault affects.
func (i *injector) workers(f Fault) []*soakWorker {
	var out []*soakWorker
	for n := range f.Count {
		out = append(out, i.cell.workers[(f.First+n)%len(i.cell.workers)])
	}
	return out
}

// setProxyMode sets the mode of the proxies in front of the workers, or of those between
// the daemons and the store, that a fault affects.
func (i *injector) setProxyMode(f Fault, m faultproxy.Mode) {
	if f.Kind == WorkerPartition {
		for _, w := range i.workers(f) {
			w.proxy.SetMode(m)
		}
		return
	}
	for n := range f.Count {
		i.cell.daemons[(f.First+n)%len(i.cell.daemons)].proxy.SetMode(m)
	}
}

// restartWorkers restarts workers in turn, either by a crash or after a drain, and
// registers them again.
func (i *injector) restartWorkers(ctx context.Context, f Fault) error {
	for _, w := range i.workers(f) {
		if f.Kind == WorkerLeaves {
			w.entry.Draining, w.entry.RemainingTime = true, drainDuration
			if err := i.cell.register(w); err != nil {
				return err
			}
			pause.For(ctx, drainDuration)
		}
		w.proxy.SetMode(faultproxy.Reset)
		i.cell.checker.mu.Lock()
		w.restart()
		i.cell.checker.mu.Unlock()
		pause.For(ctx, f.For)
		i.cell.checker.mu.Lock()
		w.restart()
		i.cell.checker.mu.Unlock()
		w.entry.Draining, w.entry.RemainingTime = false, 0
		if err := i.cell.register(w); err != nil {
			return err
		}
		w.proxy.SetMode(faultproxy.Pass)
	}
	return nil
}

// reserve reserves a daemon for a fault. It reports false if another fault acts on it.
func (i *injector) reserve(d *soakDaemon) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if d.reserved {
		return false
	}
	d.reserved = true
	return true
}

func (i *injector) release(d *soakDaemon) {
	i.mu.Lock()
	defer i.mu.Unlock()
	d.reserved = false
}

// signalDaemons applies a fault to daemons, all at once or in turn. It skips daemons on
// which another fault acts.
func (i *injector) signalDaemons(ctx context.Context, f Fault) error {
	var all sync.WaitGroup
	for n := range f.Count {
		d := i.cell.daemons[(f.First+n)%len(i.cell.daemons)]
		one := func() {
			if !i.reserve(d) {
				return
			}
			defer i.release(d)
			if err := i.signalDaemon(ctx, f, d); err != nil {
				i.mu.Lock()
				i.errs = append(i.errs, fmt.Errorf("%s: %w", f.Kind, err))
				i.mu.Unlock()
			}
		}
		if f.Kind == RollingTerminate {
			one()
		} else {
			all.Go(one)
		}
	}
	all.Wait()
	return nil
}

// stopTimeout is how long a daemon may take to stop after SIGTERM.
const stopTimeout = 6 * time.Second

// signalDaemon sends a daemon the signal of a fault and, if that ends the process, starts
// it again.
func (i *injector) signalDaemon(ctx context.Context, f Fault, d *soakDaemon) error {
	i.logf("%s %s", f.Kind, d.settings.Node)
	switch f.Kind {
	case Pause:
		if err := d.process.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		pause.For(ctx, f.For)
		return d.process.Signal(syscall.SIGCONT)
	case Hangup:
		if err := i.cell.writeSettings(d); err != nil {
			return err
		}
		return d.process.Signal(syscall.SIGHUP)
	case Terminate, RollingTerminate:
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
	return i.cell.startDaemon(d)
}
