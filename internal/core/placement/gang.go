package placement

import "catkinvalve/internal/core/model"

// PlaceGang chooses workers for all tasks of a gang without reserving capacity. It
// returns one entry for each task, or false when not all of them fit now. All tasks
// have the same size, so filling one worker after another finds a placement whenever
// there is one.
func (x *Index) PlaceGang(spec TaskSpec, tasks int) ([]model.WorkerID, bool) {
	spec.Size = nonNegative(spec.Size)
	if tasks <= 0 || !x.withinSlotLimit(spec, tasks) || !spec.Size.Times(int64(tasks)).Fits(x.totals.Free) {
		return nil, false
	}
	out := make([]model.WorkerID, 0, tasks)
	c := cursor{f: &x.byLoad, request: spec.Size.Vector()}
	for _, scan := range x.scanOrder() {
		c.start(scan.root, scan.descending, maxLevelKey(x.opts.targetLoad(spec.Class)))
		for i := c.next(); i != none; i = c.next() {
			count := fitCount(&c.request, &x.byLoad.nodes[i].free)
			for ; count > 0 && len(out) < tasks; count-- {
				out = append(out, x.workers[i].ID)
			}
			if len(out) == tasks {
				return out, true
			}
		}
	}
	return nil, false
}
