package queue

import (
	"cmp"
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.byTask) }

// NextDeadline returns the earliest deadline of a waiting item, or zero.
func (q *Queue) NextDeadline() time.Time {
	if q.byDeadline.len() == 0 {
		return time.Time{}
	}
	return q.byDeadline.top().item.Deadline
}

// NextReady returns when the next delayed item may be offered, or zero.
func (q *Queue) NextReady() time.Time {
	if q.delayed.len() == 0 {
		return time.Time{}
	}
	return q.delayed.top().readyAt
}

// Waiting returns counts by team and class, sorted by team and then urgency.
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

// OldestOf returns the longest wait in a class; zero when nothing waits.
func (q *Queue) LongestWait(class model.Class, now time.Time) time.Duration {
	var longest time.Duration
	for _, g := range q.longest[class.Rank()].items {
		if g.class == class {
			longest = max(longest, now.Sub(g.oldest.top().item.EnqueuedAt))
		}
	}
	return longest
}
