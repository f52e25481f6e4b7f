package scheduler

import (
	"container/heap"
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/text"
)

// dueKey is a running request that has to be stopped at its deadline.
type dueKey struct {
	at  time.Time
	key string
}

// dueKeys is a heap with the earliest deadline first.
type dueKeys []dueKey

func (d dueKeys) Len() int           { return len(d) }
func (d dueKeys) Less(i, j int) bool { return d[i].at.Before(d[j].at) }
func (d dueKeys) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *dueKeys) Push(x any) { *d = append(*d, x.(dueKey)) }

// Pop implements heap.Interface.
func (d *dueKeys) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// watchDeadline remembers a request that began to run and whose service asks to
// be stopped at the deadline.
func (c *Core) watchDeadline(e *entry) {
	r := &e.rec.Request
	if !r.Deadline.IsZero() && c.service(r.Service).OnDeadline == text.DeadlineStop {
		heap.Push(&c.due, dueKey{r.Deadline, r.Key})
	}
}

// stopDue stops the running tasks of requests whose deadline has passed.
func (c *Core) stopDue(now time.Time) {
	for len(c.due) > 0 && !now.Before(c.due[0].at) {
		key := heap.Pop(&c.due).(dueKey).key
		if e := c.entries[key]; e != nil && !e.rec.Fate.Terminal() && !e.rec.CancelRequested {
			c.stopOverdue(now, e)
		}
	}
}

func (c *Core) stopOverdue(now time.Time, e *entry) {
	for i := range e.rec.Tasks {
		if e.rec.Tasks[i].State == model.TaskRunning {
			c.stopTask(e, i, StopNow)
		}
	}
	c.dropWaiting(now, e, model.ReasonDeadline)
	if !e.rec.Fate.Terminal() {
		c.changed(e)
	}
}

// ended reports whether stopped tasks of the request stay stopped.
func (e *entry) ended() bool {
	return e.rec.CancelRequested || e.rec.Reason == model.ReasonDeadline
}
