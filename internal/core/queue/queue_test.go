package queue

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

var t0 = time.Unix(1_000_000, 0)

// at returns the time that many seconds after t0.
func at(seconds float64) time.Time { return t0.Add(time.Duration(seconds * float64(time.Second))) }

// newItem returns an item with one slot, changed by the options.
func newItem(key, team string, class model.Class, options ...func(*Item)) Item {
	it := Item{Key: key, Team: team, Class: class, Size: model.Size{MilliCPU: 1000, Slots: 1}, Tasks: 1}
	for _, o := range options {
		o(&it)
	}
	return it
}

func index(i int) func(*Item)           { return func(it *Item) { it.Index = i } }
func slots(n int64) func(*Item)         { return func(it *Item) { it.Size.Slots = n } }
func deadline(t time.Time) func(*Item)  { return func(it *Item) { it.Deadline = t } }
func notBefore(t time.Time) func(*Item) { return func(it *Item) { it.NotBefore = t } }

// quota returns a quota of the given slots with one core for each.
func quota(slots int64, borrow bool) Quota {
	return Quota{MilliCPU: slots * 1000, Slots: slots, Borrow: borrow}
}

// newQueue returns a queue with large bounds and the teams a and b (10 slots, may
// borrow) and hard (2 slots, may not borrow).
func newQueue(options ...func(*Config)) *Queue {
	c := Config{MaxPerTeamClass: 1000, MaxTotal: 10000, MaxInteractiveWait: 4 * time.Second, AgeingInterval: time.Minute,
		Quotas: map[string]Quota{"a": quota(10, true), "b": quota(10, true), "hard": quota(2, false)}}
	for _, o := range options {
		o(&c)
	}
	return New(c)
}

func bounds(perTeamClass, total int) func(*Config) {
	return func(c *Config) { c.MaxPerTeamClass, c.MaxTotal = perTeamClass, total }
}

// admit admits items and fails the test if one is refused.
func admit(t *testing.T, q *Queue, now time.Time, items ...Item) {
	t.Helper()
	for _, it := range items {
		_, refusal := q.Admit(now, it)
		assert.Equal(t, refusal, model.Reason(""), "item %v", it)
	}
}

// placedKeys runs a cycle that places the given number of items (room) and returns
// their keys in order.
func placedKeys(q *Queue, now time.Time, room int) []string {
	keys := []string{}
	q.RunCycle(now, func(it Item) OfferResult {
		if len(keys) == room {
			return StopCycle
		}
		keys = append(keys, it.Key)
		return Placed
	})
	return keys
}

