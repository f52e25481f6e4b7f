package bench

import (
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

// event is a function that the simulation calls at a time of its clock.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

// eventHeap orders events by time and then by order of creation.
type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, k int) bool {
	return h[i].at < h[k].at || h[i].at == h[k].at && h[i].seq < h[k].seq
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}

// sortedTaskIDs returns the IDs in a fixed order, so that runs with the same seed
// are equal.
func sortedTaskIDs(tasks map[model.TaskID]*runningTask) []model.TaskID {
	out := make([]model.TaskID, 0, len(tasks))
	for id := range tasks {
		out = append(out, id)
	}
	slices.SortFunc(out, compareTasks)
	return out
}
