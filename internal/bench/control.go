package bench

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/testbed"
)

const (
	idleDuration   = 20 * time.Second
	loadDuration   = 20 * time.Second
	lowRate        = 20.0  // submissions per second
	loadRate       = 200.0 // submissions per second
	publications   = 5
	takeovers      = 5
	ownerTimeout   = 30 * time.Second
	settleTime     = 3 * time.Second
	controlTimeout = 4 * time.Minute
)

// controlDCs are the three data centres of the measured cluster, with 50 workers
// and 7 daemons in total.
var controlDCs = []testbed.DC{
	{Name: "klang-a", Region: "klang", Workers: 17, Daemons: 2},
	{Name: "klang-b", Region: "klang", Workers: 17, Daemons: 2},
	{Name: "penang-a", Region: "penang", Workers: 16, Daemons: 3},
}

// controlRun measures a cluster of real processes.
type controlRun struct {
	c       *testbed.Cluster
	text    string
	quick   bool
	figures []Figure
}

func measureControl(ctx context.Context, o Options) (_ []Figure, err error) {
	dir, err := os.MkdirTemp("", "bench-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	c, err := testbed.Start(ctx, testbed.Options{Bin: o.Bin, Dir: dir, DCs: controlDCs, Capacity: users[0].capacity, LogLevel: "warn"})
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Stop() }()
	m := &controlRun{c: c, quick: o.Quick}
	if err := m.prepare(ctx, o.ExamplesDir); err != nil {
		return nil, err
	}
	for _, step := range []func(context.Context) error{m.measureIdle, m.measureLoad, m.measurePublish, m.measureTakeover, m.checkCapacity} {
		if err := step(ctx); err != nil {
			return m.figures, err
		}
	}
	return m.figures, nil
}

var (
	newPercentPattern = regexp.MustCompile(`"new_percent": \d+`)
	oldSlotsPattern   = regexp.MustCompile(`"slots_per_worker": \d+`)
)

// prepare publishes the first user's configuration text with all services on the
// new system, and waits until every data centre has an owner.
func (m *controlRun) prepare(ctx context.Context, examples string) error {
	data, err := os.ReadFile(filepath.Join(examples, users[0].exampleFile))
	if err != nil {
		return err
	}
	m.text = newPercentPattern.ReplaceAllString(string(data), `"new_percent": 100`)
	m.text = oldSlotsPattern.ReplaceAllString(m.text, `"slots_per_worker": 0`)
	if _, err := m.c.Publish(ctx, m.text); err != nil {
		return err
	}
	if err := m.c.WaitOwners(ctx, ownerTimeout); err != nil {
		return err
	}
	return sleep(ctx, m.shortened(settleTime))
}

// shortened returns d, or a tenth of it in a quick run.
func (m *controlRun) shortened(d time.Duration) time.Duration {
	if m.quick {
		return d / 10
	}
	return d
}

