// Package queue holds the waiting tasks and gangs of a data centre and decides in
// which order they are offered for placement. It implements bounded queues for each
// team and class, team quotas with borrowing, ageing and load shedding. It does no
// I/O and gets the current time as an argument.
package queue

import (
	"time"

	"catkinvalve/internal/core/model"
)

// Item is a unit of waiting work: a task, or all tasks of a gang.
type Item struct {
	Key string
	// Index is the index of the task in its request; 0 for a gang, which is one
	// item.
	Index int
	Team  string
	Class model.Class
	// Size is the size of each task.
	Size model.Size
	// Tasks is the number of tasks that the item starts at once; a value below 1
	// counts as 1.
	Tasks int
	// Deadline is the latest start; zero means no deadline.
	Deadline time.Time
	// EnqueuedAt is when the work was first admitted. The order of items and
	// ageing depend on it.
	EnqueuedAt time.Time
	// NotBefore is the earliest time at which the item is offered, used to delay
	// retries; zero means no delay.
	NotBefore time.Time
}

// TotalSize returns the size of all tasks of the item together.
func (it Item) TotalSize() model.Size { return it.Size.Times(int64(max(it.Tasks, 1))) }

// Quota is the amount of resources that a team may use without borrowing. It is also
// the team's weight in fair sharing.
type Quota struct {
	MilliCPU, Slots int64
	// Borrow allows the team to exceed its quota with capacity that no team
	// within its quota is waiting for.
	Borrow bool
}

// Config holds the bounds and the policy of a queue.
type Config struct {
	// MaxPerTeamClass is the maximum number of waiting items of one team and class.
	MaxPerTeamClass int
	// MaxTotal is the maximum number of all waiting items.
	MaxTotal int
	// Quotas maps a team to its quota. A team without one has a quota of 0 and may
	// borrow.
	Quotas map[string]Quota
	// MaxInteractiveWait is the intended maximum wait of interactive items. After
	// half of it they are urgent. Zero switches the rule off.
	MaxInteractiveWait time.Duration
	// AgeingInterval is the wait after which an item is treated as one class more
	// urgent, repeatedly; zero switches ageing off.
	AgeingInterval time.Duration
}

// OfferResult is the result of the attempt to place an offered item.
type OfferResult uint8

// Results of an offer.
const (
	// Placed removes the item and adds its total size to the team's usage.
	Placed OfferResult = iota
	// NoFit leaves the item waiting and withholds all items of the same team,
	// class and shape (size and number of tasks) until the cycle ends.
	NoFit
	// SkipItem leaves the item waiting and withholds only this item until the
	// cycle ends.
	SkipItem
	// StopCycle leaves the item waiting and ends the cycle.
	StopCycle
)

// Waiting describes the waiting items of one team and class.
type Waiting struct {
	Team  string
	Class model.Class
	// Items is the number of waiting items.
	Items int
	// OldestEnqueuedAt is when the oldest of them was admitted.
	OldestEnqueuedAt time.Time
}
