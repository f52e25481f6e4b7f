// Package demo runs the demonstration that make demo shows: requests of several kinds
// while the owner of a data centre is killed.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"catkinvalve/internal/api"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/testbed"
)

const (
	// runLimit ends a demonstration that does not finish.
	runLimit = 50 * time.Second
	// ownerWait bounds each wait for an owner, and for the start of a request that is
	// cancelled while it runs.
	ownerWait = 15 * time.Second
	// fateWaitMS bounds the wait for each final fate, in milliseconds.
	fateWaitMS = 20_000
)

// configFile is the published configuration text, relative to the directory of the
// programs.
const configFile = "../examples/kembang-udara.jsonc"

var dataCentres = []testbed.DC{
	{Name: "klang-a", Region: "klang", Workers: 5, Daemons: 2},
	{Name: "klang-b", Region: "klang", Workers: 5, Daemons: 2},
	{Name: "penang-a", Region: "penang", Workers: 4, Daemons: 2},
}

// submission is one request of the demonstration.
type submission struct {
	what string
	req  api.SubmitRequest
	// cancel is set if the request is cancelled once it runs.
	cancel bool
}

func submissions() []submission {
	no := false
	return []submission{
		{what: "rider slot, not idempotent", req: api.SubmitRequest{Key: "klang-a:slot-1001", Service: "slot-confirmation", Idempotent: &no}},
		{what: "fill plan (batch)", req: api.SubmitRequest{Key: "klang-a:plan-7", Service: "fill-plan", RunMS: 4000}},
		{what: "fill plan (batch)", req: api.SubmitRequest{Key: "klang-a:plan-12", Service: "fill-plan", RunMS: 4000}},
		{what: "report (batch)", req: api.SubmitRequest{Key: "klang-a:report-1", Service: "daily-report", RunMS: 4000}},
		{what: "routes (all at once)", req: api.SubmitRequest{Key: "klang-a:routes-3", Service: "route-plan", Tasks: 4, RunMS: 4000}},
		{what: "routes (all at once)", req: api.SubmitRequest{Key: "klang-a:routes-4", Service: "route-plan", Tasks: 4, RunMS: 4000}},
		{what: "other data centre", req: api.SubmitRequest{Key: "penang-a:plan-8", Service: "fill-plan", RunMS: 1000}},
		{what: "key without prefix", req: api.SubmitRequest{Key: "report-9", Service: "daily-report", RunMS: 500}},
		{what: "cancelled while running", req: api.SubmitRequest{Key: "klang-b:report-10", Service: "daily-report", RunMS: 60_000}, cancel: true},
		{what: "deadline already passed", req: api.SubmitRequest{Key: "klang-b:report-11", Service: "daily-report", Deadline: expiredDeadline()}},
		{what: "fits no worker", req: api.SubmitRequest{Key: "klang-b:report-12", Service: "daily-report", Size: &model.Size{MilliCPU: 64_000, MemMB: 1024, Slots: 1}}},
	}
}

func expiredDeadline() *time.Time {
	t := time.Now().Add(-time.Second)
	return &t
}

// Run runs the demonstration and prints it to out. bin is the directory of the built
// programs.
func Run(bin string, out io.Writer) (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), runLimit)
	defer cancel()
	dir, err := os.MkdirTemp("", "catkinvalve-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	text, err := os.ReadFile(filepath.Join(bin, configFile))
	if err != nil {
		return err
	}
	fmt.Fprintln(out, "Starting the log, the instance list, the old system, 14 workers and 6 daemons in 3 data centres.")
	c, err := testbed.Start(ctx, testbed.Options{
		Bin: bin, Dir: dir, DCs: dataCentres, Capacity: model.Size{MilliCPU: 32000, MemMB: 131072, Slots: 8, Conns: 64},
	})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, c.Stop()) }()
	res, err := c.Publish(ctx, string(text))
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "Published examples/kembang-udara.jsonc: revision %d is accepted.\n", res.Revision)
	if err := c.WaitOwners(ctx, ownerWait); err != nil {
		return err
	}
	return runRequests(ctx, c, out)
}

