package scheduler

import (
	"container/heap"
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/text"
)

// deadlineHeap orders running requests by the deadline at which they stop.
type deadlineHeap []deadlineItem

type deadlineItem struct {
	at  time.Time
	key string
}

// Len implements heap.Interface.
func (h deadlineHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h deadlineHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

// Swap implements heap.Interface.
func (h deadlineHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) { *h = append(*h, x.(deadlineItem)) }

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// stopAtDeadline arranges for a started request to be stopped at its deadline
// if the text asks for that.
func (c *Core) stopAtDeadline(e *entry) {
	r := &e.rec.Request
	if !r.Deadline.IsZero() && c.service(r.Service).OnDeadline == text.DeadlineStop {
		heap.Push(&c.stops, deadlineItem{r.Deadline, r.Key})
	}
}

// stopOverdue stops running requests whose deadline has passed.
func (c *Core) stopOverdue(now time.Time) {
	for len(c.stops) > 0 && !now.Before(c.stops[0].at) {
		item := heap.Pop(&c.stops).(deadlineItem)
		e := c.entries[item.key]
		if e == nil || e.rec.Fate.Terminal() || e.rec.CancelRequested {
			continue
		}
		c.cancel(now, e)
		if !e.rec.Fate.Terminal() {
			e.rec.Reason = model.ReasonDeadline
		}
	}
}
