package placement

import (
	"math"

	"catkinvalve/internal/core/model"
)

// vec is a model.Size as an array, so that code can iterate over its dimensions.
type vec = [model.Dims]int64

// maxFitCount is the result of fitCount for a request of size zero.
const maxFitCount = math.MaxInt32

// sizeOf is the inverse of model.Size.Vector.
func sizeOf(v vec) model.Size {
	return model.Size{MilliCPU: v[0], MemMB: v[1], Accel: v[2], Slots: v[3], Conns: v[4]}
}

// fits reports whether request fits into free in every dimension.
func fits(request, free *vec) bool {
	return request[0] <= free[0] && request[1] <= free[1] && request[2] <= free[2] &&
		request[3] <= free[3] && request[4] <= free[4]
}

// raiseTo sets each dimension of v to the larger of v and o.
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

// nonNegative replaces negative dimensions with 0, so that an invalid size never
// adds capacity to a worker.
func nonNegative(s model.Size) model.Size {
	v := s.Vector()
	raiseTo(&v, &vec{})
	return sizeOf(v)
}

func anyNegative(s model.Size) bool {
	return s.MilliCPU < 0 || s.MemMB < 0 || s.Accel < 0 || s.Slots < 0 || s.Conns < 0
}

// fitCount returns how many tasks of size request fit into free together. It is 0
// when free is negative in any dimension.
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
