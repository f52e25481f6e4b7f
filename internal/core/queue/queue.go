package queue

import (
	"time"

	"catkinvalve/internal/core/model"
)

// Queue holds all waiting items of a data centre. It is not safe for
// concurrent use: the owner loop is its only user.
type Queue struct {
	config Config
	teams  map[string]*team
	groups map[groupID]*group
	byTask map[model.TaskID]*node
	// keys holds the first node of each key's list.
	byKey      map[string]*node
	byDeadline indexedHeap[*node]
	delayed    indexedHeap[*node]
	// longest orders the groups of each class rank for shedding. The last rank
	// is that of an unknown class.
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

// Configure replaces bounds and policy. Waiting items stay, even above new bounds.
func (q *Queue) Configure(c Config) {
	q.config = c
	for name, t := range q.teams {
		t.quota = q.quotaOf(name)
	}
}

// Requeue adds an item for a retry or a restored record. It keeps Enqueued, so
// the item does not lose its place, and it is never refused: the work was
// admitted before. A waiting item with the same key and index is replaced.
func (q *Queue) Requeue(now time.Time, it Item) {
	q.RemoveTask(it.Key, it.Index)
	q.insert(now, it)
}

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
	// An item that arrives during a cycle waits for the next one. Preempted work
	// could otherwise be placed and preempted again without end.
	if !q.inCycle && !it.NotBefore.After(now) {
		n.group.markReady(n)
		return
	}
	if n.readyAt.Before(now) {
		n.readyAt = now
	}
	q.delayed.push(n)
}

// link adds n to the maps by task and by key.
func (q *Queue) link(n *node) {
	q.byTask[model.TaskID{Key: n.item.Key, Index: n.item.Index}] = n
	if first := q.byKey[n.item.Key]; first != nil {
		n.next, first.prev = first, n
	}
	q.byKey[n.item.Key] = n
}

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

// enter adds n to its group.
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

// drop takes a waiting item out of the queue.
func (q *Queue) drop(n *node) {
	q.unlink(n)
	q.byDeadline.remove(n)
	q.delayed.remove(n)
	q.leaveGroup(n)
}

// Remove takes all items of a key out and returns how many there were.
func (q *Queue) RemoveKey(key string) int { return len(q.dropKey(key)) }

func (q *Queue) dropKey(key string) []Item {
	var removed []Item
	for n := q.byKey[key]; n != nil; n = q.byKey[key] {
		removed = append(removed, n.item)
		q.drop(n)
	}
	return removed
}

// RemoveTask takes one item out and reports whether it waited.
func (q *Queue) RemoveTask(key string, index int) bool {
	n := q.byTask[model.TaskID{Key: key, Index: index}]
	if n == nil {
		return false
	}
	q.drop(n)
	return true
}

// Expired removes and returns the items whose deadline is before now, earliest
// deadline first.
func (q *Queue) RemoveExpired(now time.Time) []Item {
	var expired []Item
	for q.byDeadline.len() > 0 && q.byDeadline.top().expired(now) {
		n := q.byDeadline.top()
		expired = append(expired, n.item)
		q.drop(n)
	}
	return expired
}

func (n *node) expired(now time.Time) bool {
	return !n.item.Deadline.IsZero() && n.item.Deadline.Before(now)
}

// promote makes delayed items ready whose time has come.
func (q *Queue) markDueReady(now time.Time) {
	for q.delayed.len() > 0 && !q.delayed.top().readyAt.After(now) {
		n := q.delayed.top()
		q.delayed.remove(n)
		n.group.markReady(n)
	}
}