// runRequests submits the requests, kills the owner of klang-a and prints the fates after
// its standby has taken over.
func runRequests(ctx context.Context, c *testbed.Cluster, out io.Writer) error {
	client, err := c.Client()
	if err != nil {
		return err
	}
	list := submissions()
	results := make([]result, len(list))
	for i, s := range list {
		results[i] = submit(ctx, client, s)
	}
	owner, ok := c.Owner(ctx, "klang-a")
	if !ok {
		return errors.New("klang-a lost its owner before the kill")
	}
	fmt.Fprintf(out, "Killing %s, the owner of klang-a, with work in flight.\n", owner)
	if err := c.Daemons[owner].Kill(); err != nil {
		return err
	}
	killed := time.Now()
	if err := testbed.WaitFor(ctx, ownerWait, "new owner of klang-a", func() bool {
		id, ok := c.Owner(ctx, "klang-a")
		return ok && id != owner
	}); err != nil {
		return err
	}
	fmt.Fprintf(out, "Its standby took over after %.1f s.\n\n", time.Since(killed).Seconds())
	return report(ctx, c, list, results, out)
}

// result is the outcome of a submission. refused is nil if the fate has to be queried.
type result struct {
	refused error
}

// submit submits a request. A request that is to be cancelled is cancelled once it runs, or
// after ownerWait.
func submit(ctx context.Context, client *api.Client, s submission) result {
	_, err := client.Submit(ctx, s.req)
	if err != nil {
		return result{refused: err}
	}
	if s.cancel {
		_ = testbed.WaitFor(ctx, ownerWait, "start of "+s.req.Key, func() bool {
			st, err := client.Fate(ctx, s.req.Key)
			return err == nil && st.Fate == model.Running
		})
		_, err = client.Cancel(ctx, s.req.Key)
	}
	return result{refused: err}
}

// report waits for the final fates and prints them as a table, followed by the counters
// of the workers.
func report(ctx context.Context, c *testbed.Cluster, list []submission, results []result, out io.Writer) error {
	client, err := c.Client()
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "KEY\tWHAT\tSIDE\tFATE\tWHY")
	var errs []error
	for i, s := range list {
		fate, side, why := model.NotRun, model.Side("-"), ""
		if results[i].refused != nil {
			why = string(fault.KindOf(results[i].refused))
		} else {
			st, err := waitFate(ctx, client, s.req.Key)
			if err != nil {
				errs = append(errs, err)
				continue
			}
			fate, side, why = st.Fate, st.Side, string(st.Reason)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", s.req.Key, s.what, side, fate, why)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return errors.Join(append(errs, printWorkerCounts(ctx, c, out))...)
}

// waitFate waits until a request has a final fate, at most for fateWaitMS.
func waitFate(ctx context.Context, client *api.Client, key string) (api.RequestStatus, error) {
	var st api.RequestStatus
	err := testbed.WaitFor(ctx, fateWaitMS*time.Millisecond, "final fate of "+key, func() bool {
		var err error
		st, err = client.Fate(ctx, key)
		return err == nil && st.Fate.Terminal()
	})
	return st, err
}

// printWorkerCounts prints the starts that the workers counted. It returns an error if
// a worker was overloaded or started a task twice.
func printWorkerCounts(ctx context.Context, c *testbed.Cluster, out io.Writer) error {
	var starts, over, double int64
	for _, dc := range dataCentres {
		s, err := c.WorkerStats(ctx, dc.Name)
		if err != nil {
			return err
		}
		for _, w := range s.Workers {
			starts += w.Starts
			over += w.OverCapacityStarts
			double += w.DoubleStarts
		}
	}
	fmt.Fprintf(out, "\nThe workers counted %d starts, %d past their capacity and %d of a task that already ran.\n", starts, over, double)
	if over+double > 0 {
		return errors.New("a worker was overloaded or ran a task twice")
	}
	return nil
}
