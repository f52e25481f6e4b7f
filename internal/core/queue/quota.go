package queue

import (
	"catkinvalve/internal/core/model"
)

// team is the running usage of a team against its quota.
type team struct {
	name            string
	quota           Quota
	milliCPU, slots int64
	// groups counts the classes in which the team has waiting items.
	groups int
}

// within reports whether the team stays inside its quota when it starts need.
func (t *team) withinQuota(need model.Size) bool {
	return t.milliCPU+need.MilliCPU <= t.quota.MilliCPU && t.slots+need.Slots <= t.quota.Slots
}

// share is the dominant usage weighted by the quota.
func (t *team) share() float64 {
	return max(float64(t.milliCPU)/float64(max(t.quota.MilliCPU, 1)),
		float64(t.slots)/float64(max(t.quota.Slots, 1)))
}

func (q *Queue) quotaOf(name string) Quota {
	if quota, ok := q.config.Quotas[name]; ok {
		return quota
	}
	return Quota{Borrow: true}
}

func (q *Queue) team(name string) *team {
	t := q.teams[name]
	if t == nil {
		t = &team{name: name, quota: q.quotaOf(name)}
		q.teams[name] = t
	}
	return t
}

// release forgets a team that neither runs nor waits, so that the number of
// teams in memory stays bounded by those with work.
func (q *Queue) forgetIfIdle(t *team) {
	if t.groups == 0 && t.milliCPU == 0 && t.slots == 0 {
		delete(q.teams, t.name)
	}
}

// Charge adds running work to a team's usage.
func (q *Queue) AddUsage(team string, s model.Size) {
	t := q.team(team)
	t.milliCPU += s.MilliCPU
	t.slots += s.Slots
	q.forgetIfIdle(t)
}

// Refund takes ended work off a team's usage.
func (q *Queue) SubtractUsage(team string, s model.Size) {
	t := q.team(team)
	t.milliCPU = max(t.milliCPU-s.MilliCPU, 0)
	t.slots = max(t.slots-s.Slots, 0)
	q.forgetIfIdle(t)
}

// Borrowed reports whether a team runs more than its quota. Its work is
// preempted first.
func (q *Queue) OverQuota(team string) bool {
	t := q.teams[team]
	return t != nil && !t.withinQuota(model.Size{})
}
