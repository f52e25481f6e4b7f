package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"catkinvalve/internal/core/membership"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/placement"
	"catkinvalve/internal/core/queue"
	"catkinvalve/internal/core/retry"
	"catkinvalve/internal/fault"
)

// Explanation says why a request waits or how it ended. Counts has the number of
// workers or limits for each reason.
type Explanation struct {
	Fate    model.Fate
	Summary string
	Counts  model.Counts
}

// Explain explains the state of a key. The faults are those of Fate.
func (c *Core) Explain(key string) (Explanation, *fault.Error) {
	if !c.serving {
		return Explanation{}, c.errNoOwner()
	}
	e := c.entries[key]
	if e == nil {
		return Explanation{}, c.errUnknownKey(key)
	}
	rec := c.callerView(e)
	x := Explanation{Fate: rec.Fate}
	switch {
	case rec.Fate.Terminal():
		x.Summary = fmt.Sprintf("ended as %s", rec.Fate)
		if rec.Reason != "" {
			x.Counts = model.Counts{rec.Reason: 1}
		}
	case e.lookupPending:
		x.Summary = "waits for the old system to tell whether it knows the key"
		x.Counts = model.Counts{model.ReasonOldUnavailable: 1}
	case rec.Side == model.OldSide:
		x.Summary = "is with the old system"
	case rec.DelegatedTo != "":
		x.Summary = fmt.Sprintf("runs in data centre %s, because its home had no room", rec.DelegatedTo)
	default:
		c.explainTasks(e, &x)
	}
	return x, nil
}

// explainTasks explains a request that runs or waits in this data centre.
func (c *Core) explainTasks(e *entry, x *Explanation) {
	waiting := 0
	for i := range e.rec.Tasks {
		if e.rec.Tasks[i].State == model.TaskQueued {
			waiting++
		}
	}
	if waiting == 0 {
		x.Summary = fmt.Sprintf("%d of %d tasks are with workers", len(e.rec.Tasks), len(e.rec.Tasks))
		return
	}
	x.Counts = c.waitReasons(e)
	x.Summary = fmt.Sprintf("%d of %d tasks wait: %s", waiting, len(e.rec.Tasks), formatCounts(x.Counts))
}

// waitReasons counts, for each reason, the workers and limits that keep a task of the
// request from starting. Without any reason, the request waits for its turn or for its
// team's quota.
func (c *Core) waitReasons(e *entry) model.Counts {
	r := &e.rec.Request
	counts := c.index.Explain(c.plannedSpec(r))
	if counts == nil {
		counts = model.Counts{}
	}
	if e.rec.Tasks[0].Attempt > 0 && len(counts) == 0 {
		counts[model.ReasonBackoff] = 1
	}
	if c.queue.OverQuota(r.Team) {
		counts[model.ReasonQuota]++
	}
	if r.Class == model.AllAtOnce && len(counts) == 0 {
		counts[model.ReasonGang] = 1
	}
	return counts
}

// formatCounts formats reasons for a message, sorted by name.
func formatCounts(counts model.Counts) string {
	if len(counts) == 0 {
		return "nothing in the way; it is next in turn"
	}
	parts := make([]string, 0, len(counts))
	for r, n := range counts {
		parts = append(parts, fmt.Sprintf("%s=%d", r, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

// WorkerStatus is the state of a worker in a status report. Reserved is the size that
// its tasks hold.
type WorkerStatus struct {
	Worker   model.Worker
	State    string
	Reserved model.Size
	Tasks    int
}

// Workers returns the state of all workers, sorted by ID.
func (c *Core) Workers(now time.Time) []WorkerStatus {
	out := make([]WorkerStatus, 0, len(c.workers))
	for id, w := range c.workers {
		status := WorkerStatus{Worker: w.worker, State: c.workerStateName(now, w), Tasks: len(c.index.Tasks(id))}
		if view, ok := c.index.Worker(id); ok {
			status.Reserved = view.Used
		}
		out = append(out, status)
	}
	slices.SortFunc(out, func(a, b WorkerStatus) int { return strings.Compare(string(a.Worker.ID), string(b.Worker.ID)) })
	return out
}

// workerStateName returns a worker's state as status reports show it.
func (c *Core) workerStateName(now time.Time, w *workerState) string {
	switch {
	case !w.leased:
		return "not_leased"
	case w.draining:
		return "draining"
	case c.health.State(now, w.worker.ID) == retry.Quarantined:
		return "quarantined"
	}
	return "available"
}

// Waiting returns the numbers of waiting tasks by team and class. A gang counts as one.
func (c *Core) Waiting() []queue.Waiting { return c.queue.Waiting() }

// AssignedTaskCount returns the number of tasks that hold capacity of a worker. It
// includes orphans.
func (c *Core) AssignedTaskCount() int {
	n := 0
	c.index.ForEachWorker(func(v placement.WorkerView) bool { n += v.Tasks; return true })
	return n
}

// Load returns the load summary to send to other data centres.
func (c *Core) Load(now time.Time) membership.Load {
	totals := c.index.Totals()
	return membership.Load{
		Free: totals.Free, Capacity: totals.Capacity, LargestFree: totals.LargestFree, Workers: totals.Workers,
		Queued: int64(c.queue.Len()), Running: int64(c.AssignedTaskCount()),
		BatchWait: c.queue.LongestWait(model.Batch, now), InteractiveWait: c.queue.LongestWait(model.Interactive, now),
	}
}

// WaitReasons explains why the oldest waiting request of a team and class cannot
// start. It returns nil if none waits.
func (c *Core) WaitReasons(w queue.Waiting) model.Counts {
	var oldest *entry
	for _, e := range c.entries {
		r := &e.rec.Request
		if e.rec.Fate != model.Queued || r.Team != w.Team || r.Class != w.Class {
			continue
		}
		if oldest == nil || e.rec.Accepted.Before(oldest.rec.Accepted) {
			oldest = e
		}
	}
	if oldest == nil {
		return nil
	}
	return c.waitReasons(oldest)
}
