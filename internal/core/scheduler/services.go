package scheduler

import (
	"fmt"
	"strings"
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/placement"
	"catkinvalve/internal/core/queue"
	"catkinvalve/internal/core/retry"
	"catkinvalve/internal/core/split"
	"catkinvalve/internal/text"
)

// standingPrefix marks keys of service instances that the text asks for.
const instanceKeyPrefix = "instance."

// SetText puts a configuration revision in force. The old system's reserve
// shrinks only once it acknowledged that it has vacated the slots.
func (c *Core) ApplyConfig(now time.Time, t *text.Config, carried split.Carried) {
	c.clusterConfig, c.carried = t, carried
	if slots := int64(carried.Reserve.Highest); slots > c.oldSystemSlots {
		c.oldSystemSlots = slots
	}
	c.dataCentres = c.dataCentres[:0]
	for _, dc := range t.DataCentres {
		c.dataCentres = append(c.dataCentres, dc.Name)
	}
	c.index.SetOptions(placement.Options{
		WaitingWeight: t.Weigh.Waiting, PackingWeight: t.Weigh.Packing,
		HeadroomPercent: t.Limits.InteractiveHeadroomPercent, RackSpare: t.Limits.RackSpare,
	})
	c.queue.Configure(queueConfig(t))
	c.backoff = retry.Backoff{
		Base: time.Duration(t.Retry.BackoffMS) * time.Millisecond, Max: time.Duration(t.Retry.BackoffMaxMS) * time.Millisecond,
	}
	c.budget.Configure(budgetConfig(t.Retry.BudgetPercent))
	for id, w := range c.workers {
		c.index.Upsert(c.withoutOldSystemSlots(w.worker))
		c.updatePlacementState(now, id)
	}
	if c.serving {
		c.syncServices(now)
	}
	c.dirty = true
}

// ReserveAcknowledged lowers the old system's reserve after its acknowledgement
// of the text in force.
func (c *Core) HandleReserveAcknowledged(now time.Time, slots int64) {
	if slots != c.clusterConfig.Old.SlotsPerWorker || slots == c.oldSystemSlots {
		return
	}
	c.oldSystemSlots = slots
	for id, w := range c.workers {
		c.index.Upsert(c.withoutOldSystemSlots(w.worker))
		c.updatePlacementState(now, id)
	}
	c.dirty = true
}

func queueConfig(t *text.Config) queue.Config {
	quotas := make(map[string]queue.Quota, len(t.Teams))
	for _, team := range t.Teams {
		quotas[team.Name] = queue.Quota{MilliCPU: team.Quota.MilliCPU, Slots: team.Quota.Slots, Borrow: team.Quota.Borrow}
	}
	return queue.Config{
		PerTeamClass: t.Limits.QueuePerTeam, Total: t.Limits.QueueTotal, Quotas: quotas,
		Urgent: time.Duration(t.Limits.UrgentWaitMS) * time.Millisecond,
	}
}

// syncServices starts and stops service instances so that the data centre runs
// its part of what the text asks for.
//
// A new owner that lost its records waits until every worker has shown its
// inventory, or must have stopped its tasks: an instance may run where no lease
// is held yet.
func (c *Core) syncServices(now time.Time) {
	if c.serviceSyncPending = c.doubt != nil && c.hasUnleasedWorker() && !c.graceOver(now); c.serviceSyncPending {
		return
	}
	wanted := map[string]bool{}
	for i := range c.clusterConfig.Services {
		s := &c.clusterConfig.Services[i]
		if s.Class != model.Service {
			continue
		}
		for n := range s.Instances {
			key, mine := c.instanceKey(s, n)
			if !mine {
				continue
			}
			key = c.currentGeneration(key)
			wanted[key] = true
			if c.entries[key] == nil {
				c.startInstance(now, s, key)
			}
		}
	}
	for key, e := range c.entries {
		if e.serviceInstance && !wanted[key] {
			c.cancel(now, e)
		}
	}
}

// instanceKey names instance n of a service and tells whether this data centre
// runs it on the new system. Instances are spread over the data centres in
// order, and each keeps its place while the numbers change.
func (c *Core) instanceKey(s *text.Service, n int) (string, bool) {
	if len(c.dataCentres) == 0 {
		return "", false
	}
	dc := c.dataCentres[n%len(c.dataCentres)]
	key := fmt.Sprintf("%s:%s%s.%d", dc, instanceKeyPrefix, s.Name, n)
	return key, dc == c.cfg.DataCentre && split.Side(key, s.Name, s.NewPercent) == model.NewSide
}

// liveKey returns the key under which an instance runs or can start. A final
// fate never changes, so an instance that is asked for again after it was
// cancelled gets the next generation of its key.
func (c *Core) currentGeneration(key string) string {
	for generation := 1; ; generation++ {
		next := key
		if generation > 1 {
			next = fmt.Sprintf("%s~%d", key, generation)
		}
		if e := c.entries[next]; e == nil || (!e.rec.Fate.Terminal() && !e.rec.CancelRequested) {
			return next
		}
	}
}

func (c *Core) isInstanceKey(key string) bool {
	return strings.HasPrefix(key, string(c.cfg.DataCentre)+":"+instanceKeyPrefix)
}

func (c *Core) startInstance(now time.Time, s *text.Service, key string) {
	e := c.newEntry(now, model.Request{
		Key: key, Service: s.Name, Team: s.Team, Class: model.Service, Size: s.Size, Tasks: 1, Idempotent: true,
	})
	e.serviceInstance = true
	c.queue.Requeue(now, c.queueItem(now, e, 0))
	c.replicate(e)
}
