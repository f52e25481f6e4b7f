package queue

import (
	"time"

	"catkinvalve/internal/core/model"
)

// Admit adds a new item, or refuses it and returns the reason; the reason is empty when
// the item was added. When MaxTotal is
// reached, it removes (sheds) items of less urgent classes and returns them. If the
// item is already waiting, Admit changes nothing.
//
// A gang counts as one item. All waiting items of a key are shed together, so that no
// request keeps only some of its tasks.
func (q *Queue) Admit(now time.Time, it Item) (shed []Item, refusal model.Reason) {
	if q.byTask[model.TaskID{Key: it.Key, Index: it.Index}] != nil {
		return nil, ""
	}
	if reason := q.refusalReason(now, it); reason != "" {
		return nil, reason
	}
	if q.config.MaxTotal <= 0 {
		return nil, model.ReasonQueueFull
	}
	// Requeued items may exceed MaxTotal, so shedding all less urgent items may not
	// be enough. Nothing is shed then.
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

// refusalReason returns why an item is refused because of its deadline, its team's
// quota or the bound for its team and class; empty when none of them applies.
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

// countLessUrgent returns the number of items in classes that are less urgent than
// rank.
func (q *Queue) countLessUrgent(rank int) int {
	n := 0
	for id, g := range q.groups {
		if id.class.Rank() > rank {
			n += g.oldest.len()
		}
	}
	return n
}

// shedCandidate returns the newest item of the longest group in the least urgent
// class that has items and is less urgent than rank, or nil.
func (q *Queue) shedCandidate(rank int) *node {
	for r := len(q.longest) - 1; r > rank; r-- {
		if q.longest[r].len() > 0 {
			return q.longest[r].top().newest.top()
		}
	}
	return nil
}
