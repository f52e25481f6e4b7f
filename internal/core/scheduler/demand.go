package scheduler

import (
	"time"

	"catkinvalve/internal/core/model"
)

const (
	// demandWindow is the length of a window over which the peak of interactive
	// demand is tracked. The current and the previous window count, so a peak is
	// kept for 2.5 to 5 minutes.
	demandWindow = 150 * time.Second
	// demandWarmup is how long a new owner keeps the whole headroom free, because it
	// does not know the earlier demand.
	demandWarmup = 30 * time.Second
)

// interactiveDemand tracks the slots in use by interactive tasks and their recent
// peak. The peak is of the current window, lastPeak of the previous one.
type interactiveDemand struct {
	slotsInUse, peak, lastPeak int64
	trackedSince, windowStart  time.Time
}

// reset forgets the demand. The warmup starts at now.
func (d *interactiveDemand) reset(now time.Time) {
	*d = interactiveDemand{trackedSince: now, windowStart: now}
}

// add adds slots, which is negative for an ended task, to the slots in use. Tasks of
// other classes than interactive are ignored.
func (d *interactiveDemand) add(class model.Class, slots int64) {
	if class == model.Interactive {
		d.slotsInUse += slots
		d.peak = max(d.peak, d.slotsInUse)
	}
}

// recentPeak returns the largest number of slots in use in the current and the
// previous window, or -1 during demandWarmup.
func (d *interactiveDemand) recentPeak(now time.Time) int64 {
	if now.Sub(d.trackedSince) < demandWarmup {
		return -1
	}
	if now.Sub(d.windowStart) >= demandWindow {
		d.windowStart, d.lastPeak, d.peak = now, d.peak, d.slotsInUse
	}
	return max(d.peak, d.lastPeak)
}

// updateInteractiveHeadroom tells the placement index how much room batch tasks have
// to leave for interactive ones: the slots of interactiveSpareSlots, as a number of
// tasks that are as large as the largest interactive service in each dimension.
// Services whose planned size fits no worker are left out.
func (c *Core) updateInteractiveHeadroom(now time.Time) {
	c.index.SetInteractivePeak(c.interactiveDemand.recentPeak(now))
	var taskSize model.Size
	for i := range c.text.Services {
		s := &c.text.Services[i]
		if s.Class != model.Interactive {
			continue
		}
		if planned := c.estimator.PlannedSize(s.Name, s.Size); planned.Fits(c.largestWorker) {
			taskSize = taskSize.Max(planned)
		}
	}
	if taskSize.Slots == 0 {
		c.index.SetInteractiveTaskHeadroom(model.Size{}, 0)
		return
	}
	c.index.SetInteractiveTaskHeadroom(taskSize, c.interactiveSpareSlots(now)/taskSize.Slots)
}

// interactiveSpareSlots returns the number of slots to keep free for interactive
// tasks: one and a half times the recent peak, rounded up, less the slots in use, at
// most the headroom, and 0 while the peak is not known.
func (c *Core) interactiveSpareSlots(now time.Time) int64 {
	peak := c.interactiveDemand.recentPeak(now)
	if peak < 0 {
		return 0
	}
	return min(c.index.HeadroomSlots(), max(0, peak+(peak+1)/2-c.interactiveDemand.slotsInUse))
}