// Guards the order of offers against changes. Each case is named after the rule that
// it covers.
func TestOrder(t *testing.T) {
	for _, c := range []struct {
		name string
		fill func(q *Queue)
		at   float64
		want []string
	}{
		{"class", func(q *Queue) {
			admit(t, q, t0, newItem("batch", "a", model.Batch), newItem("gang", "a", model.AllAtOnce),
				newItem("service", "a", model.Service), newItem("inter", "a", model.Interactive))
		}, 0, []string{"inter", "service", "gang", "batch"}},
		{"first in, first out across shapes", func(q *Queue) {
			admit(t, q, t0, newItem("1", "a", model.Batch))
			admit(t, q, at(1), newItem("2", "a", model.Batch, slots(2)))
			admit(t, q, at(2), newItem("3", "a", model.Batch))
		}, 3, []string{"1", "2", "3"}},
		{"least share of the quota", func(q *Queue) {
			q.AddUsage("a", model.Size{Slots: 4})
			admit(t, q, t0, newItem("a1", "a", model.Batch), newItem("b1", "b", model.Batch))
		}, 0, []string{"b1", "a1"}},
		{"share grows with each start", func(q *Queue) {
			admit(t, q, t0, newItem("a1", "a", model.Batch), newItem("a2", "a", model.Batch), newItem("b1", "b", model.Batch))
		}, 0, []string{"a1", "b1", "a2"}},
		{"dominant dimension", func(q *Queue) {
			q.AddUsage("a", model.Size{MilliCPU: 100, Slots: 5})
			q.AddUsage("b", model.Size{MilliCPU: 4000, Slots: 0})
			admit(t, q, t0, newItem("a1", "a", model.Batch), newItem("b1", "b", model.Batch))
		}, 0, []string{"b1", "a1"}},
		{"within quota before borrowed, regardless of class", func(q *Queue) {
			q.AddUsage("a", model.Size{Slots: 10})
			admit(t, q, t0, newItem("over", "a", model.Service), newItem("under", "b", model.Batch))
		}, 0, []string{"under", "over"}},
		{"a smaller item may still be within the quota", func(q *Queue) {
			q.AddUsage("a", model.Size{Slots: 8})
			admit(t, q, t0, newItem("big", "a", model.Batch, slots(3)), newItem("small", "a", model.Batch))
		}, 0, []string{"small", "big"}},
		{"no borrowing if the quota forbids it", func(q *Queue) {
			admit(t, q, t0, newItem("1", "hard", model.Batch), newItem("2", "hard", model.Batch), newItem("3", "hard", model.Batch))
		}, 0, []string{"1", "2"}},
		{"team without a quota borrows last", func(q *Queue) {
			admit(t, q, t0, newItem("stranger", "s", model.Interactive), newItem("a1", "a", model.Batch))
		}, 1, []string{"a1", "stranger"}},
		{"urgent before all others, also on borrowed quota", func(q *Queue) {
			q.AddUsage("a", model.Size{Slots: 10})
			admit(t, q, t0, newItem("waited", "a", model.Interactive))
			admit(t, q, at(1), newItem("fresh", "b", model.Interactive))
		}, 2, []string{"waited", "fresh"}},
		{"not urgent before half of the maximum wait", func(q *Queue) {
			q.AddUsage("a", model.Size{Slots: 10})
			admit(t, q, t0, newItem("waited", "a", model.Interactive))
			admit(t, q, at(1), newItem("fresh", "b", model.Interactive))
		}, 1.9, []string{"fresh", "waited"}},
		{"ageing raises a class", func(q *Queue) {
			admit(t, q, t0, newItem("old", "a", model.Batch))
			admit(t, q, at(119), newItem("gang", "a", model.AllAtOnce), newItem("service", "a", model.Service))
		}, 121, []string{"old", "service", "gang"}},
		{"an item at the aged rank ignores shares", func(q *Queue) {
			q.AddUsage("a", model.Size{Slots: 9})
			admit(t, q, t0, newItem("old", "a", model.Batch))
			admit(t, q, at(239), newItem("new", "b", model.Interactive))
		}, 240, []string{"old", "new"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := newQueue()
			c.fill(q)
			assert.DeepEqual(t, placedKeys(q, at(c.at), 100), c.want)
		})
	}
}

// Guards the bounds, the reasons of refusal and the choice of the items that are shed.
func TestAdmission(t *testing.T) {
	q := newQueue(bounds(2, 4))
	admit(t, q, t0, newItem("b1", "a", model.Batch), newItem("b2", "a", model.Batch), newItem("b3", "b", model.Batch, index(0)))
	_, refusal := q.Admit(t0, newItem("b4", "a", model.Batch))
	assert.Equal(t, refusal, model.ReasonQueueFull, "the bound of the team and class")
	admit(t, q, t0, newItem("b3", "b", model.Batch, index(1)), newItem("b1", "a", model.Batch))
	assert.Equal(t, q.Len(), 4, "a second admission of an item adds nothing")

	_, refusal = q.Admit(t0, newItem("c", "c", model.Batch))
	assert.Equal(t, refusal, model.ReasonQueueFull, "the new item is not more urgent than the waiting ones")
	shed, refusal := q.Admit(t0, newItem("i", "b", model.Interactive))
	assert.Equal(t, refusal, model.Reason(""))
	assert.Equal(t, len(shed), 1)
	assert.Equal(t, shed[0].Key, "b2", "the newest item of the longest group")
	shed, _ = q.Admit(t0, newItem("j", "b", model.Interactive))
	assert.Equal(t, len(shed), 2, "all waiting tasks of the request are shed together")
	assert.Equal(t, shed[0].Key, "b3")
	assert.Equal(t, q.Len(), 3)

	_, refusal = q.Admit(t0, newItem("h", "hard", model.Batch, slots(3)))
	assert.Equal(t, refusal, model.ReasonQuota, "the item exceeds a quota without borrowing")
	_, refusal = q.Admit(at(2), newItem("late", "a", model.Batch, deadline(at(1))))
	assert.Equal(t, refusal, model.ReasonDeadline)
}

