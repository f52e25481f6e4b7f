package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/text"
)

// A full queue must shed a less urgent request, not a more urgent or running one, and
// the shed request must not start later.
func TestShedRequestIsNotRun(t *testing.T) {
	f := newFixture(t)
	f.publish(func(c *text.Config) { c.Limits.QueueTotal = 2 })
	f.submit("dc-a:1", "once")
	f.submit("dc-a:2", "once")
	_, err := f.c.Submit(f.now, f.request("dc-a:3", "once"))
	wantFault(t, err, fault.Overloaded)
	f.submit("dc-a:q", "quick")
	f.wantFate("dc-a:1", model.Queued)
	f.wantFate("dc-a:2", model.NotRun)
	assert.Equal(t, f.record("dc-a:2").Reason, model.ReasonShed)
	f.listWorkers("w1")
	f.grant("w1", "boot")
	assert.Equal(t, f.countStarts("dc-a:2"), 0)
	_, err = f.c.Fate("dc-a:3")
	wantFault(t, err, fault.NotFound)
}

// A full record table must drop only records of idempotent requests before the
// retention ends. Without its record, a late retry would run a non-idempotent request
// again.
func TestFullRecordTable(t *testing.T) {
	f := newFixture(t, "w1")
	f.c.cfg.MaxRecords = 10
	finish := func(key, service string) *fault.Error {
		_, err := f.c.Submit(f.now, f.request(key, service))
		if err != nil {
			return err
		}
		f.run()
		f.report(key, 0, model.TaskDone)
		return nil
	}
	for i := range 10 {
		service := map[bool]string{true: "once", false: "batch"}[i%2 == 0]
		assert.Assert(t, finish(fmt.Sprintf("dc-a:%d", i), service) == nil)
	}
	f.tick(2 * sweepInterval)
	assert.Assert(t, finish("dc-a:10", "once") == nil, "the record of an idempotent request must be dropped")
	for i := 11; i < 20; i++ {
		f.tick(2 * sweepInterval)
		if err := finish(fmt.Sprintf("dc-a:%d", i), "once"); err != nil {
			wantFault(t, err, fault.Overloaded)
			break
		}
	}
	for i := 0; i < 10; i += 2 {
		f.wantFate(fmt.Sprintf("dc-a:%d", i), model.Done)
	}
	f.tick(2 * sweepInterval)
	wantFault(t, finish("dc-a:late", "once"), fault.Overloaded)
	f.tick(DefaultRetention + time.Second)
	assert.Assert(t, finish("dc-a:late", "once") == nil, "records past the retention must be dropped")
}

// A request that fits no worker must be refused, or end once all capacities are known,
// instead of waiting without end.
func TestRequestThatFitsNoWorker(t *testing.T) {
	large := func(f *fixture, tasks int, size model.Size) *fault.Error {
		r := f.request("dc-a:k", "gang")
		r.Tasks, r.Size = tasks, size
		_, err := f.c.Submit(f.now, r)
		f.run()
		return err
	}
	t.Run("task larger than every worker", func(t *testing.T) {
		wantFault(t, large(newFixture(t, "w1"), 2, oneSlot.Times(3)), fault.CanNeverRun)
	})
	t.Run("gang larger than the data centre", func(t *testing.T) {
		wantFault(t, large(newFixture(t, "w1"), 3, oneSlot), fault.CanNeverRun)
	})
	t.Run("larger than what is free", func(t *testing.T) {
		f := newFixture(t, "w1")
		f.submit("dc-a:b", "once")
		assert.Assert(t, large(f, 2, oneSlot) == nil)
		f.wantFate("dc-a:k", model.Queued)
	})
	t.Run("accepted before the workers were known", func(t *testing.T) {
		f := newStandby(t, "w1")
		f.serve(1)
		assert.Assert(t, large(f, 3, oneSlot) == nil)
		f.grant("w1", "boot")
		f.tick(time.Second)
		f.wantFate("dc-a:k", model.NotRun)
		assert.Equal(t, f.record("dc-a:k").Reason, model.ReasonNeverFits)
	})
}

// A repeated submission must not start the request again, and another request under the
// same key must be refused.
func TestRepeatedKey(t *testing.T) {
	f := newFixture(t, "w1")
	f.submit("dc-a:k", "once")
	f.submit("dc-a:k", "once")
	assert.Equal(t, f.countStarts("dc-a:k"), 1)
	r := f.request("dc-a:k", "once")
	r.Fingerprint = 2
	_, err := f.c.Submit(f.now, r)
	wantFault(t, err, fault.KeyConflict)
}
