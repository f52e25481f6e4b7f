package cellsoak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/pause"
	"catkinvalve/internal/ports"
	"catkinvalve/platform"
)

// oddEntries returns entries that no worker can have written, made from the entry of a worker.
func oddEntries(t *testing.T, w *soakWorker) map[string][]byte {
	t.Helper()
	record, err := platform.WorkerRecord(&w.entry)
	assert.NilError(t, err)
	replace := func(old, odd string) []byte {
		assert.Assert(t, bytes.Contains(record.Value, []byte(old)), "%s has no %s", record.Value, old)
		return bytes.Replace(record.Value, []byte(old), []byte(odd), 1)
	}
	_, port, found := strings.Cut(w.entry.Address, ":")
	assert.Assert(t, found)
	return map[string][]byte{
		"nested": replace(`"labels":`, `"labels":`+strings.Repeat("[", 100_000)+strings.Repeat("]", 100_000)+`,"other":`),
		"number": replace(fmt.Sprintf(`"cpu":%d`, w.entry.Capacity.MilliCPU), `"cpu":1e400`),
		"port":   replace(":"+port+`"`, `:70000"`),
	}
}

// maxElections is the largest number of elections in a run in which all daemons are started at most
// twice. On a busy machine the lead may move without a fault.
const maxElections = 5

// Guards against daemons that end, lose the lead or stop following the worker list because another
// writer left odd entries in it, under new IDs or under those of known workers, before the daemons
// started or while they run.
func TestOddWorkerEntriesDisturbNoDaemon(t *testing.T) {
	const daemons, workers = 2, 8
	for _, atStart := range []bool{true, false} {
		t.Run(fmt.Sprintf("at start %v", atStart), func(t *testing.T) {
			t.Parallel()
			c, err := newCell(builtPrograms(t), t.TempDir(), daemons, workers, 1, false)
			if c != nil {
				t.Cleanup(func() { assert.NilError(t, c.stop()) })
			}
			assert.NilError(t, err)
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
			defer cancel()
			go c.runWorkers(ctx)
			l := &load{cell: c, rng: rand.New(rand.NewPCG(1, 2)), deadlyRng: rand.New(rand.NewPCG(1, 3))}
			in := &injector{cell: c, startTime: time.Now(), logf: t.Logf, injected: map[Kind]int{}}
			if !atStart {
				c.serveLoad(ctx, l)
			}

			odd := c.writeOddEntries(t)
			if atStart {
				assert.NilError(t, in.signalDaemons(ctx, Fault{Kind: KillAll, Count: daemons}))
			}
			c.serveLoad(ctx, l)
			elections := c.countLogged(t, "leader_elected", "")
			assert.Assert(t, elections <= maxElections, "%d elections", elections)
			for _, key := range odd {
				assert.Assert(t, c.countLogged(t, "worker_entry_unreadable", `"worker":"`+key+`"`) > 0, "the entry %s was not noticed", key)
			}

			// The known workers write their entries again, and all are used.
			for _, w := range c.workers[:3] {
				assert.NilError(t, c.register(w))
			}
			c.runOnAllWorkers(ctx, t, l)
			for _, d := range c.daemons {
				assert.Assert(t, d.process.Alive(), "%s ended", d.settings.Node)
			}
			c.checker.mu.Lock()
			defer c.checker.mu.Unlock()
			assert.Equal(t, len(c.checker.violations), 0, "%v", c.checker.violations)
			assert.Assert(t, c.checker.starts > 30, "%d starts", c.checker.starts)
		})
	}
}

// writeOddEntries writes each kind of odd entry under a new ID and under that of a known worker, and
// returns the keys.
func (c *soakCell) writeOddEntries(t *testing.T) []string {
	t.Helper()
	var keys []string
	n := 0
	for kind, value := range oddEntries(t, c.workers[0]) {
		for _, key := range []string{"odd-" + kind, string(c.workers[n].id)} {
			assert.NilError(t, c.appendRecord(platform.WorkerTopic(), ports.KeyedRecord{Key: key, Value: value}))
			keys = append(keys, key)
		}
		n++
	}
	return keys
}

// serveLoad submits jobs for some seconds and waits for their final states.
func (c *soakCell) serveLoad(ctx context.Context, l *load) {
	loadCtx, stop := context.WithTimeout(ctx, 4*time.Second)
	defer stop()
	l.run(loadCtx, DefaultRate)
	settleCtx, stopSettle := context.WithTimeout(ctx, settleTimeout)
	defer stopSettle()
	l.awaitFinalStates(settleCtx)
}

// runOnAllWorkers runs a gang with one member on each worker, which needs all of them.
func (c *soakCell) runOnAllWorkers(ctx context.Context, t *testing.T, l *load) {
	t.Helper()
	l.lastID++
	spec := &jobs.Spec{ID: fmt.Sprintf("%016x", l.lastID), Payload: payload(200*time.Millisecond, false), Steps: []jobs.Step{
		{Count: len(c.workers), Gang: true, MaxPerWorker: 1, Size: workerCapacity, Estimate: time.Second}}}
	j := &trackedJob{spec: spec}
	c.checker.mu.Lock()
	c.checker.jobs[spec.ID] = j
	c.checker.mu.Unlock()
	rng := rand.New(rand.NewPCG(1, 4))
	submitCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !l.submit(ctx, rng, j, urgentPrefix) {
		if !pause.For(submitCtx, meanRetryInterval) {
			t.Fatal("a gang that needs all workers is not accepted")
		}
	}
	settleCtx, stopSettle := context.WithTimeout(ctx, settleTimeout)
	defer stopSettle()
	l.awaitFinalStates(settleCtx)
	c.checker.mu.Lock()
	defer c.checker.mu.Unlock()
	assert.Equal(t, j.finalState, jobs.ViewCompleted)
}

// countLogged returns the number of lines of an event that contain a text, in the logs of all daemons.
func (c *soakCell) countLogged(t *testing.T, event, text string) int {
	t.Helper()
	n := 0
	for _, d := range c.daemons {
		log, err := os.ReadFile(c.logPath(d))
		assert.NilError(t, err)
		for line := range strings.Lines(string(log)) {
			if strings.Contains(line, `"event":"`+event+`"`) && strings.Contains(line, text) {
				n++
			}
		}
	}
	return n
}