// A full queue must not lose items that were admitted before. A retry must keep its
// position in the order and must not start before its backoff ends.
func TestRequeue(t *testing.T) {
	q := newQueue(bounds(1, 1))
	admit(t, q, at(1), newItem("new", "a", model.Batch))
	it := newItem("old", "a", model.Batch, notBefore(at(5)))
	it.EnqueuedAt = t0
	q.Requeue(at(2), it)
	q.Requeue(at(2), it)
	assert.Equal(t, q.Len(), 2)
	assert.Equal(t, q.NextReady(), at(5))
	assert.DeepEqual(t, placedKeys(q, at(4), 0), []string{})
	assert.DeepEqual(t, placedKeys(q, at(5), 9), []string{"old", "new"})
}

// No item may start after its deadline, even when RemoveExpired was not called before
// the cycle.
func TestDeadlines(t *testing.T) {
	q := newQueue()
	admit(t, q, t0, newItem("1", "a", model.Batch, deadline(at(1))), newItem("2", "a", model.Batch, deadline(at(2))),
		newItem("never", "a", model.Batch))
	assert.Equal(t, q.NextDeadline(), at(1))
	assert.Equal(t, len(q.RemoveExpired(at(1))), 0, "a start at the deadline is in time")
	assert.DeepEqual(t, placedKeys(q, at(1.5), 9), []string{"2", "never"})
	expired := q.RemoveExpired(at(1.5))
	assert.Equal(t, len(expired), 1)
	assert.Equal(t, expired[0].Key, "1")
	assert.Equal(t, q.Len(), 0)
	assert.Assert(t, q.NextDeadline().IsZero())
}

// A cycle must withhold items by shape, and withheld and skipped items must be offered
// again in the next cycle.
func TestOfferResults(t *testing.T) {
	q := newQueue()
	admit(t, q, t0, newItem("1", "a", model.Batch), newItem("2", "a", model.Batch), newItem("big", "a", model.Batch, slots(2)),
		newItem("b", "b", model.Batch))
	for _, c := range []struct {
		results map[string]OfferResult
		want    []string
	}{
		{map[string]OfferResult{"1": NoFit, "big": NoFit, "b": NoFit}, []string{"1", "b", "big"}},
		{map[string]OfferResult{"1": SkipItem, "2": NoFit, "big": SkipItem, "b": SkipItem}, []string{"1", "2", "b", "big"}},
		{map[string]OfferResult{"1": StopCycle}, []string{"1"}},
	} {
		var seen []string
		q.RunCycle(t0, func(it Item) OfferResult {
			seen = append(seen, it.Key)
			return c.results[it.Key]
		})
		slices.Sort(seen)
		assert.DeepEqual(t, seen, c.want)
		assert.Equal(t, q.Len(), 4)
	}
}

// Preemption during a cycle requeues items. The cycle must not offer them again, or it
// might never end.
func TestChangesDuringCycle(t *testing.T) {
	q := newQueue()
	admit(t, q, t0, newItem("1", "a", model.Batch), newItem("2", "a", model.Batch), newItem("3", "a", model.Batch))
	var seen []string
	q.RunCycle(t0, func(it Item) OfferResult {
		seen = append(seen, it.Key)
		q.Requeue(t0, newItem("again"+it.Key, "a", model.Batch))
		q.RemoveKey("2")
		q.RunCycle(t0, func(Item) OfferResult { panic("nested cycle") })
		return Placed
	})
	assert.DeepEqual(t, seen, []string{"1", "3"})
	assert.Equal(t, q.NextReady(), t0)
	assert.DeepEqual(t, placedKeys(q, t0, 9), []string{"again1", "again3"})
}

