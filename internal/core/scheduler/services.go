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

// instanceKeyPrefix marks the keys of service instances. In a key it follows the data
// centre and a colon.
const instanceKeyPrefix = "instance."

// ApplyConfig applies a revision of the cluster configuration, with the recent values of
// settings of earlier revisions. More slots for the old system apply at once. Fewer apply
// only after HandleReserveAcknowledged, when the old system has vacated the others.
func (c *Core) ApplyConfig(now time.Time, cfg *text.Config, history split.History) {
	c.text, c.history = cfg, history
	if slots := int64(history.OldSlotsPerWorker.Highest); slots > c.oldSystemSlots {
		c.oldSystemSlots = slots
	}
	c.dataCentres = c.dataCentres[:0]
	for _, dc := range cfg.DataCentres {
		c.dataCentres = append(c.dataCentres, dc.Name)
	}
	c.index.SetOptions(placement.Options{
		WaitingWeight: cfg.Weights.Waiting, PackingWeight: cfg.Weights.Packing,
		HeadroomPercent: cfg.Limits.InteractiveHeadroomPercent, RackSpare: cfg.Limits.RackSpare,
	})
	c.queue.Configure(queueConfig(cfg))
	c.backoff = retry.Backoff{
		Base: time.Duration(cfg.Retry.BackoffMS) * time.Millisecond, Max: time.Duration(cfg.Retry.BackoffMaxMS) * time.Millisecond,
	}
	c.budget.Configure(budgetConfig(cfg.Retry.BudgetPercent))
	for id, w := range c.workers {
		c.index.Upsert(c.withoutOldSystemSlots(w.worker))
		c.updatePlacementState(now, id)
	}
	if c.serving {
		c.syncServices(now)
	}
	c.dirty = true
}

// HandleReserveAcknowledged applies the number of slots on each worker that the old
// system has acknowledged. Any number but the one in the current cluster configuration
// is ignored.
func (c *Core) HandleReserveAcknowledged(now time.Time, slots int64) {
	if slots != c.text.OldSystem.SlotsPerWorker || slots == c.oldSystemSlots {
		return
	}
	c.oldSystemSlots = slots
	for id, w := range c.workers {
		c.index.Upsert(c.withoutOldSystemSlots(w.worker))
		c.updatePlacementState(now, id)
	}
	c.dirty = true
}

// queueConfig returns the queue's bounds and quotas from the cluster configuration.
func queueConfig(cfg *text.Config) queue.Config {
	quotas := make(map[string]queue.Quota, len(cfg.Teams))
	for _, team := range cfg.Teams {
		quotas[team.Name] = queue.Quota{MilliCPU: team.Quota.MilliCPU, Slots: team.Quota.Slots, Borrow: team.Quota.Borrow}
	}
	return queue.Config{
		MaxPerTeamClass: cfg.Limits.QueuePerTeam, MaxTotal: cfg.Limits.QueueTotal, Quotas: quotas,
		MaxInteractiveWait: time.Duration(cfg.Limits.UrgentWaitMS) * time.Millisecond,
	}
}

// syncServices starts and cancels service instances so that the data centre runs its
// share of those in the cluster configuration.
//
// A new owner without complete records waits until the inventories of all workers are
// known or their tasks must have stopped, because an instance may still run on a worker
// whose lease is not held yet.
func (c *Core) syncServices(now time.Time) {
	if c.serviceSyncPending = c.doubt != nil && c.hasUnleasedWorker() && !c.graceOver(now); c.serviceSyncPending {
		return
	}
	wanted := map[string]bool{}
	for i := range c.text.Services {
		s := &c.text.Services[i]
		if s.Class != model.Service {
			continue
		}
		for n := range s.Instances {
			key, local := c.instanceKey(s, n)
			if !local {
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

// instanceKey returns the key of instance n of a service, and true if this data centre
// runs it on the new system. Instances are assigned to the data centres round-robin by
// their number, so an instance keeps its data centre when the number of instances
// changes.
func (c *Core) instanceKey(s *text.Service, n int) (string, bool) {
	if len(c.dataCentres) == 0 {
		return "", false
	}
	dc := c.dataCentres[n%len(c.dataCentres)]
	key := fmt.Sprintf("%s:%s%s.%d", dc, instanceKeyPrefix, s.Name, n)
	return key, dc == c.cfg.DataCentre && split.Side(key, s.Name, s.NewPercent) == model.NewSide
}

// currentGeneration returns the key under which an instance runs or can start. A final
// fate never changes, so an instance that was cancelled and is wanted again gets the
// next generation of its key.
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

// isInstanceKey reports whether a key is of a service instance of this data centre.
func (c *Core) isInstanceKey(key string) bool {
	return strings.HasPrefix(key, string(c.cfg.DataCentre)+":"+instanceKeyPrefix)
}

// startInstance adds a record for a service instance and queues it.
func (c *Core) startInstance(now time.Time, s *text.Service, key string) {
	e := c.newEntry(now, model.Request{
		Key: key, Service: s.Name, Team: s.Team, Class: model.Service, Size: s.Size, Tasks: 1, Idempotent: true,
	})
	e.serviceInstance = true
	c.queue.Requeue(now, c.queueItem(now, e, 0))
	c.replicate(e)
}
