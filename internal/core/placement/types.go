// Package placement keeps an index of one data centre's workers and decides on
// it where single tasks and gangs run, which tasks to preempt and when a gang
// can start. It does no I/O and is not safe for concurrent use: only the
// scheduler's event loop calls it.
package placement

import (
	"strconv"

	"catkinvalve/internal/core/model"
)

// Options configure the placement policy.
type Options struct {
	// WaitingWeight and PackingWeight, each from 0 to 100, shift the choice of a
	// worker towards spreading (short waits) or towards packing. Only their
	// difference matters.
	WaitingWeight, PackingWeight int
	// HeadroomPercent is the percentage of slots reserved for interactive tasks.
	HeadroomPercent int
	// RackSpare reserves as many slots as the largest rack has against batch and
	// gang tasks, so that the services of a failed rack can be placed elsewhere.
	RackSpare bool
}

// State tells whether a worker accepts new tasks.
type State uint8

// Worker states. Only an Available worker accepts new tasks.
const (
	NotLeased State = iota
	Available
	Draining
	Quarantined
)

// String returns the name of the state, for example "not_leased".
func (s State) String() string {
	switch s {
	case NotLeased:
		return "not_leased"
	case Available:
		return "available"
	case Draining:
		return "draining"
	case Quarantined:
		return "quarantined"
	}
	return "state " + strconv.Itoa(int(s))
}

// TaskSpec describes a task to place.
type TaskSpec struct {
	Class   model.Class
	Service string
	Size    model.Size
	// Preemptible tasks may use the slots of Options.RackSpare, because services
	// that need these slots can preempt them.
	Preemptible bool
}

// Totals holds sums over the workers of the data centre.
type Totals struct {
	// Free is the free capacity of the workers that accept new tasks.
	Free model.Size
	// Available is the capacity of the workers in state Available.
	Available model.Size
	// Capacity is the capacity of all workers.
	Capacity model.Size
	// LargestFree is the largest free amount on any one worker, taken for each
	// dimension separately. A task that exceeds it in a dimension fits on no
	// worker now.
	LargestFree model.Size
	// Workers is the number of workers, in any state.
	Workers int
}

// WorkerView is a copy of the index's data about one worker.
type WorkerView struct {
	Worker model.Worker
	State  State
	Used   model.Size
	// Free is Capacity - Used. A dimension is negative when the tasks that the
	// worker reported exceed its capacity.
	Free model.Size
	// Tasks is the number of tasks reserved on the worker.
	Tasks int
	// Overcommitted tells whether Free is negative in a dimension. Such a worker
	// gets no new task until enough of its tasks have ended.
	Overcommitted bool
}
