package queue

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"catkinvalve/internal/core/model"
	_ "catkinvalve/internal/propseed"
)

// reference is a simple model of the queue: a list that is searched completely for
// each answer.
type reference struct {
	config Config
	used   map[string]model.Size
	items  []Item // in the order of insertion
}

func (r *reference) remove(match func(Item) bool) int {
	before := len(r.items)
	r.items = slices.DeleteFunc(r.items, match)
	return before - len(r.items)
}

func (r *reference) withinQuota(it Item) bool {
	used, quota := r.used[it.Team].Add(it.TotalSize()), r.config.Quotas[it.Team]
	return used.MilliCPU <= quota.MilliCPU && used.Slots <= quota.Slots
}

// order returns the sort key of an item by the policy; ok is false when the item may
// not start.
func (r *reference) order(now time.Time, it Item, position int) (o offerOrder, ok bool) {
	quota, waited := r.config.Quotas[it.Team], now.Sub(it.EnqueuedAt)
	withinQuota := r.withinQuota(it)
	ok = (withinQuota || quota.Borrow) && !it.NotBefore.After(now) && (it.Deadline.IsZero() || !it.Deadline.Before(now))
	o = offerOrder{tier: tierBorrowed, enqueuedAt: it.EnqueuedAt, seq: uint64(position)}
	if it.Class == model.Interactive && waited >= r.config.MaxInteractiveWait/2 {
		o.tier = tierUrgent
		return o, ok
	}
	if withinQuota {
		o.tier = tierWithinQuota
	}
	o.rank = max(agedRank, it.Class.Rank()-int(waited/r.config.AgeingInterval))
	if o.rank != agedRank {
		o.share = max(float64(r.used[it.Team].MilliCPU)/float64(quota.MilliCPU), float64(r.used[it.Team].Slots)/float64(quota.Slots))
	}
	return o, ok
}

// first returns the item to offer next among those that are not withheld.
func (r *reference) first(now time.Time, withheld func(Item) bool) (best Item, found bool) {
	var order offerOrder
	for i, it := range r.items {
		if o, ok := r.order(now, it, i); ok && !withheld(it) && (!found || o.before(order)) {
			best, order, found = it, o, true
		}
	}
	return best, found
}

// drawItem draws a task of one of 12 requests, one for each combination of team and
// class.
func drawItem(t *rapid.T, now time.Time) Item {
	i := rapid.IntRange(0, 11).Draw(t, "request")
	it := newItem(fmt.Sprint("k", i), []string{"a", "b", "hard"}[i%3], model.Classes[i/3],
		index(rapid.IntRange(0, 5).Draw(t, "index")), slots(rapid.Int64Range(1, 3).Draw(t, "slots")))
	it.Tasks = rapid.IntRange(0, 2).Draw(t, "tasks")
	if rapid.Bool().Draw(t, "has deadline") {
		it.Deadline = now.Add(time.Duration(rapid.IntRange(-1, 9).Draw(t, "deadline")) * time.Second)
	}
	if rapid.IntRange(0, 3).Draw(t, "delayed") == 0 {
		it.NotBefore = now.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "not before")) * time.Second)
	}
	return it
}

// For any sequence of calls the queue must respect the bounds and the quotas and offer
// items in exactly the same order as the reference.
func TestQueueMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue(bounds(4, 9), func(c *Config) { c.AgeingInterval = 3 * time.Second })
		r := &reference{config: q.config, used: map[string]model.Size{}}
		now := t0
		same := func(it Item) func(Item) bool {
			return func(o Item) bool { return o.Key == it.Key && o.Index == it.Index }
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				assert.Equal(t, q.Len(), len(r.items))
				for team, used := range r.used {
					if !r.config.Quotas[team].Borrow {
						assert.Assert(t, used.Slots <= r.config.Quotas[team].Slots, "team %s is over its quota", team)
					}
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"admit": func(t *rapid.T) { checkAdmit(t, q, r, now, drawItem(t, now)) },
			"requeue": func(t *rapid.T) {
				it := drawItem(t, now)
				it.EnqueuedAt = now.Add(-time.Duration(rapid.IntRange(0, 9).Draw(t, "waited")) * time.Second)
				q.Requeue(now, it)
				r.remove(same(it))
				r.items = append(r.items, it)
			},
			"remove": func(t *rapid.T) {
				key := drawItem(t, now).Key
				assert.Equal(t, q.RemoveKey(key), r.remove(func(o Item) bool { return o.Key == key }))
			},
			"remove task": func(t *rapid.T) {
				it := drawItem(t, now)
				assert.Equal(t, q.RemoveTask(it.Key, it.Index), r.remove(same(it)) == 1)
			},
			"expire": func(t *rapid.T) {
				expired := func(it Item) bool { return !it.Deadline.IsZero() && it.Deadline.Before(now) }
				assert.Equal(t, len(q.RemoveExpired(now)), r.remove(expired))
			},
			"refund": func(t *rapid.T) {
				team := rapid.SampledFrom([]string{"a", "b", "hard"}).Draw(t, "team")
				q.SubtractUsage(team, r.used[team])
				delete(r.used, team)
			},
			"next": func(t *rapid.T) { checkCycle(t, q, r, now) },
		})
	})
}

