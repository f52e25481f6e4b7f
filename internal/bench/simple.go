package bench

import (
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/placement"
	"catkinvalve/internal/core/placement/baseline"
)

// maxAttempts is the same bound as that of the users' texts.
const maxAttempts = 3

// simple is a baseline: one queue in order of arrival and a simple placement.
// Work that does not fit is passed over, so it blocks nothing behind it.
type simple struct {
	policy baseline.Policy
	fleet  *baseline.Fleet
	shapes map[simpleShape]*simpleQueue
	order  []*simpleQueue
	states map[string]*simpleState
	dirty  bool
	seq    int
}

type simpleShape struct {
	size  model.Size
	tasks int
}

// simpleQueue holds waiting work of one shape in order of arrival.
type simpleQueue struct {
	shape simpleShape
	items []simpleItem
}

type simpleItem struct {
	job   *job
	index int
	seq   int
}

type simpleState struct {
	attempts  []int
	cancelled bool
	job       *job
}

func newSimple(p baseline.Policy, workers []model.Worker, seed uint64) *simple {
	f := baseline.New(p, seed)
	for _, w := range workers {
		f.Upsert(w)
	}
	return &simple{policy: p, fleet: f, shapes: map[simpleShape]*simpleQueue{}, states: map[string]*simpleState{}}
}

func (s *simple) name() string { return s.policy.String() }

func (s *simple) submit(_ time.Time, j *job) bool {
	s.states[j.req.Key] = &simpleState{attempts: make([]int, j.req.Tasks), job: j}
	s.enqueue(j, 0)
	return true
}

// enqueue adds a whole gang, or one task of another job.
func (s *simple) enqueue(j *job, index int) {
	shape := simpleShape{j.req.Size, 1}
	if j.req.Class == model.AllAtOnce {
		shape.tasks = j.req.Tasks
	}
	q := s.shapes[shape]
	if q == nil {
		q = &simpleQueue{shape: shape}
		s.shapes[shape] = q
		s.order = append(s.order, q)
	}
	s.seq++
	q.items = append(q.items, simpleItem{j, index, s.seq})
	s.dirty = true
}

func (s *simple) cancel(_ time.Time, j *job) { s.states[j.req.Key].cancelled = true }

func (s *simple) ended(_ time.Time, st start, ok bool) {
	s.fleet.Release(st.id)
	s.dirty = true
	state := s.states[st.id.Key]
	j := state.job
	if !ok && j.req.Idempotent && !state.cancelled && j.req.Class != model.AllAtOnce && st.attempt < maxAttempts {
		s.enqueue(j, st.id.Index)
	}
}

func (s *simple) stopped(_ time.Time, st start) {
	s.fleet.Release(st.id)
	s.dirty = true
}

func (s *simple) usage(time.Time, model.WorkerID, []model.Usage) {}

func (s *simple) planned(st start) model.Size { return st.size }

func (s *simple) tick(time.Time) {}

func (s *simple) take(time.Time) ([]start, []stop) {
	if !s.dirty {
		return nil, nil
	}
	s.dirty = false
	var out []start
	full := map[*simpleQueue]bool{}
	for {
		q := s.oldest(full)
		if q == nil {
			return out, nil
		}
		started, ok := s.place(q.items[0])
		if !ok {
			full[q] = true
			continue
		}
		out = append(out, started...)
		q.items = q.items[1:]
	}
}

// oldest returns the queue whose first item arrived first.
func (s *simple) oldest(full map[*simpleQueue]bool) *simpleQueue {
	var best *simpleQueue
	for _, q := range s.order {
		for len(q.items) > 0 && s.states[q.items[0].job.req.Key].cancelled {
			q.items = q.items[1:]
		}
		if len(q.items) > 0 && !full[q] && (best == nil || q.items[0].seq < best.items[0].seq) {
			best = q
		}
	}
	return best
}

// place starts one task, or all tasks of a gang or none.
func (s *simple) place(it simpleItem) ([]start, bool) {
	r := &it.job.req
	first, last := it.index, it.index
	if r.Class == model.AllAtOnce {
		first, last = 0, r.Tasks-1
	}
	need := placement.TaskSpec{Class: r.Class, Service: r.Service, Size: r.Size}
	var out []start
	for i := first; i <= last; i++ {
		w, ok := s.fleet.Place(need)
		if !ok {
			for _, st := range out {
				s.fleet.Release(st.id)
			}
			return nil, false
		}
		id := model.TaskID{Key: r.Key, Index: i}
		s.fleet.Reserve(w, id, need)
		out = append(out, start{w, id, 0, r.Size})
	}
	attempts := s.states[r.Key].attempts
	for n := range out {
		attempts[out[n].id.Index]++
		out[n].attempt = attempts[out[n].id.Index]
	}
	return out, true
}
