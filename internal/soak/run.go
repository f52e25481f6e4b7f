package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"catkinvalve/internal/api"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/history"
	"catkinvalve/internal/pause"
	"catkinvalve/internal/testbed"
)

// Report is the outcome of a run.
type Report struct {
	Seed     uint64
	Schedule []Fault
	// Faults counts the injected faults.
	Faults map[Kind]int
	// Requests counts keys, Calls the recorded calls about them.
	Requests, Calls int
	// Starts counts the recorded starts of tasks.
	Starts int
	Fates  map[model.Fate]int
	// RefusedKeys counts keys that were refused permanently and have no final fate,
	// FailedCalls counts failed calls, each by kind of error.
	RefusedKeys, FailedCalls                  map[fault.Kind]int
	AcceptedPublications, RefusedPublications int64
	Violations                                []Violation
	// LogDir holds the logs; it is removed after a run without errors and violations.
	LogDir string
}

// run is a run in progress.
type run struct {
	opts       Options
	out        io.Writer
	schedule   []Fault
	cell       *cell
	rec        *history.Recorder
	load       *load
	watch      *watcher
	pub        *publisher
	inject     *injector
	outMu      sync.Mutex
	start      time.Time
	violations []Violation
}

// Run runs a cluster under load and faults and checks the recorded evidence. An error
// means that the run itself failed; broken promises are in the report.
func Run(ctx context.Context, o Options) (_ Report, err error) {
	if err := o.validate(); err != nil {
		return Report{}, err
	}
	if o.Rate == 0 {
		o.Rate = DefaultRate
	}
	if o.Out == nil {
		o.Out = io.Discard
	}
	ctx, cancel := context.WithTimeout(ctx, o.length()+2*startTimeout+2*recoveryTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "catkinvalve-soak-")
	if err != nil {
		return Report{}, err
	}
	r := &run{opts: o, out: o.Out, rec: history.NewRecorder(), schedule: NewSchedule(o.Seed, o.length(), o.Kinds)}
	report, err := r.run(ctx, dir)
	report.LogDir = dir
	if err == nil && len(report.Violations) == 0 {
		return report, os.RemoveAll(dir)
	}
	if err != nil {
		err = fmt.Errorf("%w; logs are in %s", err, dir)
	}
	return report, err
}

func (r *run) run(ctx context.Context, dir string) (rep Report, err error) {
	r.printSchedule()
	if r.cell, err = startCell(ctx, r.opts.Bin, dir); err != nil {
		return Report{}, err
	}
	defer func() { err = errors.Join(err, r.cell.cluster.Stop()) }()
	r.load = newLoad(r.cell, r.rec)
	r.watch = newWatcher(r.cell, r.rec, r.load)
	r.pub = newPublisher(r.cell, r.rec)
	r.inject = &injector{cell: r.cell, pub: r.pub, logf: r.logf, injected: map[Kind]int{}}
	if err := r.prepare(ctx); err != nil {
		return Report{}, err
	}
	if err := r.runLoadAndFaults(ctx); err != nil {
		return Report{}, err
	}
	return r.report(), errors.Join(r.inject.errs...)
}

// prepare publishes the first configuration text and waits until every data centre
// has an owner that serves.
func (r *run) prepare(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	req := api.PublishRequest{PublishID: "soak-0", Base: 0, Text: configText(50, 90), Author: "soak"}
	if err := r.pub.publish(ctx, 0, req); err != nil {
		return fmt.Errorf("publish the first configuration text: %w", err)
	}
	return r.cell.cluster.WaitOwners(ctx, startTimeout)
}

// runLoadAndFaults runs the load, the faults and the watcher, ends all faults and waits
// for recovery and final fates.
func (r *run) runLoadAndFaults(ctx context.Context) error {
	r.start = time.Now()
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	loadCtx, stopLoad := context.WithTimeout(ctx, r.opts.length()+startTimeout+recoveryTimeout)
	defer stopLoad()
	var watchers, loadWork sync.WaitGroup
	watchers.Go(func() { r.watch.run(watchCtx) })
	loadWork.Go(func() {
		r.load.run(loadCtx, r.start, r.opts.length(), newPlanner(r.opts.Seed, r.opts.Rate, len(r.cell.ids)))
	})
	r.inject.run(ctx, r.start, r.schedule)
	pause.For(ctx, time.Until(r.start.Add(r.opts.length())))
	if err := r.cell.endFaults(ctx); err != nil {
		return fmt.Errorf("end all faults: %w", err)
	}
	r.logf("all faults have ended")
	r.awaitRecovery(ctx, &loadWork)
	stopLoad()
	loadWork.Wait()
	stopWatch()
	watchers.Wait()
	return r.watch.pollStarts(ctx)
}

// awaitRecovery waits for owners, verdicts, one revision everywhere and final fates.
// It adds a violation for each that does not come in time.
func (r *run) awaitRecovery(ctx context.Context, loadWork *sync.WaitGroup) {
	if err := r.cell.cluster.WaitOwners(ctx, recoveryTimeout); err != nil {
		r.addViolation(promiseRecovery, err)
	}
	r.logf("the wait for the owner of every data centre is over")
	if !waitWithTimeout(&r.pub.wg, recoveryTimeout) {
		r.addViolation(promiseRecovery, fmt.Errorf("publications have no verdict: %v", r.pub.pendingErrors()))
	}
	if err := testbed.WaitFor(ctx, propagationTimeout, "one revision at all daemons", func() bool { return r.watch.revisionsAgree(ctx) }); err != nil {
		r.addViolation(promiseConfigApplied, err)
	}
	if !waitWithTimeout(loadWork, recoveryTimeout) {
		r.addViolation(promiseRecovery, errors.New("keys have no final fate"))
	}
	r.logf("the wait for the callers' final fates is over")
	collectCtx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	r.load.collectFates(collectCtx)
	if collectCtx.Err() != nil {
		r.addViolation(promiseRecovery, errors.New("the fates could not be collected"))
	}
}

// waitWithTimeout waits for wg up to limit and reports whether it finished.
func waitWithTimeout(wg *sync.WaitGroup, limit time.Duration) bool {
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-time.After(max(limit, 0)):
		return false
	}
}

func (r *run) addViolation(promise string, err error) {
	r.violations = append(r.violations, Violation{Promise: promise, Detail: err.Error()})
}

func (r *run) report() Report {
	e := evidence{
		requests: r.load.requests, finalStatuses: r.load.finalStatuses, refusals: r.load.refusals, ops: r.rec.OpsByKey(), config: r.rec.ConfigOps(),
		starts: r.watch.starts, workerStats: r.watch.workerStats, crashedWorkers: r.cell.crashedWorkers,
	}
	rep := Report{
		Seed: r.opts.Seed, Schedule: r.schedule, Faults: r.inject.injected, Requests: len(e.requests),
		Fates: map[model.Fate]int{}, RefusedKeys: map[fault.Kind]int{}, FailedCalls: r.load.failedCalls,
		AcceptedPublications: r.pub.accepted.Load(), RefusedPublications: r.pub.refused.Load(),
		Violations: append(r.violations, findViolations(e)...),
	}
	for _, st := range e.finalStatuses {
		rep.Fates[st.Fate]++
	}
	for key, k := range e.refusals {
		if _, ok := e.finalStatuses[key]; !ok {
			rep.RefusedKeys[k]++
		}
	}
	for key, ops := range e.ops {
		for _, o := range ops {
			if o.Kind == history.Start {
				rep.Starts++
			} else if e.requests[key].req.Key != "" {
				rep.Calls++
			}
		}
	}
	return rep
}
