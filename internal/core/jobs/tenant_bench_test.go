package jobs

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/tenant"
)

const (
	// benchWorkers is the number of workers of the measured cell.
	benchWorkers = 100
	// benchBlock is how many decisions on one cell are measured before those on the next one.
	benchBlock = 200
)

// benchCell is a leader with a number of tenants. Nine tenths of its workers are in use, and a backlog
// of jobs waits for more than the rest.
type benchCell struct {
	*testBench
	tenants  int
	next     int
	ends     map[model.WorkerID][]RunEnd
	lastSeqs map[model.WorkerID]int64
	blocks   []time.Duration
}

func newBenchCell(tb testing.TB, tenants, backlog int) *benchCell {
	cfg := testConfig()
	cfg.Retention = 100 * time.Millisecond
	c := &benchCell{testBench: &testBench{core: New(cfg), now: startTime}, tenants: tenants, ends: map[model.WorkerID][]RunEnd{}, lastSeqs: map[model.WorkerID]int64{}}
	c.core.SetQueues([]Queue{{Name: "q", Service: "s", MaxAttempts: 2, Slack: 1000, Target: time.Hour}})
	c.core.SetTenants(c.now, c.config())
	c.core.Restore(c.now, c.now, Snapshot{})
	var entries []WorkerEntry
	for i := range benchWorkers {
		entries = append(entries, workerEntry(fmt.Sprintf("w%03d", i)))
	}
	c.core.SetWorkers(c.now, entries)
	c.settle()
	lasting, waiting := smallStep(7*benchWorkers), smallStep(1)
	lasting.LongRunning, lasting.MaxPerWorker, waiting.Size.MilliCPU = true, 7, 4000
	c.submitNext("lasting", lasting)
	c.settle()
	for i := range backlog {
		c.submitNext(fmt.Sprint("waiting", i), waiting)
	}
	c.settle()
	assert.Equal(tb, len(c.core.ready), backlog)
	return c
}

// settle lets the leader carry out what is due.
func (c *benchCell) settle() {
	for range 20 {
		c.core.Tick(c.now, c.now)
		c.round()
	}
}

// config returns the tenants of the cell, half of which have a limit; nil if there are none.
func (c *benchCell) config() *tenant.Set {
	if c.tenants == 0 {
		return nil
	}
	var configs []tenant.Config
	for i := range c.tenants {
		t := tenant.Config{Name: c.name(i), Weight: 1e6}
		if i%2 == 1 {
			t.Limit = model.Size{MilliCPU: 8000 * benchWorkers, MemMB: 16_000 * benchWorkers}
		}
		configs = append(configs, t)
	}
	return tenant.NewSet(configs)
}

func (c *benchCell) name(i int) string { return fmt.Sprintf("tenant%05d", i) }

// submitNext submits a job of the next tenant. The step of 7 has no common factor with any number of
// tenants, so that each tenant has its turn.
func (c *benchCell) submitNext(id string, step Step) {
	spec := &Spec{ID: id, Queue: "q", Steps: []Step{step}}
	if c.tenants > 0 {
		spec.Tenant = c.name(7 * c.next % c.tenants)
	}
	c.next++
	c.core.Submit(c.now, spec, 1)
	c.save()
}

func (c *benchCell) save() {
	if batch := c.core.TakeBatch(); batch != nil {
		c.core.HandleBatchStored(c.now, batch.Seq)
	}
}

// round makes the leader decide and answers its requests. Runs of tasks that are not lasting end at
// once.
func (c *benchCell) round() {
	c.now = c.now.Add(time.Millisecond)
	c.core.Schedule(c.now)
	out := c.core.TakeActions()
	for _, s := range out.Starts {
		c.core.HandleStartResult(c.now, &StartResult{Worker: s.Worker, Task: s.Task, Run: s.Run, Status: CallOK, ClockMs: c.clockMs()})
		if s.Task.Job != "lasting" {
			c.lastSeqs[s.Worker]++
			c.ends[s.Worker] = append(c.ends[s.Worker], RunEnd{Seq: c.lastSeqs[s.Worker], Task: s.Task, Run: s.Run, Kind: EndDone})
		}
	}
	for _, req := range out.Syncs {
		c.ends[req.Worker] = slices.DeleteFunc(c.ends[req.Worker], func(e RunEnd) bool { return e.Seq <= req.AckCursor })
		r := SyncResult{Worker: req.Worker, SentAt: c.now, Incarnation: 1, ClockMs: c.clockMs(), Ends: slices.Clone(c.ends[req.Worker])}
		for _, run := range c.core.workers[req.Worker].runs {
			if run.ref.Job == "lasting" {
				r.Running = append(r.Running, RunReport{Task: run.ref, Run: run.number, Percent: 100})
			}
		}
		c.core.HandleSyncResult(c.now, &r)
	}
	c.save()
}

// decide measures a block of decisions: each is a job from its submission to its end.
func (c *benchCell) decide() {
	begin := time.Now()
	for i := range benchBlock {
		c.submitNext(fmt.Sprint("j", c.next), smallStep(1))
		c.round()
		if i%50 == 0 {
			c.core.Tick(c.now, c.now)
		}
	}
	c.blocks = append(c.blocks, time.Since(begin)/benchBlock)
}

// cost returns the median time of one decision.
func (c *benchCell) cost() time.Duration {
	slices.Sort(c.blocks)
	return c.blocks[len(c.blocks)/2]
}

// BenchmarkDecisionWithTenants measures a decision with 0, 20, 2,000 and 20,000 tenants in turn, with and
// without a backlog. Guards against a cost that grows with the number of tenants: the ratio of 20,000
// to 20 tenants must be at most 1.2, and that of 20 tenants to none at most 1.1.
func BenchmarkDecisionWithTenants(b *testing.B) {
	for _, backlog := range []int{0, 200} {
		b.Run(fmt.Sprint("backlog ", backlog), func(b *testing.B) {
			var cells []*benchCell
			for _, n := range []int{0, 20, 2000, 20_000} {
				cells = append(cells, newBenchCell(b, n, backlog))
			}
			for b.Loop() {
				for _, c := range cells {
					c.decide()
				}
			}
			for _, c := range cells {
				b.ReportMetric(float64(c.cost().Nanoseconds()), fmt.Sprintf("ns/decision_%d", c.tenants))
			}
			b.ReportMetric(float64(cells[1].cost())/float64(cells[0].cost()), "ratio_20_to_none")
			b.ReportMetric(float64(cells[2].cost())/float64(cells[1].cost()), "ratio_2000_to_20")
			b.ReportMetric(float64(cells[3].cost())/float64(cells[1].cost()), "ratio_20000_to_20")
		})
	}
}
