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
type demand struct {
	inUse, peak, lastPeak int64
	since, window         time.Time
}

func (d *demand) reset(now time.Time) { *d = demand{since: now, window: now} }

func (d *demand) add(class model.Class, slots int64) {
	if class == model.Interactive {
		d.inUse += slots
		d.peak = max(d.peak, d.inUse)
	}
}

// recent returns the recent peak, or -1 while it is not known.
func (d *demand) recent(now time.Time) int64 {
	if now.Sub(d.since) < demandWarmup {
		return -1
	}
	if now.Sub(d.window) >= demandWindow {
		d.window, d.lastPeak, d.peak = now, d.peak, d.inUse
	}
	return max(d.peak, d.lastPeak)
}

// keepInteractiveRoom tells the index how much room batch tasks have to leave:
// the headroom that interactive tasks do not use already, in pieces that the
// largest of them fits into.
func (c *Core) keepInteractiveRoom(now time.Time) {
	c.index.SetInteractivePeak(c.demand.recent(now))
	var piece model.Size
	for i := range c.text.Services {
		s := &c.text.Services[i]
		if s.Class != model.Interactive {
			continue
		}
		if p := c.sizes.PlannedSize(s.Name, s.Size); p.Fits(c.largest) {
			piece = piece.Max(p)
		}
	}
	if piece.Slots == 0 {
		c.index.SetInteractiveTaskHeadroom(model.Size{}, 0)
		return
	}
	c.index.SetInteractiveTaskHeadroom(piece, c.sparePieces(now)/piece.Slots)
}

func (c *Core) sparePieces(now time.Time) int64 {
	peak := c.demand.recent(now)
	if peak < 0 {
		return 0
	}
	return min(c.index.HeadroomSlots(), max(0, peak+(peak+1)/2-c.demand.inUse))
}
