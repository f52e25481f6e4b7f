package placement

import (
	"math"

	"catkinvalve/internal/core/model"
)

// vec is a model.Size as an array, so that dimensions can be looped over.
type vec = [model.Dims]int64

// unboundedCopies is the number of copies of an empty size that a worker holds.
const maxFitCount = math.MaxInt32

func sizeOf(v vec) model.Size {
	return model.Size{MilliCPU: v[0], MemMB: v[1], Accel: v[2], Slots: v[3], Conns: v[4]}
}

func fits(request, free *vec) bool {
	return request[0] <= free[0] && request[1] <= free[1] && request[2] <= free[2] &&
		request[3] <= free[3] && request[4] <= free[4]
}

func raiseTo(v, o *vec) {
	for d := range v {
		v[d] = max(v[d], o[d])
	}
}

func addVec(v, o vec) vec {
	for d := range v {
		v[d] += o[d]
	}
	return v
}

func subVec(v, o vec) vec {
	for d := range v {
		v[d] -= o[d]
	}
	return v
}

// nonNegative replaces negative dimensions by 0, so that a wrong size never
// adds capacity to a worker.
func nonNegative(s model.Size) model.Size {
	v := s.Vector()
	raiseTo(&v, &vec{})
	return sizeOf(v)
}

func anyNegative(s model.Size) bool {
	return s.MilliCPU < 0 || s.MemMB < 0 || s.Accel < 0 || s.Slots < 0 || s.Conns < 0
}

// copies returns how many tasks of size need fit into free together.
func fitCount(request, free *vec) int64 {
	n := int64(maxFitCount)
	for d := range request {
		if free[d] < 0 {
			return 0
		}
		if request[d] > 0 {
			n = min(n, free[d]/request[d])
		}
	}
	return n
}
