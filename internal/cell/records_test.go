package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/core/model"
)

// Guards against a record that cannot be decoded and is taken for absent: a new leader would not
// wait for the worker on which tasks may run, or for the leader that may still act.
func TestUnreadableRecordsAreNotTakenForAbsent(t *testing.T) {
	garbage := []byte{0xff}
	var s storedState
	assert.Assert(t, s.decode(workerPrefix+"i-1", garbage) != nil)
	assert.Assert(t, s.decode(termKey, garbage) != nil)
	assert.Equal(t, len(s.snapshot.Workers), 1)
	assert.Equal(t, s.snapshot.Workers[0].ID, model.WorkerID("i-1"))
	assert.Assert(t, !s.snapshot.Workers[0].Silent, "only some tasks would wait for the worker")

	l := &leader{previousTerms: s.previousTerms(), previousTermsUnknown: s.termUnreadable, claim: claim{at: time.Now()}}
	assert.Equal(t, l.previousLeadersEnd(), l.claim.at.Add(connectedLeaderTimeout))
}

// Guards against run times that are lost between the batch of one leader and the snapshot of the next,
// and against an unreadable record that a new leader takes over.
func TestRunTimesPassThroughTheStore(t *testing.T) {
	stored := jobs.RunTimeRecord{Queue: "q", Token: 3, Format: 1, Model: []byte{1, 2}}
	records, err := encodeBatch(&jobs.Batch{RunTimes: []jobs.RunTimeRecord{stored}, DropRunTimes: []string{"removed"}})
	assert.NilError(t, err)
	var s storedState
	for _, r := range records {
		assert.NilError(t, s.decode(r.Key, r.Value))
	}
	assert.DeepEqual(t, s.snapshot.RunTimes, []jobs.RunTimeRecord{stored})
	assert.Equal(t, records[1].Key, "d:removed")
	assert.Assert(t, s.decode(runTimePrefix+"q", []byte{0xff}) != nil)
	assert.Equal(t, len(s.snapshot.RunTimes), 1)
}

// Guards against gauges that stay after a queue or a leadership has gone, and against more gauges with
// each queue.
func TestRunTimeGaugesAreBounded(t *testing.T) {
	registry := metrics.NewRegistry()
	m := runTimeMetrics{registry: registry}
	var queues []jobs.RunTimeStatus
	for i := range 2 * maxRunTimeQueues {
		queues = append(queues, jobs.RunTimeStatus{Queue: fmt.Sprint(i), Median: time.Second, High: 2 * time.Second, Runs: 9.6})
	}
	m.update(queues)
	assert.Equal(t, len(registry.GetAll()), 3*maxRunTimeQueues)
	assert.Equal(t, registry.Get("run_time.p90_ms.0").(metrics.Gauge).Value(), int64(2000))
	m.update(nil)
	assert.Equal(t, len(registry.GetAll()), 0)
}
