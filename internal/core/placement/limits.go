package placement

import "catkinvalve/internal/core/model"

// limits holds what decides how many slots each class may use.
type limits struct {
	// restricted is the slots in use on available workers by tasks that may
	// not use the headroom.
	restricted int64
	// firm is the part of restricted that cannot be preempted.
	firm int64
	// demand is the recent peak of slots in use by interactive tasks; negative
	// when it is not known.
	demand int64
	// largest and largestAvailable are the slots of the largest rack; they
	// are recomputed when stale.
	largest, largestAvailable int64
	stale                     bool
}

// keepsSpare reports whether tasks of this need leave the largest rack's slots
// free. A single rack has no other rack to move its services to.
func (o Options) keepsSpare(n TaskSpec, slots, largest int64) bool {
	return o.RackSpare && n.Class != model.Interactive && n.Class != model.Service && !n.Preemptible && largest < slots
}

// idleHeadroomShare is the part of the headroom that is kept without demand. A
// burst beyond it stops batch tasks by checkpoint.
const idleHeadroomShare = 4

// headroom returns the slots that are kept for interactive tasks: one and a half
// times their recent peak, at most what the options ask for and at least a
// quarter of it. All of it, kept without demand, cost batch work a quarter of
// its throughput. The weights move the maximum by up to half in either
// direction; equal weights leave it as set.
func (o Options) headroom(slots, demand int64) int64 {
	const scale = 200
	percent := int64(min(max(o.HeadroomPercent, 0), 100))
	factor := scale - int64(o.tilt()*scale/2)
	most := min(slots, (slots*percent*factor+100*scale-1)/(100*scale))
	if demand < 0 {
		return most
	}
	least := (most + idleHeadroomShare - 1) / idleHeadroomShare
	return min(most, max(least, demand+(demand+1)/2))
}

// SetInteractiveDemand tells the recent peak of slots in use by interactive tasks.
func (x *Index) SetInteractivePeak(slots int64) { x.limits.demand = slots }

// slotsNever returns how many slots tasks of this need may ever use together.
func (x *Index) slotsNever(n TaskSpec) int64 {
	x.refreshLimits()
	slots := x.totals.Capacity.Slots
	limit := slots - x.opts.headroom(slots, min(x.limits.demand, 0))
	if x.opts.keepsSpare(n, slots, x.limits.largest) {
		limit -= x.limits.largest
	}
	return max(limit, 0)
}

// tilt returns how much packing outweighs waiting, from -1 to 1.
func (o Options) tilt() float64 {
	return min(max(float64(o.PackingWeight-o.WaitingWeight)/100, -1), 1)
}

// slotsLeft returns how many more slots tasks of this need may take on
// available workers; negative when a change put them over the limit.
func (x *Index) slotsLeft(n TaskSpec) int64 {
	x.refreshLimits()
	slots := x.totals.Available.Slots
	limit := slots - x.opts.headroom(slots, x.limits.demand)
	left := limit - x.limits.restricted
	if x.opts.keepsSpare(n, slots, x.limits.largestAvailable) {
		left = min(left, limit-x.limits.largestAvailable-x.limits.firm)
	}
	return left
}

// withinLimit reports whether the class of n may take slots for tasks more.
func (x *Index) withinLimit(n TaskSpec, tasks int) bool {
	return n.Class == model.Interactive || n.Size.Slots*int64(tasks) <= x.slotsLeft(n)
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
