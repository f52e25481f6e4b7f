package scenarios

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"catkinvalve/internal/api"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/testbed"
)

// waitTimeout limits every wait for which the design specifies no time limit. It is
// long because the test may run on a busy instance.
const waitTimeout = 40 * time.Second

type scenarioKey struct{}

// scenario is the state of one running script.
type scenario struct {
	// mu guards the daemons of the cluster, which the script changes while callers
	// and the sampler use them.
	mu      sync.RWMutex
	ctx     context.Context
	cancel  context.CancelFunc
	dir     string
	cluster *testbed.Cluster
	dcs     []testbed.DC
	// share is the new system's percentage in the last published text, oldSlots the
	// number of slots of each worker that the old system may use.
	share, oldSlots int
	callers         *callers
	sampler         *sampler
	cuts            cuts
	// leavingSince is when the list first showed a worker as leaving or the worker
	// was drained.
	leavingSince map[string]time.Time
	loads        map[string]*load
	group        sync.WaitGroup

	// replacements counts the uses of replace-all and makes daemon IDs unique.
	replacements int
}

func newScenario() *scenario {
	ctx, cancel := context.WithCancel(context.Background())
	return &scenario{ctx: ctx, cancel: cancel, callers: newCallers(), leavingSince: map[string]time.Time{}, loads: map[string]*load{}}
}

func scenarioOf(ts *testscript.TestScript) *scenario { return ts.Value(scenarioKey{}).(*scenario) }

// close stops the cluster and fails the test if a program panicked or had a data
// race.
func (sc *scenario) close(t testscript.T) {
	sc.cancel()
	sc.group.Wait()
	if sc.cluster == nil {
		return
	}
	if err := sc.cluster.Stop(); err != nil {
		t.Log("stop the cluster:", err)
	}
	defects := programDefects(sc.dir)
	if keep := os.Getenv("SCENARIO_LOGS"); keep == "" {
		_ = os.RemoveAll(sc.dir)
	}
	if len(defects) > 0 {
		t.Fatal(strings.Join(defects, "\n"))
	}
}

// programDefects returns the panics, fatal errors and data races in the logs of the
// programs.
func programDefects(dir string) []string {
	var out []string
	files, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, name := range files {
		data, _ := os.ReadFile(name)
		for _, mark := range []string{"panic:", "WARNING: DATA RACE", "fatal error:"} {
			if i := strings.Index(string(data), mark); i >= 0 {
				out = append(out, fmt.Sprintf("%s: %.3000s", filepath.Base(name), data[i:]))
			}
		}
	}
	return out
}

// newFlagSet returns a flag set for the arguments of a command.
func newFlagSet(name string) *flag.FlagSet {
	f := flag.NewFlagSet(name, flag.ContinueOnError)
	f.SetOutput(io.Discard)
	return f
}

// parseInterspersed parses options before, between and after the other arguments and
// returns the latter. The flag package alone treats an option after an argument as an
// argument.
func parseInterspersed(ts *testscript.TestScript, f *flag.FlagSet, args []string) []string {
	var rest []string
	for {
		ts.Check(f.Parse(args))
		args = f.Args()
		if len(args) == 0 {
			return rest
		}
		rest, args = append(rest, args[0]), args[1:]
	}
}

// cmdCluster starts a cluster: cluster [options].
func cmdCluster(ts *testscript.TestScript, _ bool, args []string) {
	sc := scenarioOf(ts)
	f := newFlagSet("cluster")
	names := f.String("dcs", "klang-a,klang-b,penang-a", "")
	workers, daemons := f.Int("workers", 3, ""), f.Int("daemons", 2, "")
	ttl, grace := f.Duration("ttl", 1500*time.Millisecond, ""), f.Duration("grace", 5*time.Second, "")
	lag, settle := f.Duration("lag", 0, ""), f.Duration("settle", 500*time.Millisecond, "")
	share, oldSlots := f.Int("share", 100, ""), f.Int("old-slots", 0, "")
	parseInterspersed(ts, f, args)
	for name := range strings.SplitSeq(*names, ",") {
		region, _, _ := strings.Cut(name, "-")
		sc.dcs = append(sc.dcs, testbed.DC{Name: name, Region: region, Workers: *workers, Daemons: *daemons})
	}
	ts.Check(sc.makeDir(ts.Name()))
	c, err := testbed.Start(sc.ctx, testbed.Options{
		Bin: programDir, Dir: sc.dir, DCs: sc.dcs, LeaseTTL: *ttl, TaskGrace: *grace, SettleTime: *settle, ListLag: *lag,
		Capacity: model.Size{MilliCPU: 4000, MemMB: 4096, Slots: 4, Conns: 16},
	})
	ts.Check(err)
	sc.cluster, sc.share, sc.oldSlots = c, *share, *oldSlots
	sc.sampler = newSampler(sc)
	sc.group.Go(func() { sc.sampler.run(sc.ctx) })
	_, err = c.Publish(sc.ctx, sc.text("first"))
	ts.Check(err)
	ts.Check(c.WaitOwners(sc.ctx, waitTimeout))
}

