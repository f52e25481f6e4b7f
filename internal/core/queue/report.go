package queue

import (
	"cmp"
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.byTask) }

// NextDeadline returns the earliest deadline of the waiting items, or the zero time
// when none has one.
func (q *Queue) NextDeadline() time.Time {
	if q.byDeadline.len() == 0 {
		return time.Time{}
	}
	return q.byDeadline.top().item.Deadline
}

// NextReady returns when the delay of the next delayed item ends, or the zero time
// when no item is delayed.
func (q *Queue) NextReady() time.Time {
	if q.delayed.len() == 0 {
		return time.Time{}
	}
	return q.delayed.top().readyAt
}

// Waiting returns the waiting items by team and class, sorted by team and then by
// urgency.
func (q *Queue) Waiting() []Waiting {
	out := make([]Waiting, 0, len(q.groups))
	for id, g := range q.groups {
		out = append(out, Waiting{id.team, id.class, g.oldest.len(), g.oldest.top().item.EnqueuedAt})
	}
	slices.SortFunc(out, func(a, b Waiting) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Class.Rank(), b.Class.Rank()),
			cmp.Compare(a.Class, b.Class))
	})
	return out
}

// LongestWait returns how long the oldest waiting item of a class has waited; zero
// when no item waits.
func (q *Queue) LongestWait(class model.Class, now time.Time) time.Duration {
	var longest time.Duration
	for _, g := range q.longest[class.Rank()].items {
		if g.class == class {
			longest = max(longest, now.Sub(g.oldest.top().item.EnqueuedAt))
		}
	}
	return longest
}
