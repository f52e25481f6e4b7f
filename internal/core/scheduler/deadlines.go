package scheduler

import (
	"container/heap"
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/text"
)

// runningDeadline is a running request that has to be stopped at its deadline.
type runningDeadline struct {
	at  time.Time
	key string
}

// deadlineHeap is a heap with the earliest deadline first.
type deadlineHeap []runningDeadline

func (d deadlineHeap) Len() int           { return len(d) }
func (d deadlineHeap) Less(i, j int) bool { return d[i].at.Before(d[j].at) }
func (d deadlineHeap) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *deadlineHeap) Push(x any) { *d = append(*d, x.(runningDeadline)) }

// Pop implements heap.Interface.
func (d *deadlineHeap) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// watchDeadline registers a request that has started to run, if its service is
// configured to be stopped at the deadline.
func (c *Core) watchDeadline(e *entry) {
	r := &e.rec.Request
	if !r.Deadline.IsZero() && c.serviceConfig(r.Service).OnDeadline == text.DeadlineStop {
		heap.Push(&c.deadlines, runningDeadline{r.Deadline, r.Key})
	}
}

// stopOverdue stops the registered requests whose deadline has passed.
func (c *Core) stopOverdue(now time.Time) {
	for len(c.deadlines) > 0 && !now.Before(c.deadlines[0].at) {
		key := heap.Pop(&c.deadlines).(runningDeadline).key
		if e := c.entries[key]; e != nil && !e.rec.Fate.Terminal() && !e.rec.CancelRequested {
			c.stopRequestAtDeadline(now, e)
		}
	}
}

// stopRequestAtDeadline stops the running tasks of a request and ends its waiting ones.
func (c *Core) stopRequestAtDeadline(now time.Time, e *entry) {
	for i := range e.rec.Tasks {
		if e.rec.Tasks[i].State == model.TaskRunning {
			c.stopTask(e, i, StopNow)
		}
	}
	c.dropWaitingTasks(now, e, model.ReasonDeadline)
	if !e.rec.Fate.Terminal() {
		c.replicate(e)
	}
}

// stopIsFinal reports whether stopped tasks of the request are not started again.
func (e *entry) stopIsFinal() bool {
	return e.rec.CancelRequested || e.rec.Reason == model.ReasonDeadline
}