func (sc *scenario) makeDir(name string) error {
	if keep := os.Getenv("SCENARIO_LOGS"); keep != "" {
		sc.dir = filepath.Join(keep, name)
		return os.MkdirAll(sc.dir, 0o700)
	}
	var err error
	sc.dir, err = os.MkdirTemp("", "scenario-")
	return err
}

// text returns a configuration text with the current share of the new system.
func (sc *scenario) text(note string) string {
	var dcs []string
	for _, dc := range sc.dcs {
		dcs = append(dcs, fmt.Sprintf(`{"name": %q, "region": %q}`, dc.Name, dc.Region))
	}
	const size = `"size": {"milli_cpu": 1000, "mem_mb": 256}, "run_ms": 300, "new_percent": %d}`
	size1 := fmt.Sprintf(size, sc.share)
	return fmt.Sprintf(`// %s
{"cell": "scenario", "data_centres": [%s],
 "teams": [{"name": "t", "quota": {"milli_cpu": 12000, "slots": 12}}],
 "services": [
  {"name": "plan", "team": "t", "class": "batch", "idempotent": true, %s,
  {"name": "slot", "team": "t", "class": "interactive", "idempotent": false, %s,
  {"name": "routes", "team": "t", "class": "all_at_once", "tasks": 3, "idempotent": true, %s],
 "old": {"slots_per_worker": %d}}
`, note, strings.Join(dcs, ", "), size1, size1, size1, sc.oldSlots)
}

// updateCluster calls fn, which adds, replaces or restarts daemons, with mu held.
func (sc *scenario) updateCluster(fn func() error) error {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return fn()
}

// client returns an API client of one daemon, or an error if it was replaced.
func (sc *scenario) client(id string) (*api.Client, error) {
	sc.mu.RLock()
	defer sc.mu.RUnlock()
	if sc.cluster.Daemons[id] == nil {
		return nil, fmt.Errorf("daemon %s was replaced", id)
	}
	return sc.cluster.Client(id)
}

// daemonsOf returns the daemons that comma-separated words select. A word is an ID, a
// data centre or "all".
func (sc *scenario) daemonsOf(words string) []string {
	sc.mu.RLock()
	defer sc.mu.RUnlock()
	var out []string
	for word := range strings.SplitSeq(words, ",") {
		for _, id := range sc.cluster.DaemonIDs {
			if word == "all" || word == id || word == sc.cluster.Daemons[id].DataCentre {
				out = append(out, id)
			}
		}
	}
	return out
}

// via replaces owner@DC and standby@DC by the ID of the daemon that currently has
// that role.
func (sc *scenario) via(ts *testscript.TestScript, words string) string {
	if role, dc, ok := strings.Cut(words, "@"); ok {
		return sc.daemonArg(ts, []string{role, dc})
	}
	return words
}

// running returns the selected daemons that are neither ended nor paused.
func (sc *scenario) running(words string) []string {
	var out []string
	for _, id := range sc.daemonsOf(words) {
		sc.mu.RLock()
		d := sc.cluster.Daemons[id]
		// The script may have replaced the daemon since daemonsOf returned.
		alive := d != nil && d.Process != nil && d.Alive()
		sc.mu.RUnlock()
		if alive && !sc.sampler.paused(id) {
			out = append(out, id)
		}
	}
	return out
}

// daemonArg returns the ID of the daemon that "owner DC", "standby DC" or an ID
// selects. It waits until the data centre has an owner.
func (sc *scenario) daemonArg(ts *testscript.TestScript, args []string) string {
	if len(args) == 1 && len(sc.daemonsOf(args[0])) == 1 {
		return args[0]
	}
	if len(args) != 2 {
		ts.Fatalf("want a daemon, owner DC or standby DC, have %q", args)
	}
	var owner string
	ts.Check(testbed.WaitFor(sc.ctx, waitTimeout, "owner of "+args[1], func() bool {
		var ok bool
		owner, ok = sc.cluster.Owner(sc.ctx, args[1])
		return ok
	}))
	if args[0] == "owner" {
		return owner
	}
	for _, id := range sc.running(args[1]) {
		if id != owner {
			return id
		}
	}
	ts.Fatalf("%s has no standby", args[1])
	return ""
}
