package placement

import "catkinvalve/internal/core/model"

// limits holds what decides how many slots each class may use.
type limits struct {
	// restricted is the slots in use on available workers by tasks that may
	// not use the headroom.
	restricted int64
	// largest and largestAvailable are the slots of the largest rack; they
	// are recomputed when stale.
	largest, largestAvailable int64
	stale                     bool
}

// slotLimit returns how many of slots all tasks but interactive ones may use
// together when a task of class c is added. largest is the largest rack.
func (o Options) slotLimit(c model.Class, slots, largest int64) int64 {
	if c == model.Interactive {
		return slots
	}
	limit := slots - o.headroom(slots)
	// A single rack has no other rack to move its services to.
	if c != model.Service && o.RackSpare && largest < slots {
		limit -= largest
	}
	return max(limit, 0)
}

// headroom returns the slots that are kept for interactive tasks. The weights
// move it by up to half in either direction; equal weights leave it as set.
func (o Options) headroom(slots int64) int64 {
	const scale = 200
	percent := int64(min(max(o.HeadroomPercent, 0), 100))
	factor := scale - int64(o.tilt()*scale/2)
	return min(slots, (slots*percent*factor+100*scale-1)/(100*scale))
}

// tilt returns how much packing outweighs waiting, from -1 to 1.
func (o Options) tilt() float64 {
	return min(max(float64(o.PackingWeight-o.WaitingWeight)/100, -1), 1)
}

// slotsLeft returns how many more slots tasks of class c may take on available
// workers; negative when a change of capacity put them over the limit.
func (x *Index) slotsLeft(c model.Class) int64 {
	x.refreshLimits()
	return x.opts.slotLimit(c, x.totals.Available.Slots, x.limits.largestAvailable) - x.limits.restricted
}

// withinLimit reports whether the class of n may take slots for tasks more.
func (x *Index) withinLimit(n Need, tasks int) bool {
	return n.Class == model.Interactive || n.Size.Slots*int64(tasks) <= x.slotsLeft(n.Class)
}

func (x *Index) refreshLimits() {
	if !x.limits.stale {
		return
	}
	x.limits.largest, x.limits.largestAvailable = 0, 0
	for i := range x.racks {
		x.limits.largest = max(x.limits.largest, x.racks[i].slots)
		x.limits.largestAvailable = max(x.limits.largestAvailable, x.racks[i].availableSlots)
	}
	x.limits.stale = false
}
