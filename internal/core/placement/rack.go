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
	listed bool
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
	if n := len(x.rackSlots); n > 0 {
		r, x.rackSlots = x.rackSlots[n-1], x.rackSlots[:n-1]
	} else {
		x.racks = append(x.racks, rack{})
		x.rackLoad.grow(len(x.racks))
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
	x.refreshRack(w.rack)
	if r.members == 0 {
		delete(x.rackByKey, rackKey(w.Worker))
		x.rackSlots = append(x.rackSlots, w.rack)
	}
}

// refreshRack brings the rack's entry in the tree of racks up to date.
func (x *Index) refreshRack(i int32) {
	r := &x.racks[i]
	if r.listed {
		x.rackRoot = x.rackLoad.remove(x.rackRoot, i)
	}
	r.listed = r.root != none
	if r.listed {
		load := r.used.DominantShare(r.capacity)
		x.rackRoot = x.rackLoad.insert(x.rackRoot, i, load, x.byRack.most(r.root))
	}
}

// countService records that a task of class service came (1) or left (-1).
func (x *Index) countService(i int32, n TaskSpec, by int) {
	if n.Class != model.Service {
		return
	}
	w := &x.workers[i]
	if w.services == nil {
		w.services = map[string]int{}
	}
	addCount(w.services, n.Service, by)
	addCount(x.racks[w.rack].services, n.Service, by)
}

func addCount(m map[string]int, key string, by int) {
	if m[key] += by; m[key] == 0 {
		delete(m, key)
	}
}
