package jobs

import (
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/tenant"
)

// limit returns the tenant's limit, with 0 in dimensions without one.
func (a *account) limit() model.Size {
	if a == nil {
		return model.Size{}
	}
	limit, unlimited := a.room.capacity, unlimitedSize
	for _, d := range [][2]*int64{{&limit.MilliCPU, &unlimited.MilliCPU}, {&limit.MemMB, &unlimited.MemMB}, {&limit.Accel, &unlimited.Accel}} {
		if *d[0] == *d[1] {
			*d[0] = 0
		}
	}
	limit.Slots, limit.Conns = 0, 0
	return limit
}

// unlimitedSize is the limit of a tenant without one.
var unlimitedSize = tenant.Unlimited(model.Size{})

// addUse counts a run against the limit of its tenant.
func (a *account) addUse(r *run) {
	if a == nil {
		return
	}
	a.room.used = a.room.used.Add(r.size)
	if r.task != nil && r.task.step.def.LongRunning {
		r.countedLasting = true
		a.lasting = a.lasting.Add(r.size)
	}
}

// removeUse is the reverse of addUse.
func (a *account) removeUse(r *run) {
	if a == nil {
		return
	}
	a.room.used = a.room.used.Sub(r.size)
	if r.countedLasting {
		r.countedLasting = false
		a.lasting = a.lasting.Sub(r.size)
	}
}

// unlimitedCopies is the number of tasks that a tenant without a limit may start.
const unlimitedCopies = 1 << 20

// limitCopies returns how many more tasks of a step the limit of its tenant allows.
func (c *Core) limitCopies(s *step) int {
	a := s.job().account
	if a == nil {
		return unlimitedCopies
	}
	return copiesIn(c.freeLimit(a), s.def.Size)
}

// freeLimit returns what is left of a tenant's limit; a dimension may be negative.
func (c *Core) freeLimit(a *account) model.Size {
	return a.room.free().Sub(c.unprovenUse).Sub(a.awaited).Sub(a.reserved)
}

// limitAllows reports whether the limit of the tenant allows a task of the step to start, or all
// tasks of a gang.
func (c *Core) limitAllows(s *step) bool {
	a := s.job().account
	if a == nil {
		return true
	}
	needed := s.def.Size
	if s.def.Gang {
		needed = needed.Times(int64(len(s.tasks)))
	}
	return needed.Fits(c.freeLimit(a))
}

// noteWaiting records what a step that was not placed, although its turn had come, needs.
func (c *Core) noteWaiting(s *step) {
	if s.wait.reason == waitForLimit {
		c.noteLimitWait(s)
		return
	}
	c.noteWaitingGang(s)
}

// noteLimitWait records that a step waits for the limit of its tenant only. If it is a gang that can
// start once other runs have ended, it reserves what it needs of the limit. Otherwise less urgent
// tasks of the tenant, one by one, would take whatever becomes free.
func (c *Core) noteLimitWait(s *step) {
	a := s.job().account
	if !a.limitWaits {
		a.limitWaits = true
		c.limitedAccounts = append(c.limitedAccounts, a)
	}
	if s.def.Gang {
		a.reserved = a.reserved.Add(a.limitToReserve(s))
	}
}

// limitToReserve returns what is kept of the tenant's limit for a gang that waits for the limit; the zero
// size if the gang cannot start even once other runs have ended.
func (a *account) limitToReserve(s *step) model.Size {
	size := s.def.Size.Times(int64(len(s.tasks)))
	if !size.Fits(a.room.capacity.Sub(a.lasting)) {
		return model.Size{}
	}
	return size
}

// startLimitRound forgets the reservations of the last round and determines what may run without
// being known.
func (c *Core) startLimitRound() {
	for _, a := range c.limitedAccounts {
		a.reserved, a.limitWaits = model.Size{}, false
	}
	c.limitedAccounts = c.limitedAccounts[:0]
	c.unprovenUse = model.Size{}
	if len(c.accounts) == 0 {
		return
	}
	for id, previous := range c.recovery.workers {
		if !previous.sizesKnown {
			c.unprovenUse = c.unprovenUse.Add(c.unknownUse(c.workers[id], previous.capacity))
		}
	}
	for _, w := range c.workerList {
		if w.unknownRuns > 0 && !c.recovery.awaits(w.ID) {
			c.unprovenUse = c.unprovenUse.Add(c.unknownUse(w, w.resources.capacity))
		}
	}
}

// unknownUse returns the most that runs that are not known can use on a worker, which may be nil. Its
// recorded capacity is the zero size if there is none.
func (c *Core) unknownUse(w *worker, recorded model.Size) model.Size {
	capacity := recorded
	if w == nil {
		return capacity.Max(c.largestWorker())
	}
	if capacity = capacity.Max(w.resources.capacity); capacity == (model.Size{}) {
		capacity = c.largestWorker()
	}
	return capacity.Sub(w.resources.used).Max(model.Size{})
}

// largestWorker returns, in each dimension, the largest capacity of any worker.
func (c *Core) largestWorker() model.Size {
	var largest model.Size
	for _, w := range c.workerList {
		largest = largest.Max(w.resources.capacity)
	}
	return largest
}

// previousUse is what a tenant may have running on a worker that has not answered.
type previousUse struct {
	account *account
	size    model.Size
}

// resolvePrevious determines the sizes of the tasks that may run on the worker of a record. If one
// of them is not known, any tasks may run there as far as limits are concerned.
func (c *Core) resolvePrevious(r *WorkerRecord) {
	previous := c.recovery.workers[r.ID]
	previous.capacity = r.Capacity
	previous.uses, previous.sizesKnown = c.usesOf(&previous)
	for _, u := range previous.uses {
		u.account.awaited = u.account.awaited.Add(u.size)
	}
	c.recovery.workers[r.ID] = previous
}

// usesOf returns what tenants may have running on a worker, and false if that is not known.
func (c *Core) usesOf(previous *previousRuns) ([]previousUse, bool) {
	if !previous.known || len(previous.tasks) == 0 && len(previous.jobs) > 0 {
		return nil, false
	}
	var uses []previousUse
	for _, ref := range previous.tasks {
		j := c.jobs[ref.Job]
		if j == nil || ref.Step < 0 || int(ref.Step) >= len(j.spec.Steps) {
			return nil, false
		}
		if j.account != nil {
			uses = append(uses, previousUse{j.account, j.spec.Steps[ref.Step].Size})
		}
	}
	return uses, true
}

// releaseUses stops counting what may run on a worker that is no longer awaited.
func (previous *previousRuns) releaseUses() {
	for _, u := range previous.uses {
		u.account.awaited = u.account.awaited.Sub(u.size)
	}
}
