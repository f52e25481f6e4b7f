package placement

import "catkinvalve/internal/core/model"

// limits holds what decides how many slots each class may use.
type limits struct {
	// restricted is the slots in use on available workers by tasks that may
	// not use the headroom.
	restrictedSlots int64
	// firm is the part of restricted that cannot be preempted.
	nonPreemptibleSlots int64
	// demand is the recent peak of slots in use by interactive tasks; negative
	// when it is not known.
	interactivePeak int64
	// largest and largestAvailable are the slots of the largest rack; they
	// are recomputed when stale.
	largestRack, largestRackAvailable int64
	stale                             bool
}

// keepsSpare reports whether tasks of this need leave the largest rack's slots
// free. A single rack has no other rack to move its services to.
func (o Options) reservesLargestRack(spec TaskSpec, slots, largestRack int64) bool {
	return o.RackSpare && spec.Class != model.Interactive && spec.Class != model.Service && !spec.Preemptible && largestRack < slots
}

// idleHeadroomShare is the part of the headroom that is kept without demand. A
// burst beyond it stops batch tasks by checkpoint.
const minHeadroomDivisor = 4

// headroom returns the slots that are kept for interactive tasks: one and a half
// times their recent peak, at most what the options ask for and at least a
// quarter of it. All of it, kept without demand, cost batch work a quarter of
// its throughput. The weights move the maximum by up to half in either
// direction; equal weights leave it as set.
func (o Options) headroom(slots, interactivePeak int64) int64 {
	const scale = 200
	percent := int64(min(max(o.HeadroomPercent, 0), 100))
	factor := scale - int64(o.packingBias()*scale/2)
	upper := min(slots, (slots*percent*factor+100*scale-1)/(100*scale))
	if interactivePeak < 0 {
		return upper
	}
	lower := (upper + minHeadroomDivisor - 1) / minHeadroomDivisor
	return min(upper, max(lower, interactivePeak+(interactivePeak+1)/2))
}

// SetInteractiveDemand tells the recent peak of slots in use by interactive tasks.
func (x *Index) SetInteractivePeak(slots int64) { x.limits.interactivePeak = slots }

// slotsNever returns how many slots tasks of this need may ever use together.
func (x *Index) slotLimitWhenEmpty(spec TaskSpec) int64 {
	x.refreshLimits()
	slots := x.totals.Capacity.Slots
	limit := slots - x.opts.headroom(slots, min(x.limits.interactivePeak, 0))
	if x.opts.reservesLargestRack(spec, slots, x.limits.largestRack) {
		limit -= x.limits.largestRack
	}
	return max(limit, 0)
}

// tilt returns how much packing outweighs waiting, from -1 to 1.
func (o Options) packingBias() float64 {
	return min(max(float64(o.PackingWeight-o.WaitingWeight)/100, -1), 1)
}

// slotsLeft returns how many more slots tasks of this need may take on
// available workers; negative when a change put them over the limit.
func (x *Index) slotsLeft(spec TaskSpec) int64 {
	x.refreshLimits()
	slots := x.totals.Available.Slots
	limit := slots - x.opts.headroom(slots, x.limits.interactivePeak)
	left := limit - x.limits.restrictedSlots
	if x.opts.reservesLargestRack(spec, slots, x.limits.largestRackAvailable) {
		left = min(left, limit-x.limits.largestRackAvailable-x.limits.nonPreemptibleSlots)
	}
	return left
}

// withinLimit reports whether the class of n may take slots for tasks more.
func (x *Index) withinSlotLimit(spec TaskSpec, tasks int) bool {
	return spec.Class == model.Interactive || spec.Size.Slots*int64(tasks) <= x.slotsLeft(spec)
}

func (x *Index) refreshLimits() {
	if !x.limits.stale {
		return
	}
	x.limits.largestRack, x.limits.largestRackAvailable = 0, 0
	for i := range x.racks {
		x.limits.largestRack = max(x.limits.largestRack, x.racks[i].slots)
		x.limits.largestRackAvailable = max(x.limits.largestRackAvailable, x.racks[i].availableSlots)
	}
	x.limits.stale = false
}
