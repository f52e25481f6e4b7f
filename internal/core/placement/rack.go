package placement

import "catkinvalve/internal/core/model"

// rack is a failure domain: a group of workers that may fail together.
type rack struct {
	members int
	// root is the root of the rack's tree in Index.byRack.
	root int32
	// used and capacity are sums over the schedulable workers.
	used, capacity model.Size
	// slots is the number of slots of all workers, availableSlots that of the
	// workers in state Available.
	slots, availableSlots int64
	// services maps a service to its number of tasks of class service.
	services map[string]int
	// inTree tells whether the rack is in the tree of racks.
	inTree bool
}

// rackKey returns the name of the worker's rack. A worker without a rack gets a
// unique key, so that it is treated as a rack of its own.
func rackKey(w model.Worker) string {
	if w.Rack == "" {
		return "\x00" + string(w.ID)
	}
	return w.Rack
}

// joinRack adds a detached worker to its rack and creates the rack if necessary.
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

// addRack adds an empty rack and returns its position.
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

// leaveRack removes a detached worker from its rack, and the rack when it is empty.
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

// updateRackTree updates the rack's entry in the tree of racks.
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

// addServiceCount adds delta to the counts of the task's service on worker i and its
// rack: 1 for a new task, -1 for one that left. It ignores tasks of other classes.
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

// addCount adds delta to m[key] and deletes the entry when it becomes 0.
func addCount(m map[string]int, key string, delta int) {
	if m[key] += delta; m[key] == 0 {
		delete(m, key)
	}
}
