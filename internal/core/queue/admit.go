package queue

import (
	"time"

	"catkinvalve/internal/core/model"
)

// Admit adds new work, or refuses it with a reason. When the total bound is
// reached, it sheds work of a less urgent class and returns it. An item that
// already waits stays as it is.
//
// A gang counts as one item. All waiting items of a shed key are removed
// together, so that no request is left with some of its tasks.
func (q *Queue) Admit(now time.Time, it Item) (shed []Item, refused model.Reason) {
	if q.byTask[model.TaskID{Key: it.Key, Index: it.Index}] != nil {
		return nil, ""
	}
	if reason := q.refusalReason(now, it); reason != "" {
		return nil, reason
	}
	if q.config.MaxTotal <= 0 {
		return nil, model.ReasonQueueFull
	}
	// Requeued work may exceed the bound, so that shedding may not suffice. Then
	// nothing is shed.
	if q.Len()-q.countLessUrgent(it.Class.Rank()) >= q.config.MaxTotal {
		return nil, model.ReasonQueueFull
	}
	for q.Len() >= q.config.MaxTotal {
		shedCandidate := q.shedCandidate(it.Class.Rank())
		shed = append(shed, q.dropKey(shedCandidate.item.Key)...)
	}
	q.insert(now, it)
	return shed, ""
}

// refusal checks what concerns only the item and its team.
func (q *Queue) refusalReason(now time.Time, it Item) model.Reason {
	if !it.Deadline.IsZero() && it.Deadline.Before(now) {
		return model.ReasonDeadline
	}
	idle := team{quota: q.quotaOf(it.Team)}
	if !idle.quota.Borrow && !idle.withinQuota(it.TotalSize()) {
		return model.ReasonQuota
	}
	if g := q.groups[groupID{it.Team, it.Class}]; g != nil && g.oldest.len() >= q.config.MaxPerTeamClass {
		return model.ReasonQueueFull
	}
	if q.config.MaxPerTeamClass <= 0 {
		return model.ReasonQueueFull
	}
	return ""
}

// lessUrgent counts the items of the classes that are less urgent than rank.
func (q *Queue) countLessUrgent(rank int) int {
	n := 0
	for id, g := range q.groups {
		if id.class.Rank() > rank {
			n += g.oldest.len()
		}
	}
	return n
}

// victim returns the newest item of the longest queue in the least urgent
// class that is less urgent than rank, or nil.
func (q *Queue) shedCandidate(rank int) *node {
	for r := len(q.longest) - 1; r > rank; r-- {
		if q.longest[r].len() > 0 {
			return q.longest[r].top().newest.top()
		}
	}
	return nil
}
