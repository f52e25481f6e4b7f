// Package queue decides in which order waiting work is offered to placement.
// It holds bounded queues per team and class, team quotas with borrowing,
// ageing and load shedding. It does no I/O and takes time as an argument.
package queue

import (
	"time"

	"catkinvalve/internal/core/model"
)

// Item is one unit of waiting work: a task, or all tasks of a gang.
type Item struct {
	Key string
	// Index is the task's index; 0 for a gang, which is one item.
	Index int
	Team  string
	Class model.Class
	// Size is the size of each task.
	Size model.Size
	// Tasks is how many tasks the item starts at once; less than 1 counts as 1.
	Tasks int
	// Deadline is the latest start; zero means none.
	Deadline time.Time
	// Enqueued is when the work was first admitted. Ageing and order count from it.
	EnqueuedAt time.Time
	// NotBefore delays a retry; the item is not offered earlier.
	NotBefore time.Time
}

// Need returns the size of all tasks of the item together.
func (it Item) TotalSize() model.Size { return it.Size.Times(int64(max(it.Tasks, 1))) }

// Quota is what a team may use before it borrows. It is also the team's weight
// in the fair share.
type Quota struct {
	MilliCPU, Slots int64
	// Borrow allows the team to use what no team under its quota waits for.
	Borrow bool
}

// Config holds bounds and policy.
type Config struct {
	// PerTeamClass bounds the waiting items of one team and class.
	MaxPerTeamClass int
	// Total bounds all waiting items.
	MaxTotal int
	// Quotas by team. A team without one has no guaranteed part and may borrow.
	Quotas map[string]Quota
	// Urgent bounds the wait of interactive work; zero switches the bound off.
	MaxInteractiveWait time.Duration
	// AgeStep is the wait that raises the class by one; zero switches ageing off.
	AgeingInterval time.Duration
}

// Verdict is the caller's answer to an offered item.
type OfferResult uint8

// Verdicts.
const (
	// Placed removes the item and charges its need to the team.
	Placed OfferResult = iota
	// NoRoom leaves the item waiting and withholds the items of the same team,
	// class and shape (size and number of tasks) for the rest of the cycle.
	NoFit
	// Skip leaves only this item waiting.
	SkipItem
	// Stop ends the cycle.
	StopCycle
)

// Waiting counts the waiting items of a team and class.
type Waiting struct {
	Team             string
	Class            model.Class
	Items            int
	OldestEnqueuedAt time.Time
}
