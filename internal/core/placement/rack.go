package placement

import "catkinvalve/internal/core/model"

// rack groups workers that fail together.
type rack struct {
	members int
	root    int32
	// used and capacity sum up the open workers.
	used, capacity model.Size
	// slots is the capacity of all workers, availableSlots of those in state
	// Available.
	slots, availableSlots int64
	// services counts the tasks of class service by service.
	services map[string]int
	// listed tells whether the rack is in the tree of racks.
	inTree bool
}

// rackKey returns the rack's name. A worker without one is a rack of its own.
func rackKey(w model.Worker) string {
	if w.Rack == "" {
		return "\x00" + string(w.ID)
	}
	return w.Rack
}

// joinRack puts a detached worker into the rack that it names.
func (x *Index) joinRack(i int32) {
	w := &x.workers[i]
	key := rackKey(w.Worker)
	r, ok := x.rackByKey[key]
	if !ok {
		r = x.addRack()
		x.rackByKey[key] = r
	}
	w.rack = r
	x.racks[r].members++
	for s, n := range w.services {
		x.racks[r].services[s] += n
	}
}

func (x *Index) addRack() int32 {
	r := int32(len(x.racks))
	if n := len(x.unusedRacks); n > 0 {
		r, x.unusedRacks = x.unusedRacks[n-1], x.unusedRacks[:n-1]
	} else {
		x.racks = append(x.racks, rack{})
		x.racksByLoad.grow(len(x.racks))
	}
	x.racks[r] = rack{root: none, services: map[string]int{}}
	return r
}

// leaveRack takes a detached worker out of its rack.
func (x *Index) leaveRack(i int32) {
	w := &x.workers[i]
	r := &x.racks[w.rack]
	for s, n := range w.services {
		addCount(r.services, s, -n)
	}
	r.members--
	x.updateRackTree(w.rack)
	if r.members == 0 {
		delete(x.rackByKey, rackKey(w.Worker))
		x.unusedRacks = append(x.unusedRacks, w.rack)
	}
}

// refreshRack brings the rack's entry in the tree of racks up to date.
func (x *Index) updateRackTree(i int32) {
	r := &x.racks[i]
	if r.inTree {
		x.rackRoot = x.racksByLoad.remove(x.rackRoot, i)
	}
	r.inTree = r.root != none
	if r.inTree {
		load := r.used.DominantShare(r.capacity)
		x.rackRoot = x.racksByLoad.insert(x.rackRoot, i, load, x.byRack.maxFree(r.root))
	}
}

// countService records that a task of class service came (1) or left (-1).
func (x *Index) addServiceCount(i int32, spec TaskSpec, delta int) {
	if spec.Class != model.Service {
		return
	}
	w := &x.workers[i]
	if w.services == nil {
		w.services = map[string]int{}
	}
	addCount(w.services, spec.Service, delta)
	addCount(x.racks[w.rack].services, spec.Service, delta)
}

func addCount(m map[string]int, key string, delta int) {
	if m[key] += delta; m[key] == 0 {
		delete(m, key)
	}
}
