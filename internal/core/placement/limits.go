package placement

import "catkinvalve/internal/core/model"

// limits holds the figures that determine how many slots each class may use.
type limits struct {
	// restrictedSlots counts the slots in use on available workers by tasks that
	// may not use the interactive headroom.
	restrictedSlots int64
	// nonPreemptibleSlots is the part of restrictedSlots that cannot be preempted.
	nonPreemptibleSlots int64
	// interactivePeak is the recent peak of slots in use by interactive tasks,
	// negative when it is unknown.
	interactivePeak int64
	// largestRack is the number of slots of the largest rack, largestRackAvailable
	// that of the rack with most slots on available workers. Both are recomputed
	// by refreshLimits when stale is set.
	largestRack, largestRackAvailable int64
	stale                             bool
}

// reservesLargestRack reports whether tasks of this spec must leave as many slots
// free as the largest rack has. It is false for a single rack, because its services
// cannot move to another one.
func (o Options) reservesLargestRack(spec TaskSpec, slots, largestRack int64) bool {
	return o.RackSpare && spec.Class != model.Interactive && spec.Class != model.Service && !spec.Preemptible && largestRack < slots
}

// minHeadroomDivisor sets the headroom that is reserved even without interactive
// load: 1/4 of the configured maximum. A burst that needs more preempts batch
// tasks, which write a checkpoint first.
const minHeadroomDivisor = 4

// headroom returns the number of slots reserved for interactive tasks: one and a
// half times their recent peak (interactivePeak), at most the configured maximum
// and at least a quarter of it. A negative interactivePeak means unknown and gives
// the maximum. Reserving the maximum without any interactive load reduced the
// throughput of batch tasks by a quarter. The weights change the maximum by up to
// half in either direction; equal weights leave it as configured.
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

// SetInteractivePeak sets the recent peak of slots in use by interactive tasks,
// from which the interactive headroom follows.
func (x *Index) SetInteractivePeak(slots int64) { x.limits.interactivePeak = slots }

// slotLimitWhenEmpty returns how many slots tasks of this spec may use together
// when nothing else runs and all workers are available.
func (x *Index) slotLimitWhenEmpty(spec TaskSpec) int64 {
	x.refreshLimits()
	slots := x.totals.Capacity.Slots
	limit := slots - x.opts.headroom(slots, min(x.limits.interactivePeak, 0))
	if x.opts.reservesLargestRack(spec, slots, x.limits.largestRack) {
		limit -= x.limits.largestRack
	}
	return max(limit, 0)
}

// packingBias returns the difference of packing and waiting weight, from -1
// (spread) to 1 (pack).
func (o Options) packingBias() float64 {
	return min(max(float64(o.PackingWeight-o.WaitingWeight)/100, -1), 1)
}

// slotsLeft returns how many more slots tasks of this spec may use on available
// workers. It is negative when a change of the limits or workers put the running
// tasks over the limit.
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

// withinSlotLimit reports whether the class of spec may use the slots of the given
// number of additional tasks. Interactive tasks have no limit.
func (x *Index) withinSlotLimit(spec TaskSpec, tasks int) bool {
	return spec.Class == model.Interactive || spec.Size.Slots*int64(tasks) <= x.slotsLeft(spec)
}

// refreshLimits recomputes the slots of the largest rack if they are stale.
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
