package placement

import "catkinvalve/internal/core/model"

// PlaceGang chooses workers for all tasks of a gang on the present state, one
// entry for each task, or none at all. It reserves nothing. All tasks have the
// same size, so filling workers one after another finds room when there is any.
func (x *Index) PlaceGang(n TaskSpec, tasks int) ([]model.WorkerID, bool) {
	n.Size = nonNegative(n.Size)
	if tasks <= 0 || !x.withinLimit(n, tasks) || !n.Size.Times(int64(tasks)).Fits(x.totals.Free) {
		return nil, false
	}
	out := make([]model.WorkerID, 0, tasks)
	c := cursor{f: &x.byLoad, need: n.Size.Vector()}
	for _, p := range x.passes() {
		c.start(p.root, p.down, levelBound(x.opts.target(n.Class)))
		for i := c.next(); i != none; i = c.next() {
			fit := copies(&c.need, &x.byLoad.nodes[i].own)
			for ; fit > 0 && len(out) < tasks; fit-- {
				out = append(out, x.workers[i].ID)
			}
			if len(out) == tasks {
				return out, true
			}
		}
	}
	return nil, false
}
