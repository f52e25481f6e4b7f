package jobs

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/retry"
)

// startTime is the virtual time at which tests start.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testConfig() Config {
	return Config{
		Token: 1, LeaseDuration: 4500 * time.Millisecond, MaxWorkerLease: 10 * time.Second, MaxCallDelay: 13 * time.Second, SyncWait: time.Second,
		ClockDrift: 0.02, SilentAfter: 1700 * time.Millisecond,
		GangTimeout: 3 * time.Second, StartTimeout: 350 * time.Millisecond, Retention: 150 * time.Second,
		MaxUnfinishedJobs: 1000, EndsPerPage: 500, RunTimeModel: true,
		Health: retry.HealthConfig{FailureThreshold: 2, BaseQuarantine: 2 * time.Second, MaxQuarantine: 8 * time.Second, MaxQuarantinedPercent: 25, MaxAttempts: 1 << 20, MaxKeys: 4096},
	}
}

// testBench drives a core step by step: it collects the core's actions, and the
// test answers them.
type testBench struct {
	t    *testing.T
	core *Core
	now  time.Time
	out  Actions
	// deniedJob is the job that step allows on no worker.
	deniedJob string
}

func newTestBench(t *testing.T, queues ...Queue) *testBench {
	t.Helper()
	b := &testBench{t: t, core: New(testConfig()), now: startTime}
	if len(queues) == 0 {
		queues = []Queue{{Name: "q", Service: "s", MaxAttempts: 2, Slack: 2, Target: time.Second}}
	}
	b.core.SetQueues(queues)
	b.core.Restore(b.now, b.now, Snapshot{})
	return b
}

// workerEntry describes a worker with 8 cores.
func workerEntry(id string) WorkerEntry {
	return WorkerEntry{ID: model.WorkerID(id), Address: id + ":1", Service: "s", Labels: []string{"a", "r1"},
		Capacity: model.Size{MilliCPU: 8000, MemMB: 16000}, Incarnation: 1}
}

// advance moves the time forward and collects the core's actions.
func (b *testBench) advance(d time.Duration) Actions {
	b.t.Helper()
	b.now = b.now.Add(d)
	b.core.Tick(b.now, b.now)
	b.core.Schedule(b.now)
	out := b.core.TakeActions()
	b.out.Responses = append(b.out.Responses, out.Responses...)
	b.out.Events = append(b.out.Events, out.Events...)
	return out
}

// storeBatch makes the next batch durable.
func (b *testBench) storeBatch() *Batch {
	b.t.Helper()
	batch := b.core.TakeBatch()
	if batch != nil {
		b.core.HandleBatchStored(b.now, batch.Seq)
	}
	return batch
}

// answerSyncs answers all syncs; results holds the answers of workers with runs
// or ends.
func (b *testBench) answerSyncs(out Actions, results map[model.WorkerID]SyncResult) {
	b.t.Helper()
	for _, req := range out.Syncs {
		r := results[req.Worker]
		r.Worker, r.SentAt = req.Worker, b.now
		if r.Incarnation == 0 {
			r.Incarnation = 1
		}
		r.ClockMs = b.clockMs()
		b.core.HandleSyncResult(b.now, &r)
	}
}

// clockMs is the clock of every worker in ms.
func (b *testBench) clockMs() int64 { return b.now.Sub(startTime).Milliseconds() + 1000 }

// addWorkers lists workers, answers their first syncs and stores their records.
func (b *testBench) addWorkers(ids ...string) {
	b.t.Helper()
	var entries []WorkerEntry
	for _, id := range ids {
		entries = append(entries, workerEntry(id))
	}
	b.core.SetWorkers(b.now, entries)
	b.answerSyncs(b.advance(0), nil)
	b.storeBatch()
}

// submit submits a job and makes it durable.
func (b *testBench) submit(id string, steps ...Step) {
	b.t.Helper()
	resp := b.core.Submit(b.now, &Spec{ID: id, Queue: "q", Steps: steps}, 1)
	assert.Assert(b.t, resp == nil, "answered immediately: %v", resp)
	assert.Assert(b.t, b.storeBatch() != nil)
}

// confirmStarts answers starts with success.
func (b *testBench) confirmStarts(starts []StartRequest) {
	b.t.Helper()
	for _, s := range starts {
		b.core.HandleStartResult(b.now, &StartResult{Worker: s.Worker, Task: s.Task, Run: s.Run, Status: CallOK, ClockMs: b.clockMs()})
	}
}

func smallStep(count int) Step {
	return Step{Count: count, Size: model.Size{MilliCPU: 1000, MemMB: 100}, Estimate: time.Second}
}

func jobView(t *testing.T, c *Core, id string) View {
	t.Helper()
	v, known := c.State(id)
	assert.Assert(t, known, "job %s is not known", id)
	return v
}

func startNames(out Actions) []string {
	var names []string
	for _, s := range out.Starts {
		names = append(names, fmt.Sprintf("%s@%s#%d", s.Task, s.Worker, s.Run))
	}
	return names
}