func (m *controlRun) add(name string, value float64, unit, note string) {
	m.figures = append(m.figures, Figure{name, value, unit, note})
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func (m *controlRun) measureIdle(ctx context.Context) error {
	w, err := m.window(ctx, func() error { return sleep(ctx, m.shortened(idleDuration)) })
	if err != nil {
		return err
	}
	m.addWindow("idle", w, "no requests; 6 service instances run")
	return nil
}

// measureLoad measures a low submission rate and one ten times higher for the same
// duration.
func (m *controlRun) measureLoad(ctx context.Context) error {
	for _, l := range []struct {
		name string
		rate float64
	}{{"low", lowRate}, {"load", loadRate}} {
		var sent, refused int64
		w, err := m.window(ctx, func() (err error) {
			sent, refused, err = m.submitAll(ctx, l.name, l.rate)
			return err
		})
		if err != nil {
			return err
		}
		note := fmt.Sprintf("%.0f requests of 100 ms accepted a second over all data centres, %d refused", float64(sent)/w.seconds, refused)
		m.addWindow(l.name, w, note)
		m.add("control.starts."+l.name, float64(w.starts)/w.seconds, "starts/s", "")
	}
	return nil
}

// measurePublish measures the time from a publication until the revision is in
// effect at every daemon.
func (m *controlRun) measurePublish(ctx context.Context) error {
	var times []time.Duration
	for i := range m.repetitions(publications) {
		startTime := time.Now()
		res, err := m.c.Publish(ctx, fmt.Sprintf("%s\n// publication %d\n", m.text, i))
		if err != nil {
			return err
		}
		if err := testbed.WaitFor(ctx, ownerTimeout, "revision at all daemons", func() bool { return m.inEffectEverywhere(ctx, res.Revision) }); err != nil {
			return err
		}
		times = append(times, time.Since(startTime))
	}
	m.addTimes("control.publish", times, "from the call until in effect at all 7 daemons, polled every 30 ms")
	return nil
}

func (m *controlRun) repetitions(n int) int {
	if m.quick {
		return 1
	}
	return n
}

// inEffectEverywhere reports whether all daemons have the revision, or a later one,
// in effect.
func (m *controlRun) inEffectEverywhere(ctx context.Context, revision uint64) bool {
	for _, id := range m.c.DaemonIDs {
		cl, err := m.c.Client(id)
		if err != nil {
			return false
		}
		if doc, err := cl.Config(ctx); err != nil || doc.Revision < revision {
			return false
		}
	}
	return true
}

func (m *controlRun) addTimes(name string, times []time.Duration, note string) {
	var sum, longest time.Duration
	for _, t := range times {
		sum, longest = sum+t, max(longest, t)
	}
	m.add(name+".mean", (sum / time.Duration(len(times))).Seconds(), "s", fmt.Sprintf("%d runs; %s", len(times), note))
	m.add(name+".longest", longest.Seconds(), "s", "")
}

// measureTakeover measures the time from the kill of a data centre's owner until
// its successor serves and has recovered all earlier requests.
func (m *controlRun) measureTakeover(ctx context.Context) error {
	const dc = "penang-a"
	var times []time.Duration
	for range m.repetitions(takeovers) {
		owner, ok := m.c.Owner(ctx, dc)
		if !ok {
			return fmt.Errorf("data centre %s has no owner", dc)
		}
		startTime := time.Now()
		if err := m.c.Daemons[owner].Kill(); err != nil {
			return err
		}
		if err := testbed.WaitFor(ctx, ownerTimeout, "new owner of "+dc, func() bool {
			st, ok := m.c.Status(ctx, dc)
			return ok && st.Owner != "" && st.Owner != owner && !st.InDoubt
		}); err != nil {
			return err
		}
		times = append(times, time.Since(startTime))
		if err := m.c.Restart(owner); err != nil {
			return err
		}
		if err := testbed.WaitFor(ctx, ownerTimeout, "restart of "+owner, func() bool { return m.daemonReady(ctx, dc, owner) }); err != nil {
			return err
		}
	}
	m.addTimes("control.takeover", times, "from the kill of the owner until its successor serves with a complete memory")
	return nil
}

func (m *controlRun) daemonReady(ctx context.Context, dc, id string) bool {
	st, ok := m.c.Status(ctx, dc)
	if !ok {
		return false
	}
	for _, d := range st.Daemons {
		if d.ID == id {
			return d.Ready && d.Reachable
		}
	}
	return false
}

// checkCapacity returns an error if a worker counted a start above its capacity.
func (m *controlRun) checkCapacity(ctx context.Context) error {
	var over, double int64
	for _, dc := range m.c.Opts.DCs {
		s, err := m.c.WorkerStats(ctx, dc.Name)
		if err != nil {
			return err
		}
		for _, w := range s.Workers {
			over += w.OverCapacityStarts
			double += w.DoubleStarts
		}
	}
	m.add("control.past_capacity", float64(over), "starts", "counted by the workers")
	m.add("control.double_starts", float64(double), "starts", "counted by the workers")
	if over > 0 {
		return fmt.Errorf("%w: the workers counted %d", ErrOverCapacity, over)
	}
	return nil
}

// loadSize is small enough that only the slots limit the rate of starts.
var loadSize = model.Size{MilliCPU: 100, MemMB: 64, Slots: 1}
