package placement

import (
	"math"

	"catkinvalve/internal/core/model"
)

// vec is a model.Size as an array, so that dimensions can be looped over.
type vec = [model.Dims]int64

// unboundedCopies is the number of copies of an empty size that a worker holds.
const unboundedCopies = math.MaxInt32

func sizeOf(v vec) model.Size {
	return model.Size{MilliCPU: v[0], MemMB: v[1], Accel: v[2], Slots: v[3], Conns: v[4]}
}

func fits(need, free *vec) bool {
	return need[0] <= free[0] && need[1] <= free[1] && need[2] <= free[2] &&
		need[3] <= free[3] && need[4] <= free[4]
}

func raise(v, o *vec) {
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
	raise(&v, &vec{})
	return sizeOf(v)
}

func anyNegative(s model.Size) bool {
	return s.MilliCPU < 0 || s.MemMB < 0 || s.Accel < 0 || s.Slots < 0 || s.Conns < 0
}

// copies returns how many tasks of size need fit into free together.
func copies(need, free *vec) int64 {
	n := int64(unboundedCopies)
	for d := range need {
		if free[d] < 0 {
			return 0
		}
		if need[d] > 0 {
			n = min(n, free[d]/need[d])
		}
	}
	return n
}
