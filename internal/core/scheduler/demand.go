package scheduler

import (
	"time"

	"catkinvalve/internal/core/model"
)

const (
	// demandWindow is the time over which the peak of interactive demand is kept.
	// The present and the last window count, so a peak is kept for 2.5 to 5 minutes.
	demandWindow = 150 * time.Second
	// demandWarmup is how long a new owner keeps the whole headroom, because it
	// does not know the demand before its time.
	demandWarmup = 30 * time.Second
)

// demand tracks the slots in use by interactive tasks and their recent peak.
type interactiveDemand struct {
	slotsInUse, peak, lastPeak int64
	trackedSince, windowStart  time.Time
}

func (d *interactiveDemand) reset(now time.Time) {
	*d = interactiveDemand{trackedSince: now, windowStart: now}
}

func (d *interactiveDemand) add(class model.Class, slots int64) {
	if class == model.Interactive {
		d.slotsInUse += slots
		d.peak = max(d.peak, d.slotsInUse)
	}
}

// recent returns the recent peak, or -1 while it is not known.
func (d *interactiveDemand) recentPeak(now time.Time) int64 {
	if now.Sub(d.trackedSince) < demandWarmup {
		return -1
	}
	if now.Sub(d.windowStart) >= demandWindow {
		d.windowStart, d.lastPeak, d.peak = now, d.peak, d.slotsInUse
	}
	return max(d.peak, d.lastPeak)
}

// keepInteractiveRoom tells the index how much room batch tasks have to leave:
// the headroom that interactive tasks do not use already, in pieces that the
// largest of them fits into.
func (c *Core) updateInteractiveRoom(now time.Time) {
	c.index.SetInteractiveDemand(c.interactiveDemand.recentPeak(now))
	var piece model.Size
	for i := range c.clusterConfig.Services {
		s := &c.clusterConfig.Services[i]
		if s.Class != model.Interactive {
			continue
		}
		if p := c.estimator.Plan(s.Name, s.Size); p.Fits(c.largestWorker) {
			piece = piece.Max(p)
		}
	}
	if piece.Slots == 0 {
		c.index.SetInteractivePieces(model.Size{}, 0)
		return
	}
	c.index.SetInteractivePieces(piece, c.interactiveSpareSlots(now)/piece.Slots)
}

func (c *Core) interactiveSpareSlots(now time.Time) int64 {
	peak := c.interactiveDemand.recentPeak(now)
	if peak < 0 {
		return 0
	}
	return min(c.index.Headroom(), max(0, peak+(peak+1)/2-c.interactiveDemand.slotsInUse))
}
