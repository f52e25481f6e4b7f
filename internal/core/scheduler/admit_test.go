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
	b := newFixture(t)
	b.publish(func(c *text.Config) { c.Limits.QueueTotal = 2 })
	b.submit("dc-a:1", "once")
	b.submit("dc-a:2", "once")
	_, err := b.c.Submit(b.now, b.request("dc-a:3", "once"))
	wantFault(t, err, fault.Overloaded)
	b.submit("dc-a:q", "quick")
	b.wantFate("dc-a:1", model.Queued)
	b.wantFate("dc-a:2", model.NotRun)
	assert.Equal(t, b.record("dc-a:2").Reason, model.ReasonShed)
	b.listWorkers("w1")
	b.grant("w1", "boot")
	assert.Equal(t, b.countStarts("dc-a:2"), 0)
	_, err = b.c.Fate("dc-a:3")
	wantFault(t, err, fault.NotFound)
}

// A full record table must drop only records of idempotent requests before the
// retention ends. Without its record, a late retry would run a non-idempotent request
// again.
func TestFullRecordTable(t *testing.T) {
	b := newFixture(t, "w1")
	b.c.cfg.MaxRecords = 10
	finish := func(key, service string) *fault.Error {
		_, err := b.c.Submit(b.now, b.request(key, service))
		if err != nil {
			return err
		}
		b.run()
		b.report(key, 0, model.TaskDone)
		return nil
	}
	for i := range 10 {
		service := map[bool]string{true: "once", false: "batch"}[i%2 == 0]
		assert.Assert(t, finish(fmt.Sprintf("dc-a:%d", i), service) == nil)
	}
	b.tick(2 * sweepInterval)
	assert.Assert(t, finish("dc-a:10", "once") == nil, "the record of an idempotent request must be dropped")
	for i := 11; i < 20; i++ {
		b.tick(2 * sweepInterval)
		if err := finish(fmt.Sprintf("dc-a:%d", i), "once"); err != nil {
			wantFault(t, err, fault.Overloaded)
			break
		}
	}
	for i := 0; i < 10; i += 2 {
		b.wantFate(fmt.Sprintf("dc-a:%d", i), model.Done)
	}
	b.tick(2 * sweepInterval)
	wantFault(t, finish("dc-a:late", "once"), fault.Overloaded)
	b.tick(DefaultRetention + time.Second)
	assert.Assert(t, finish("dc-a:late", "once") == nil, "records past the retention must be dropped")
}

// A request that fits no worker must be refused, or end once all capacities are known,
// instead of waiting without end.
func TestRequestThatFitsNoWorker(t *testing.T) {
	large := func(b *fixture, tasks int, size model.Size) *fault.Error {
		r := b.request("dc-a:k", "gang")
		r.Tasks, r.Size = tasks, size
		_, err := b.c.Submit(b.now, r)
		b.run()
		return err
	}
	t.Run("task larger than every worker", func(t *testing.T) {
		wantFault(t, large(newFixture(t, "w1"), 2, oneSlot.Times(3)), fault.CanNeverRun)
	})
	t.Run("gang larger than the data centre", func(t *testing.T) {
		wantFault(t, large(newFixture(t, "w1"), 3, oneSlot), fault.CanNeverRun)
	})
	t.Run("larger than what is free", func(t *testing.T) {
		b := newFixture(t, "w1")
		b.submit("dc-a:b", "once")
		assert.Assert(t, large(b, 2, oneSlot) == nil)
		b.wantFate("dc-a:k", model.Queued)
	})
	t.Run("accepted before the workers were known", func(t *testing.T) {
		b := newStandby(t, "w1")
		b.serve(1)
		assert.Assert(t, large(b, 3, oneSlot) == nil)
		b.grant("w1", "boot")
		b.tick(time.Second)
		b.wantFate("dc-a:k", model.NotRun)
		assert.Equal(t, b.record("dc-a:k").Reason, model.ReasonNeverFits)
	})
}

// A repeated submission must not start the request again, and another request under the
// same key must be refused.
func TestRepeatedKey(t *testing.T) {
	b := newFixture(t, "w1")
	b.submit("dc-a:k", "once")
	b.submit("dc-a:k", "once")
	assert.Equal(t, b.countStarts("dc-a:k"), 1)
	r := b.request("dc-a:k", "once")
	r.Fingerprint = 2
	_, err := b.c.Submit(b.now, r)
	wantFault(t, err, fault.KeyConflict)
}