// Usage must return to 0 when all work of a team has ended, or the team would remain
// over its quota.
func TestUsage(t *testing.T) {
	q := newQueue()
	gang := newItem("g", "hard", model.AllAtOnce)
	gang.Tasks = 2
	admit(t, q, t0, gang)
	assert.DeepEqual(t, placedKeys(q, t0, 9), []string{"g"})
	assert.Assert(t, !q.OverQuota("hard"))
	q.AddUsage("hard", model.Size{Slots: 1})
	assert.Assert(t, q.OverQuota("hard"))
	q.Configure(Config{Quotas: map[string]Quota{"hard": quota(3, false)}})
	assert.Assert(t, !q.OverQuota("hard"))
	q.SubtractUsage("hard", model.Size{MilliCPU: 2000, Slots: 3})
	assert.Equal(t, len(q.teams), 0, "an idle team is still in memory")
}

// Guards the figures that are shown in the status and in explanations.
func TestReport(t *testing.T) {
	q := newQueue()
	admit(t, q, t0, newItem("1", "b", model.Batch, notBefore(at(9))))
	admit(t, q, at(1), newItem("2", "b", model.Batch), newItem("3", "b", model.Interactive), newItem("4", "a", model.Batch))
	assert.DeepEqual(t, q.Waiting(), []Waiting{{"a", model.Batch, 1, at(1)}, {"b", model.Interactive, 1, at(1)},
		{"b", model.Batch, 2, t0}})
	assert.Equal(t, q.LongestWait(model.Batch, at(3)), 3*time.Second)
	assert.Equal(t, q.LongestWait(model.Service, at(3)), time.Duration(0))
}

// Callers choose sizes freely. A cycle must not visit every item when all items have
// different shapes.
func TestManyShapesAreBounded(t *testing.T) {
	q := newQueue()
	for i := range 500 {
		admit(t, q, t0, newItem(fmt.Sprint(i), "a", model.Batch, slots(int64(i%7)+1), func(it *Item) { it.Size.MemMB = int64(i) }))
	}
	visits := 0
	q.RunCycle(t0, func(Item) OfferResult { visits++; return NoFit })
	assert.Assert(t, visits <= maxShapes, "%d visits", visits)
}

// Shapes that fit nowhere must not keep a shape that fits from being offered for ever, however many
// of them are older. Once few shapes are left, the oldest comes first again.
func TestShapesThatNeverFitLetOthersBeOffered(t *testing.T) {
	q := newQueue()
	const hopeless = 5 * maxShapes
	for i := range hopeless {
		admit(t, q, t0, newItem(fmt.Sprint("hopeless", i), "a", model.Batch, func(it *Item) { it.Size.MemMB = int64(i + 1) }))
	}
	admit(t, q, at(1), newItem("fits", "a", model.Batch))
	cycles, placed := 0, false
	for ; cycles < 2*hopeless/maxShapes && !placed; cycles++ {
		leftOut := q.RunCycle(at(2), func(it Item) OfferResult {
			if it.Key != "fits" {
				return NoFit
			}
			placed = true
			return Placed
		})
		assert.Assert(t, leftOut || placed, "the cycle does not say that it left out shapes")
	}
	assert.Assert(t, placed, "not offered in %d cycles", cycles)
	for i := 2; i < hopeless; i++ {
		q.RemoveKey(fmt.Sprint("hopeless", i))
	}
	q.RunCycle(at(3), func(Item) OfferResult { return NoFit })
	assert.DeepEqual(t, placedKeys(q, at(3), 9), []string{"hopeless0", "hopeless1"})
}

// Requeued items may exceed the bound of the queue. When shedding cannot make room for
// a new item, nothing may be shed.
func TestRefusedItemShedsNothing(t *testing.T) {
	q := newQueue(bounds(10, 2))
	admit(t, q, t0, newItem("batch", "a", model.Batch))
	for i := range 3 {
		q.Requeue(t0, newItem(fmt.Sprint("back", i), "b", model.Interactive))
	}
	shed, refusal := q.Admit(t0, newItem("new", "b", model.Interactive))
	assert.Equal(t, refusal, model.ReasonQueueFull)
	assert.Equal(t, len(shed), 0)
	assert.Equal(t, q.Len(), 4)
}
