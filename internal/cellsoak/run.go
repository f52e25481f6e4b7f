// Package cellsoak runs daemons on the users' platform as separate processes under a
// seeded load and a seeded schedule of faults. It checks the platform's rules by what
// callers and workers observe. The store, the advice service and the workers are
// stand-ins in the process of the soak. Faults come from outside the daemons: signals,
// proxies on their connections and faulty stand-ins.
package cellsoak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"
)

// Options configure a run.
type Options struct {
	// Bin is the directory of the built programs.
	Bin string
	// Seconds is the duration of the load, from 1 to 86400.
	Seconds int
	Seed    uint64
	// Rate is the number of new jobs per second, above 0 and at most 500.
	Rate float64
	// Daemons and Workers are from 1 to 200.
	Daemons, Workers int
	// Deadly selects a schedule of jobs whose tasks crash their workers.
	Deadly bool
	// Mixed adds the faults of a run without Deadly to that schedule.
	Mixed bool
	// Tenants gives the jobs tenants, with limits and keys that change during the run.
	Tenants bool
	// Out receives the schedule and the progress.
	Out io.Writer
}

// Defaults of a run.
const (
	DefaultRate    = 8
	DefaultDaemons = 5
	DefaultWorkers = 8
)

// Bounds of a run.
const (
	maxSeconds = 24 * 3600
	maxRate    = 500
	maxDaemons = 200
	maxWorkers = 200
	// startTimeout bounds the time until the cell accepts its first job.
	startTimeout = 20 * time.Second
	// settleTimeout bounds the time from the end of the faults until the last job has
	// a final state.
	settleTimeout = 40 * time.Second
)

// Report is the outcome of a run.
type Report struct {
	Faults   map[Kind]int
	Jobs     int
	Accepted int
	// Completed counts the jobs with a final state, also those that failed or were
	// cancelled, and Starts the starts of tasks.
	Completed int
	Starts    int
	// Crashes counts the workers that crashed under tasks, NewIDs those of them that were
	// back under a new ID, and Bystanders the innocent tasks under which several crashed.
	Crashes, NewIDs, Bystanders int

	Violations []string
	// LogDir holds the logs; it is removed after a run without violations or
	// failed injections.
	LogDir string
}

func (o *Options) validate() error {
	switch {
	case o.Seconds < 1 || o.Seconds > maxSeconds:
		return fmt.Errorf("seconds must be from 1 to %d", maxSeconds)
	case o.Rate <= 0 || o.Rate > maxRate:
		return fmt.Errorf("rate must be above 0 and at most %d", maxRate)
	case o.Daemons < 1 || o.Daemons > maxDaemons || o.Workers < 1 || o.Workers > maxWorkers:
		return fmt.Errorf("daemons and workers must be from 1 to %d", maxDaemons)
	case o.Mixed && !o.Deadly:
		return errors.New("mixed needs deadly")
	}
	return nil
}

// schedule draws the faults of the run.
func (o *Options) schedule(length time.Duration) []Fault {
	switch {
	case o.Mixed:
		return mixedSchedule(o.Seed, length, o.Daemons, o.Workers)
	case o.Deadly:
		return deadlySchedule(o.Seed, length, o.Workers)
	}
	return newSchedule(o.Seed, length, o.Daemons, o.Workers)
}

// Run runs a cell under load and faults and checks it. An error means that the run itself
// failed; violations of the platform's rules are in the report.
func Run(ctx context.Context, o Options) (rep Report, err error) {
	if err := o.validate(); err != nil {
		return Report{}, err
	}
	if rep.LogDir, err = os.MkdirTemp("", "catkinvalve-cellsoak-"); err != nil {
		return rep, err
	}
	c, err := newCell(o.Bin, rep.LogDir, o.Daemons, o.Workers, o.Seed, o.Tenants)
	if c != nil {
		defer func() { err = errors.Join(err, c.stop()) }()
	}
	if err != nil {
		return rep, err
	}
	length := time.Duration(o.Seconds) * time.Second
	ctx, cancel := context.WithTimeout(ctx, startTimeout+length+2*settleTimeout)
	defer cancel()
	go c.runWorkers(ctx)
	l := &load{cell: c, rng: rand.New(rand.NewPCG(o.Seed, 2)), deadlyRng: rand.New(rand.NewPCG(o.Seed, 3))}
	schedule := o.schedule(length)
	for _, f := range schedule {
		fmt.Fprintln(o.Out, f)
	}
	startTime := time.Now()
	c.checker.startTime = startTime
	var outMu sync.Mutex
	in := &injector{cell: c, startTime: startTime, injected: map[Kind]int{}, logf: func(format string, args ...any) {
		outMu.Lock()
		defer outMu.Unlock()
		fmt.Fprintf(o.Out, "%7.3f s  %s\n", time.Since(startTime).Seconds(), fmt.Sprintf(format, args...))
	}}
	loadCtx, stopLoad := context.WithTimeout(ctx, length)
	defer stopLoad()
	faultsDone := make(chan struct{})
	go func() {
		defer close(faultsDone)
		in.run(ctx, schedule)
	}()
	tenantsDone := make(chan error, 1)
	go func() {
		if o.Tenants {
			tenantsDone <- c.changeTenants(loadCtx)
			return
		}
		tenantsDone <- nil
	}()
	l.run(loadCtx, o.Rate)
	<-faultsDone
	if err := <-tenantsDone; err != nil {
		return rep, err
	}
	settleCtx, stopSettle := context.WithTimeout(ctx, settleTimeout)
	defer stopSettle()
	l.awaitFinalStates(settleCtx)
	c.checkDaemons(ctx)
	c.checkKeys(ctx)
	c.summarize(&rep, in)
	if len(rep.Violations) == 0 && len(in.errs) == 0 {
		return rep, os.RemoveAll(rep.LogDir)
	}
	return rep, errors.Join(in.errs...)
}

// summarize fills the counts and violations of a report.
func (c *soakCell) summarize(rep *Report, in *injector) {
	c.checker.mu.Lock()
	defer c.checker.mu.Unlock()
	rep.Faults, rep.Jobs, rep.Starts = in.injected, len(c.checker.jobs), c.checker.starts
	rep.Crashes, rep.NewIDs = c.checker.crashes, int(c.newIDs.Load())
	for ref, t := range c.checker.tasks {
		if t.crashes >= minCrashes && !c.checker.deadly(ref) {
			rep.Bystanders++
		}
	}
	rep.Violations = slices.Clone(c.checker.violations)
	for _, j := range c.checker.jobs {
		if j.accepted {
			rep.Accepted++
		}
		if j.finalState != "" {
			rep.Completed++
		}
	}
}

// Print writes the report.
func (r *Report) Print(out io.Writer) {
	fmt.Fprintf(out, "%d jobs, %d accepted, %d with a final state, %d starts, faults %v\n", r.Jobs, r.Accepted, r.Completed, r.Starts, r.Faults)
	if r.Crashes > 0 {
		fmt.Fprintf(out, "%d crashes of workers under tasks, %d times back under a new ID, %d innocent tasks on two or more of them\n", r.Crashes, r.NewIDs, r.Bystanders)
	}
	for _, v := range r.Violations {
		fmt.Fprintln(out, v)
	}
	if len(r.Violations) > 0 {
		fmt.Fprintf(out, "%d violations; logs in %s\n", len(r.Violations), r.LogDir)
	}
}
