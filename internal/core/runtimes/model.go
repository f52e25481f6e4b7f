// Package runtimes learns how long the tasks of a queue run.
//
// For each queue a Model keeps the latest runs, and for groups of runs, by tenant and by shape
// of the step, theirs. From them it derives how far the caller's estimate predicts the run time,
// and the distribution of what the estimate leaves open. Runs that did not end by themselves
// count as lower bounds.
package runtimes

import (
	"math"
	"time"
)

const (
	// maxQueues limits the queues for which run times are learned.
	maxQueues = 128
	// maxGroups limits the groups of a queue.
	maxGroups = 16
	// maxTenantBytes limits the names of the tenants whose runs are kept apart.
	maxTenantBytes = 64
	// minRuns is the number of complete runs from which a queue's runs replace the estimates.
	minRuns = 5
	// minGroupRuns is the number of complete runs from which a group's runs replace those of the
	// level above. Below it the high quantiles of a group are less accurate than those of the queue.
	minGroupRuns = 40
	// idleRuns is the number of runs of the queue after which a group without any gives way to a
	// new one. Without it, many tenants would replace each other's groups before these are of use.
	idleRuns = 1024
)

// Key says which runs a prediction is for.
type Key struct {
	Queue string
	// Tenant is empty for jobs without a tenant.
	Tenant string
	Shape  Shape
	// Estimate is the caller's estimate; 0 if there is none.
	Estimate time.Duration
}

// Prediction is a run time with its certainty.
type Prediction struct {
	Time time.Duration
	// Runs is the effective number of complete runs that Time is derived from. With 0, Time is
	// the caller's estimate.
	Runs float64
}

// Model holds the run times of all queues.
type Model struct {
	queues map[string]*queue
}

// queue holds the run times of one queue.
type queue struct {
	all    runWindow
	groups map[groupKey]*group
	// observed counts the runs, and unsaved those since the last Encode.
	observed, unsaved int
	// version is the number of changes of the predictions.
	version uint64
}

// groupKey identifies a group: the runs of a tenant, or those of a tenant, or of jobs without one,
// with a certain shape.
type groupKey struct {
	tenant   string
	shape    Shape
	anyShape bool
}

// group holds the runs of a group. lastRun is the value of queue.observed at the latest.
type group struct {
	runs    runWindow
	lastRun int
	// refines is set if predictions for the group come from its own runs.
	refines bool
}

// New returns a model without any runs.
func New() *Model { return &Model{queues: map[string]*queue{}} }

// Observe adds a run that took a certain time, or at least that time if it is not complete. Its
// cost does not depend on the number of queues and tenants.
func (m *Model) Observe(k Key, took time.Duration, complete bool) {
	if took <= 0 {
		return
	}
	q := m.queues[k.Queue]
	if q == nil {
		if len(m.queues) >= maxQueues {
			return
		}
		q = newQueue()
		m.queues[k.Queue] = q
	}
	q.observe(k, sample{estimate: encodeTime(k.Estimate), time: encodeTime(took), censored: !complete})
}

func newQueue() *queue { return &queue{groups: map[groupKey]*group{}} }

func (q *queue) observe(k Key, s sample) {
	q.observed++
	q.unsaved++
	changed := q.all.add(s, defaultSlope)
	for _, key := range groupsOf(k) {
		if g := q.group(key); g != nil {
			g.lastRun = q.observed
			if g.runs.add(s, q.all.curve.slope) {
				g.refines, changed = q.refines(key, g), true
			}
		}
	}
	if changed {
		q.version++
	}
}

// refines reports whether predictions for a group come from its own runs. Those of a tenant do as soon as
// there are enough. Those of a shape must also differ from the others: of the many properties in a shape few
// matter, and quantiles from fewer runs are less accurate.
func (q *queue) refines(key groupKey, g *group) bool {
	if g.runs.curve.complete < minGroupRuns {
		return false
	}
	if key.anyShape {
		return true
	}
	above := &q.all.curve
	if t := q.groups[groupKey{tenant: key.tenant, anyShape: true}]; t != nil && t.refines {
		above = &t.runs.curve
	}
	return g.runs.curve.differs(above)
}

// groupsOf returns the groups to which a run belongs, the narrowest first.
func groupsOf(k Key) []groupKey {
	switch {
	case len(k.Tenant) > maxTenantBytes:
		return nil
	case k.Tenant == "":
		return []groupKey{{shape: k.Shape}}
	}
	return []groupKey{{tenant: k.Tenant, shape: k.Shape}, {tenant: k.Tenant, anyShape: true}}
}

// group returns a group, which it creates if there is room or one that has had no run for long. It
// returns nil otherwise.
func (q *queue) group(key groupKey) *group {
	if g := q.groups[key]; g != nil {
		return g
	}
	if len(q.groups) >= maxGroups && !q.dropIdleGroup() {
		return nil
	}
	g := &group{}
	q.groups[key] = g
	return g
}

func (q *queue) dropIdleGroup() bool {
	for key, g := range q.groups {
		if q.observed-g.lastRun > idleRuns {
			delete(q.groups, key)
			return true
		}
	}
	return false
}

// Quantile returns the time that the given share of the runs do not exceed.
func (m *Model) Quantile(k Key, share float64) Prediction {
	c := m.curve(k)
	if c == nil {
		return Prediction{Time: k.Estimate}
	}
	return Prediction{Time: decodeTime(c.quantile(share) + c.shift(k.Estimate)), Runs: c.runs}
}

// Remaining returns the time within which the given share of those runs end that have already
// taken the time elapsed. It is 0 if none is known to have taken that long, or without any runs.
func (m *Model) Remaining(k Key, elapsed time.Duration, share float64) Prediction {
	c := m.curve(k)
	if c == nil {
		return Prediction{}
	}
	shift, ended := c.shift(k.Estimate), 0.0
	if elapsed > 0 {
		ended = c.share(math.Log(elapsed.Seconds()) - shift)
	}
	total := decodeTime(c.quantile(ended+(1-ended)*share) + shift)
	return Prediction{Time: max(total-elapsed, 0), Runs: c.runs}
}

// curve returns the distribution of the narrowest group that refines those above it, or that of the
// queue; nil if the queue has too few runs.
func (m *Model) curve(k Key) *curve {
	q := m.queues[k.Queue]
	if q == nil || q.all.curve.complete < minRuns {
		return nil
	}
	if k.Tenant != "" {
		if c := q.groupCurve(groupKey{tenant: k.Tenant, shape: k.Shape}); c != nil {
			return c
		}
		if c := q.groupCurve(groupKey{tenant: k.Tenant, anyShape: true}); c != nil {
			return c
		}
	} else if c := q.groupCurve(groupKey{shape: k.Shape}); c != nil {
		return c
	}
	return &q.all.curve
}

func (q *queue) groupCurve(key groupKey) *curve {
	if g := q.groups[key]; g != nil && g.refines {
		return &g.runs.curve
	}
	return nil
}

// Version returns a number that changes whenever predictions for a queue may have; 0 before
// any run.
func (m *Model) Version(queue string) uint64 {
	if q := m.queues[queue]; q != nil {
		return q.version
	}
	return 0
}

// Usual returns the median and the given quantile of a queue's run times for a usual estimate.
func (m *Model) Usual(queue string, share float64) (median, quantile Prediction) {
	q := m.queues[queue]
	if q == nil || q.all.curve.complete < minRuns {
		return Prediction{}, Prediction{}
	}
	c := &q.all.curve
	return Prediction{decodeTime(c.quantile(0.5)), c.runs}, Prediction{decodeTime(c.quantile(share)), c.runs}
}
