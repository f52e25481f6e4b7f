// Package placement holds the index of one data centre's workers and makes all
// placement decisions on it: single tasks, gangs, preemption and start
// estimates. It does no I/O and is not safe for concurrent use; the owner loop
// is its only user.
package placement

import (
	"strconv"

	"catkinvalve/internal/core/model"
)

// Options tune the placement policy.
type Options struct {
	// WaitingWeight and PackingWeight, 0 to 100, tilt the choice of a worker
	// between spreading and packing. Only their difference matters.
	WaitingWeight, PackingWeight int
	// HeadroomPercent of the slots is kept for interactive tasks.
	HeadroomPercent int
	// RackSpare keeps the slots of the largest rack free of batch and gang
	// tasks, so that the services of a failed rack find room.
	RackSpare bool
}

// State says whether a worker takes new tasks.
type State uint8

// Worker states. Only an Available worker takes new tasks.
const (
	NotLeased State = iota
	Available
	Draining
	Quarantined
)

// String returns the state's name.
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

// Need describes the task to place.
type TaskSpec struct {
	Class   model.Class
	Service string
	Size    model.Size
	// Preemptible tasks may use the spare rack, because services that need it
	// can stop them.
	Preemptible bool
}

// Totals sums up the data centre.
type Totals struct {
	// Free is the sum of what workers that take new tasks have left.
	Free model.Size
	// Available is the capacity of the workers in state Available.
	Available model.Size
	// Capacity is the capacity of all workers.
	Capacity model.Size
	// LargestFree is, in each dimension separately, the most that one worker
	// has left. A task that exceeds it fits nowhere now.
	LargestFree model.Size
	// Workers is the number of workers in any state.
	Workers int
}

// WorkerView is a copy of what the index knows about a worker.
type WorkerView struct {
	Worker model.Worker
	State  State
	Used   model.Size
	// Free is Capacity - Used; a dimension is negative when the inventory
	// exceeded the capacity.
	Free  model.Size
	Tasks int
	// Overcommitted workers take no new task until they fit again.
	Overcommitted bool
}