// checkAdmit admits an item and checks the refusal or the shed items against the
// reference.
func checkAdmit(t *rapid.T, q *Queue, r *reference, now time.Time, it Item) {
	it.EnqueuedAt = now
	waiting, sameKey, leastUrgent, notLessUrgent := false, 1, 0, 0
	for _, o := range r.items {
		waiting = waiting || o.Key == it.Key && o.Index == it.Index
		leastUrgent = max(leastUrgent, o.Class.Rank())
		if o.Class.Rank() <= it.Class.Rank() {
			notLessUrgent++
		}
		if o.Key == it.Key {
			sameKey++
		}
	}
	shed, refusal := q.Admit(now, it)
	if len(shed) > 0 {
		assert.Equal(t, shed[0].Class.Rank(), leastUrgent, "a less urgent item was kept")
		assert.Assert(t, leastUrgent > it.Class.Rank(), "an item as urgent as the new one was shed")
	}
	for _, s := range shed {
		assert.Equal(t, r.remove(func(o Item) bool { return o.Key == s.Key && o.Index == s.Index }), 1)
	}
	switch {
	case refusal == model.ReasonQueueFull:
		assert.Assert(t, sameKey > r.config.MaxPerTeamClass || notLessUrgent >= r.config.MaxTotal, "refused although shedding would make room")
		assert.Equal(t, len(shed), 0, "items were shed for an item that was refused")
	case refusal == "" && !waiting:
		r.items = append(r.items, it)
		assert.Assert(t, sameKey <= r.config.MaxPerTeamClass && len(r.items) <= r.config.MaxTotal)
	}
}

// checkCycle runs a cycle with random results and compares each offer with the
// reference.
func checkCycle(t *rapid.T, q *Queue, r *reference, now time.Time) {
	type groupShape struct {
		groupID
		shapeID
	}
	shapeOf := func(it Item) groupShape {
		return groupShape{groupID{it.Team, it.Class}, shapeID{it.Size, max(it.Tasks, 1)}}
	}
	blocked, skipped := map[groupShape]bool{}, map[model.TaskID]bool{}
	withheld := func(it Item) bool {
		return blocked[shapeOf(it)] || skipped[model.TaskID{Key: it.Key, Index: it.Index}]
	}
	stopped := false
	q.RunCycle(now, func(it Item) OfferResult {
		want, found := r.first(now, withheld)
		assert.Assert(t, found, "offered %v, but the reference offers nothing", it)
		assert.DeepEqual(t, it, want)
		result := rapid.SampledFrom([]OfferResult{Placed, Placed, NoFit, SkipItem, StopCycle}).Draw(t, "verdict")
		switch result {
		case Placed:
			r.remove(func(o Item) bool { return o.Key == it.Key && o.Index == it.Index })
			r.used[it.Team] = r.used[it.Team].Add(it.TotalSize())
		case NoFit:
			blocked[shapeOf(it)] = true
		case SkipItem:
			skipped[model.TaskID{Key: it.Key, Index: it.Index}] = true
		default:
			stopped = true
		}
		return result
	})
	if _, more := r.first(now, withheld); !stopped {
		assert.Assert(t, !more, "the cycle ended before all items were offered")
	}
}

// Ageing must prevent starvation: a team with a large share must start its batch task
// although another team submits more work than fits. Interactive tasks arrive at less
// than the capacity, because urgent items come before aged ones.
func TestNothingStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue(bounds(100_000, 100_000), func(c *Config) { c.AgeingInterval = 10 * time.Second })
		q.AddUsage("a", model.Size{Slots: rapid.Int64Range(0, 9).Draw(t, "used")})
		ahead := rapid.IntRange(0, 20).Draw(t, "ahead")
		for i := range ahead {
			q.Admit(t0, newItem(fmt.Sprint("ahead", i), "b", rapid.SampledFrom(model.Classes).Draw(t, "class")))
		}
		q.Admit(t0, newItem("victim", "a", model.Batch))
		limit := 40 + ahead + 2
		for second := 1; second <= limit; second++ {
			now := at(float64(second))
			for i := range rapid.IntRange(0, 3).Draw(t, "arrivals") {
				q.Admit(now, newItem(fmt.Sprint(second, "/", i), "b", rapid.SampledFrom(model.Classes[min(i, 1):]).Draw(t, "class")))
			}
			for _, key := range placedKeys(q, now, 2) {
				if key == "victim" {
					return
				}
				q.SubtractUsage("b", newItem("", "", "").Size)
			}
		}
		t.Fatalf("batch task has waited for more than %d s", limit)
	})
}

// An interactive item must start within half of MaxInteractiveWait plus the time for
// the backlog of older urgent items, regardless of the other waiting items and of its
// team's usage.
func TestUrgentWaitIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue(bounds(100_000, 100_000))
		q.AddUsage("a", model.Size{Slots: rapid.Int64Range(0, 20).Draw(t, "used")})
		for i := range rapid.IntRange(0, 50).Draw(t, "backlog") {
			q.Admit(t0, newItem(fmt.Sprint("old", i), "b", rapid.SampledFrom(model.Classes[1:]).Draw(t, "class")))
		}
		q.Admit(at(100), newItem("urgent", "a", model.Interactive))
		for second := 100; second <= 102; second++ {
			if slices.Contains(placedKeys(q, at(float64(second)), 1), "urgent") {
				return
			}
			q.SubtractUsage("b", newItem("", "", "").Size)
		}
		t.Fatal("urgent item has waited for more than half of MaxInteractiveWait")
	})
}
