package jobs

import (
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/retry"
)

// pool holds the workers of a service that accept tasks, in order of ID.
type pool struct {
	workers []*worker
	// largest is, in each dimension, the largest free capacity of any worker.
	largest model.Size
	// free is the sum of the free capacity of all workers, from which the demand of the waiting
	// gangs that claim capacity is then subtracted.
	free model.Size
	// total is the capacity of all workers.
	total model.Size
	// usedShare is the used share of the scarcest resource.
	usedShare float64
	// gangWaits is set once a gang of priority gangPriority was not placed in the current
	// round although its turn had come, and the pool is short of capacity.
	gangWaits    bool
	gangPriority int
	// next is the index at which the next sample begins.
	next int
}

// startRound recomputes the free capacity and forgets the waiting gangs of the last round.
func (p *pool) startRound() {
	p.largest, p.free, p.gangWaits = model.Size{}, model.Size{}, false
	var used, total model.Size
	for _, w := range p.workers {
		free := w.resources.free()
		p.largest = p.largest.Max(free)
		p.free = p.free.Add(free)
		used, total = used.Add(w.resources.used), total.Add(w.resources.capacity)
	}
	p.total, p.usedShare = total, used.DominantShare(total)
}

// hasSpare reports whether free capacity remains beyond the demand of the waiting gangs
// that were admitted.
func (p *pool) hasSpare() bool { return p.free.MilliCPU > 0 && p.free.MemMB > 0 }

// refreshPools recomputes which workers accept tasks.
func (c *Core) refreshPools(now time.Time) {
	c.poolsStale = false
	c.health.SetWorkerCount(len(c.workers))
	for _, p := range c.pools {
		p.workers = p.workers[:0]
	}
	for _, w := range c.workerList {
		if !w.listed {
			continue
		}
		w.state = c.workerState(now, w)
		if w.state == WorkerUsable && c.health.State(now, w.ID) == retry.Quarantined {
			w.state = WorkerQuarantined
		}
		if w.state != WorkerUsable {
			continue
		}
		p := c.pools[w.Service]
		if p == nil {
			p = &pool{}
			c.pools[w.Service] = p
		}
		p.workers = append(p.workers, w)
	}
}

// pool returns the pool of a step's service, or an empty pool if there is none.
func (c *Core) pool(s *step) *pool {
	if p := c.pools[s.job().queue.Service]; p != nil {
		return p
	}
	return &pool{}
}
