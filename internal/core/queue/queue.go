package queue

import (
	"time"

	"catkinvalve/internal/core/model"
)

// Queue holds all waiting items of a data centre. It is not safe for concurrent use:
// only the scheduler's event loop calls it.
type Queue struct {
	config Config
	teams  map[string]*team
	groups map[groupID]*group
	byTask map[model.TaskID]*node
	// byKey maps a key to the first node of the linked list of its items.
	byKey      map[string]*node
	byDeadline indexedHeap[*node]
	delayed    indexedHeap[*node]
	// longest has a heap of groups for each class rank, the longest group first,
	// for load shedding. The last rank is that of an unknown class.
	longest []indexedHeap[*group]
	seq     uint64
	cycle   cycle
	inCycle bool
}

// New returns an empty queue.
func New(c Config) *Queue {
	q := &Queue{
		config:     c,
		teams:      map[string]*team{},
		groups:     map[groupID]*group{},
		byTask:     map[model.TaskID]*node{},
		byKey:      map[string]*node{},
		byDeadline: indexedHeap[*node]{less: earlierDeadline, pos: func(n *node) *int { return &n.posDeadline }},
		delayed:    indexedHeap[*node]{less: earlierReady, pos: func(n *node) *int { return &n.posDelayed }},
		longest:    make([]indexedHeap[*group], len(model.Classes)+1),
	}
	for i := range q.longest {
		q.longest[i] = indexedHeap[*group]{less: moreItems, pos: func(g *group) *int { return &g.pos }}
	}
	q.cycle = newCycle(q)
	return q
}

// Configure replaces the bounds and the policy. Waiting items stay, even if they
// exceed the new bounds.
func (q *Queue) Configure(c Config) {
	q.config = c
	for name, t := range q.teams {
		t.quota = q.quotaOf(name)
	}
}

// Requeue adds an item for a retry or a restored record. The item keeps its
// EnqueuedAt and with it its position in the order; now is used if it is zero.
// Requeue never refuses an item, because the work was admitted before. A waiting item
// with the same key and index is replaced.
func (q *Queue) Requeue(now time.Time, it Item) {
	q.RemoveTask(it.Key, it.Index)
	q.insert(now, it)
}

// insert adds an item that is not waiting. An item whose NotBefore is in the future, or
// that is added during a cycle, is delayed.
func (q *Queue) insert(now time.Time, it Item) {
	if it.EnqueuedAt.IsZero() {
		it.EnqueuedAt = now
	}
	q.seq++
	n := &node{item: it, seq: q.seq, readyAt: it.NotBefore}
	q.link(n)
	q.joinGroup(n)
	if !it.Deadline.IsZero() {
		q.byDeadline.push(n)
	}
	// An item that is added during a cycle is offered in the next one. Otherwise a
	// preempted item could be placed and preempted again in an endless loop.
	if !q.inCycle && !it.NotBefore.After(now) {
		n.group.markReady(n)
		return
	}
	if n.readyAt.Before(now) {
		n.readyAt = now
	}
	q.delayed.push(n)
}

// link adds n to byTask and byKey.
func (q *Queue) link(n *node) {
	q.byTask[model.TaskID{Key: n.item.Key, Index: n.item.Index}] = n
	if first := q.byKey[n.item.Key]; first != nil {
		n.next, first.prev = first, n
	}
	q.byKey[n.item.Key] = n
}

// unlink removes n from byTask and byKey.
func (q *Queue) unlink(n *node) {
	delete(q.byTask, model.TaskID{Key: n.item.Key, Index: n.item.Index})
	if n.next != nil {
		n.next.prev = n.prev
	}
	switch {
	case n.prev != nil:
		n.prev.next = n.next
	case n.next != nil:
		q.byKey[n.item.Key] = n.next
	default:
		delete(q.byKey, n.item.Key)
	}
}

// joinGroup adds n to the group of its team and class and creates the group if
// necessary.
func (q *Queue) joinGroup(n *node) {
	id := groupID{n.item.Team, n.item.Class}
	g := q.groups[id]
	if g == nil {
		g = newGroup(q.team(id.team), id.class)
		g.team.groups++
		q.groups[id] = g
		q.longest[g.rank].push(g)
	}
	n.group = g
	g.oldest.push(n)
	g.newest.push(n)
	q.longest[g.rank].fix(g)
}

// leaveGroup removes n from its group, and the group when it is empty.
func (q *Queue) leaveGroup(n *node) {
	g := n.group
	g.unmarkReady(n)
	g.oldest.remove(n)
	g.newest.remove(n)
	n.group = nil
	if g.oldest.len() > 0 {
		q.longest[g.rank].fix(g)
		return
	}
	q.longest[g.rank].remove(g)
	delete(q.groups, groupID{g.team.name, g.class})
	g.team.groups--
	q.forgetIfIdle(g.team)
}

// drop removes a waiting item from the queue.
func (q *Queue) drop(n *node) {
	q.unlink(n)
	q.byDeadline.remove(n)
	q.delayed.remove(n)
	q.leaveGroup(n)
}

// RemoveKey removes all items of a key and returns their number.
func (q *Queue) RemoveKey(key string) int { return len(q.dropKey(key)) }

// dropKey removes all items of a key and returns them.
func (q *Queue) dropKey(key string) []Item {
	var removed []Item
	for n := q.byKey[key]; n != nil; n = q.byKey[key] {
		removed = append(removed, n.item)
		q.drop(n)
	}
	return removed
}

// RemoveTask removes one item and reports whether it was waiting.
func (q *Queue) RemoveTask(key string, index int) bool {
	n := q.byTask[model.TaskID{Key: key, Index: index}]
	if n == nil {
		return false
	}
	q.drop(n)
	return true
}

// RemoveExpired removes the items whose deadline is before now and returns them,
// earliest deadline first.
func (q *Queue) RemoveExpired(now time.Time) []Item {
	var expired []Item
	for q.byDeadline.len() > 0 && q.byDeadline.top().expired(now) {
		n := q.byDeadline.top()
		expired = append(expired, n.item)
		q.drop(n)
	}
	return expired
}

// expired reports whether the deadline of the item is before now.
func (n *node) expired(now time.Time) bool {
	return !n.item.Deadline.IsZero() && n.item.Deadline.Before(now)
}

// markDueReady makes the delayed items ready whose delay has ended.
func (q *Queue) markDueReady(now time.Time) {
	for q.delayed.len() > 0 && !q.delayed.top().readyAt.After(now) {
		n := q.delayed.top()
		q.delayed.remove(n)
		n.group.markReady(n)
	}
}
