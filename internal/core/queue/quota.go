package queue

import (
	"catkinvalve/internal/core/model"
)

// team holds the quota of a team and its usage by running tasks.
type team struct {
	name            string
	quota           Quota
	milliCPU, slots int64
	// groups is the number of classes in which the team has waiting items.
	groups int
}

// withinQuota reports whether the team stays within its quota when it starts work of
// the given size.
func (t *team) withinQuota(size model.Size) bool {
	return t.milliCPU+size.MilliCPU <= t.quota.MilliCPU && t.slots+size.Slots <= t.quota.Slots
}

// share returns the larger of the used fractions of the quota in CPU and slots.
func (t *team) share() float64 {
	return max(float64(t.milliCPU)/float64(max(t.quota.MilliCPU, 1)),
		float64(t.slots)/float64(max(t.quota.Slots, 1)))
}

// quotaOf returns the configured quota of a team. A team without one has a quota of 0
// and may borrow.
func (q *Queue) quotaOf(name string) Quota {
	if quota, ok := q.config.Quotas[name]; ok {
		return quota
	}
	return Quota{Borrow: true}
}

// team returns the team with the given name and creates it if necessary.
func (q *Queue) team(name string) *team {
	t := q.teams[name]
	if t == nil {
		t = &team{name: name, quota: q.quotaOf(name)}
		q.teams[name] = t
	}
	return t
}

// forgetIfIdle deletes a team without running or waiting work, so that the number of
// teams in memory is bounded by those that have work.
func (q *Queue) forgetIfIdle(t *team) {
	if t.groups == 0 && t.milliCPU == 0 && t.slots == 0 {
		delete(q.teams, t.name)
	}
}

// AddUsage adds the size of started work to a team's usage.
func (q *Queue) AddUsage(team string, s model.Size) {
	t := q.team(team)
	t.milliCPU += s.MilliCPU
	t.slots += s.Slots
	q.forgetIfIdle(t)
}

// SubtractUsage subtracts the size of ended work from a team's usage, which does not
// fall below 0.
func (q *Queue) SubtractUsage(team string, s model.Size) {
	t := q.team(team)
	t.milliCPU = max(t.milliCPU-s.MilliCPU, 0)
	t.slots = max(t.slots-s.Slots, 0)
	q.forgetIfIdle(t)
}

// OverQuota reports whether a team's usage exceeds its quota.
func (q *Queue) OverQuota(team string) bool {
	t := q.teams[team]
	return t != nil && !t.withinQuota(model.Size{})
}
