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
	// Requests counts keys, Calls recorded calls.
	Requests, Calls int
	Starts          int
	Fates           map[model.Fate]int
	// Refused counts keys that were refused for good, Errors failed calls.
	RefusedKeys, FailedCalls                  map[fault.Kind]int
	AcceptedPublications, RefusedPublications int64
	Violations                                []Violation
	// Dir holds the logs; it is removed after a run without violations.
	LogDir string
}

// run is one run in progress.
type run struct {
	opts     Options
	out      io.Writer
	schedule []Fault
	cell     *cell
	rec      *history.Recorder
	load     *load
	watch    *watcher
	pub      *publisher
	inject   *injector
	outMu    sync.Mutex
	start    time.Time
	broken   []Violation
}

// Run runs a cluster under load and faults and checks it. The error is one of
// the run itself; broken promises are in the report.
func Run(ctx context.Context, o Options) (_ Report, err error) {
	if err := o.check(); err != nil {
		return Report{}, err
	}
	if o.Rate == 0 {
		o.Rate = DefaultRate
	}
	if o.Out == nil {
		o.Out = io.Discard
	}
	ctx, cancel := context.WithTimeout(ctx, o.length()+2*startLimit+2*settleLimit)
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
	defer func() { err = errors.Join(err, r.cell.tb.Stop()) }()
	r.load = newLoad(r.cell, r.rec)
	r.watch = newWatcher(r.cell, r.rec, r.load)
	r.pub = newPublisher(r.cell, r.rec)
	r.inject = &injector{cell: r.cell, pub: r.pub, say: r.say, done: map[Kind]int{}}
	if err := r.prepare(ctx); err != nil {
		return Report{}, err
	}
	if err := r.drive(ctx); err != nil {
		return Report{}, err
	}
	return r.report(), errors.Join(r.inject.errs...)
}

// prepare publishes the first text and waits until every data centre serves.
func (r *run) prepare(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	req := api.PublishRequest{PublishID: "soak-0", Base: 0, Text: configText(50, 90), Author: "soak"}
	if err := r.pub.publish(ctx, 0, req); err != nil {
		return fmt.Errorf("publish the first text: %w", err)
	}
	return r.cell.tb.WaitOwners(ctx, startLimit)
}

// drive runs load, faults and observers, ends the faults and waits for the fates.
func (r *run) drive(ctx context.Context) error {
	r.start = time.Now()
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	loadCtx, stopLoad := context.WithTimeout(ctx, r.opts.length()+startLimit+settleLimit)
	defer stopLoad()
	var watchers, work sync.WaitGroup
	watchers.Go(func() { r.watch.run(watchCtx) })
	work.Go(func() {
		r.load.run(loadCtx, r.start, r.opts.length(), newPlanner(r.opts.Seed, r.opts.Rate, len(r.cell.ids)))
	})
	r.inject.run(ctx, r.start, r.schedule)
	pause.For(ctx, time.Until(r.start.Add(r.opts.length())))
	if err := r.cell.heal(ctx); err != nil {
		return fmt.Errorf("end all faults: %w", err)
	}
	r.say("all faults have ended")
	r.settle(ctx, &work)
	stopLoad()
	work.Wait()
	stopWatch()
	watchers.Wait()
	return r.watch.poll(ctx)
}

// settle waits for owners, configuration and fates, and notes what does not come.
func (r *run) settle(ctx context.Context, work *sync.WaitGroup) {
	if err := r.cell.tb.WaitOwners(ctx, settleLimit); err != nil {
		r.violate(promiseHealed, err)
	}
	r.say("every data centre has an owner and no doubt")
	if !waitGroup(&r.pub.wg, settleLimit) {
		r.violate(promiseHealed, fmt.Errorf("publications have no verdict: %v", r.pub.open()))
	}
	if err := testbed.WaitFor(ctx, effectLimit, "one revision at all daemons", func() bool { return r.watch.inEffect(ctx) }); err != nil {
		r.violate(promiseEffect, err)
	}
	if !waitGroup(work, settleLimit) {
		r.violate(promiseHealed, errors.New("keys have no final fate"))
	}
	r.say("callers have their fates")
	collectCtx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	r.load.collect(collectCtx)
	if collectCtx.Err() != nil {
		r.violate(promiseHealed, errors.New("the fates could not be collected"))
	}
}

// waitGroup waits for wg up to limit.
func waitGroup(wg *sync.WaitGroup, limit time.Duration) bool {
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

func (r *run) violate(promise string, err error) {
	r.broken = append(r.broken, Violation{Promise: promise, Detail: err.Error()})
}

func (r *run) report() Report {
	e := evidence{
		requests: r.load.requests, finals: r.load.finals, ended: r.load.ended, ops: r.rec.OpsByKey(), config: r.rec.ConfigOps(),
		starts: r.watch.starts, fleets: r.watch.fleets, crashed: r.cell.crashed,
	}
	rep := Report{
		Seed: r.opts.Seed, Schedule: r.schedule, Faults: r.inject.done, Requests: len(e.requests),
		Fates: map[model.Fate]int{}, RefusedKeys: map[fault.Kind]int{}, FailedCalls: r.load.errors,
		AcceptedPublications: r.pub.accepted.Load(), RefusedPublications: r.pub.refused.Load(),
		Violations: append(r.broken, check(e)...),
	}
	for _, st := range e.finals {
		rep.Fates[st.Fate]++
	}
	for key, k := range e.ended {
		if _, ok := e.finals[key]; !ok {
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
