package jobs

import (
	"slices"

	"catkinvalve/internal/core/model"
)

// reservesLimit reports whether anything is kept of the limit of the tenant of the planned job.
func (p *planner) reservesLimit(a *account) bool {
	if a == nil {
		return false
	}
	original := p.c.accounts[a.name]
	return len(p.limited) > 0 || original != nil && original.reserved != (model.Size{})
}

// reservedLimitBefore returns what gangs that come before a step keep of the limit of its tenant, as
// Core.noteWaiting would determine in a round with the planned job.
func (p *planner) reservedLimitBefore(s *step) (reserved model.Size) {
	a := s.job().account
	gangs := slices.Clone(p.limited)
	for _, o := range p.c.ready {
		if o.def.Gang && o.job().account != nil && o.job().account.name == a.name && o.checksLimit() && compareSteps(o, s) < 0 {
			gangs = append(gangs, o)
		}
	}
	slices.SortFunc(gangs, compareSteps)
	free := a.room.free().Sub(p.c.unprovenUse).Sub(a.awaited)
	for _, g := range gangs {
		if copiesIn(free.Sub(reserved), g.def.Size) < len(g.tasks) {
			reserved = reserved.Add(a.limitToReserve(g))
		}
	}
	return reserved
}

// checksLimit reports whether the last round came as far as the limit of the tenant when it tried to
// place the step.
func (s *step) checksLimit() bool {
	return !slices.Contains([]model.Reason{"", waitForBackoff, waitForRecovery, waitForStops, waitForWorkers}, s.wait.reason)
}
