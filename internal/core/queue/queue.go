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
	tasks  map[model.TaskID]*node
	// keys holds the first node of each key's list.
	keys      map[string]*node
	deadlines indexed[*node]
	delayed   indexed[*node]
	// longest orders the groups of each class rank for shedding. The last rank
	// is that of an unknown class.
	longest []indexed[*group]
	seq     uint64
	cycle   cycle
	cycling bool
}

// New returns an empty queue.
func New(c Config) *Queue {
	q := &Queue{
		config:    c,
		teams:     map[string]*team{},
		groups:    map[groupID]*group{},
		tasks:     map[model.TaskID]*node{},
		keys:      map[string]*node{},
		deadlines: indexed[*node]{less: dueFirst, pos: func(n *node) *int { return &n.posDeadline }},
		delayed:   indexed[*node]{less: sooner, pos: func(n *node) *int { return &n.posDelayed }},
		longest:   make([]indexed[*group], len(model.Classes)+1),
	}
	for i := range q.longest {
		q.longest[i] = indexed[*group]{less: longer, pos: func(g *group) *int { return &g.pos }}
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
	q.enter(n)
	if !it.Deadline.IsZero() {
		q.deadlines.push(n)
	}
	// An item that arrives during a cycle waits for the next one. Preempted work
	// could otherwise be placed and preempted again without end.
	if !q.cycling && !it.NotBefore.After(now) {
		n.group.ready(n)
		return
	}
	if n.readyAt.Before(now) {
		n.readyAt = now
	}
	q.delayed.push(n)
}

// link adds n to the maps by task and by key.
func (q *Queue) link(n *node) {
	q.tasks[model.TaskID{Key: n.item.Key, Index: n.item.Index}] = n
	if first := q.keys[n.item.Key]; first != nil {
		n.next, first.prev = first, n
	}
	q.keys[n.item.Key] = n
}

func (q *Queue) unlink(n *node) {
	delete(q.tasks, model.TaskID{Key: n.item.Key, Index: n.item.Index})
	if n.next != nil {
		n.next.prev = n.prev
	}
	switch {
	case n.prev != nil:
		n.prev.next = n.next
	case n.next != nil:
		q.keys[n.item.Key] = n.next
	default:
		delete(q.keys, n.item.Key)
	}
}

// enter adds n to its group.
func (q *Queue) enter(n *node) {
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

func (q *Queue) leave(n *node) {
	g := n.group
	g.unready(n)
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
	q.release(g.team)
}

// drop takes a waiting item out of the queue.
func (q *Queue) drop(n *node) {
	q.unlink(n)
	q.deadlines.remove(n)
	q.delayed.remove(n)
	q.leave(n)
}

// Remove takes all items of a key out and returns how many there were.
func (q *Queue) RemoveKey(key string) int { return len(q.dropKey(key)) }

func (q *Queue) dropKey(key string) []Item {
	var removed []Item
	for n := q.keys[key]; n != nil; n = q.keys[key] {
		removed = append(removed, n.item)
		q.drop(n)
	}
	return removed
}

// RemoveTask takes one item out and reports whether it waited.
func (q *Queue) RemoveTask(key string, index int) bool {
	n := q.tasks[model.TaskID{Key: key, Index: index}]
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
	for q.deadlines.len() > 0 && q.deadlines.top().expired(now) {
		n := q.deadlines.top()
		expired = append(expired, n.item)
		q.drop(n)
	}
	return expired
}

func (n *node) expired(now time.Time) bool {
	return !n.item.Deadline.IsZero() && n.item.Deadline.Before(now)
}

// promote makes delayed items ready whose time has come.
func (q *Queue) promote(now time.Time) {
	for q.delayed.len() > 0 && !q.delayed.top().readyAt.After(now) {
		n := q.delayed.top()
		q.delayed.remove(n)
		n.group.ready(n)
	}
}
