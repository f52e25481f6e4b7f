package bench

import (
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/placement"
	"catkinvalve/internal/core/placement/baseline"
)

// maxAttempts is the limit that the users' configuration texts set.
const maxAttempts = 3

// baselineSystem schedules jobs in order of arrival with a simple placement policy.
// It skips work that does not fit, which therefore does not block later work.
type baselineSystem struct {
	policy          baseline.Policy
	fleet           *baseline.Fleet
	queuesByShape   map[jobShape]*shapeQueue
	queues          []*shapeQueue
	jobStates       map[string]*jobState
	needsScheduling bool
	seq             int
}

// jobShape is the size of a task and the number of tasks that are placed together.
type jobShape struct {
	size  model.Size
	tasks int
}

// shapeQueue holds queued work of one shape in order of arrival. Once its first
// item does not fit, no other item of the queue fits.
type shapeQueue struct {
	shape jobShape
	items []queueItem
}

// queueItem is a gang or a single task. seq is its place in the order of arrival.
type queueItem struct {
	job   *job
	index int
	seq   int
}

type jobState struct {
	// attempts is the number of starts by task index.
	attempts  []int
	cancelled bool
	job       *job
}

func newBaselineSystem(p baseline.Policy, workers []model.Worker, seed uint64) *baselineSystem {
	f := baseline.New(p, seed)
	for _, w := range workers {
		f.Upsert(w)
	}
	return &baselineSystem{policy: p, fleet: f, queuesByShape: map[jobShape]*shapeQueue{}, jobStates: map[string]*jobState{}}
}

func (s *baselineSystem) name() string { return s.policy.String() }

func (s *baselineSystem) submit(_ time.Time, j *job) bool {
	s.jobStates[j.req.Key] = &jobState{attempts: make([]int, j.req.Tasks), job: j}
	s.enqueue(j, 0)
	return true
}

// enqueue adds a whole gang or, for other jobs, the task with the given index.
func (s *baselineSystem) enqueue(j *job, index int) {
	shape := jobShape{j.req.Size, 1}
	if j.req.Class == model.AllAtOnce {
		shape.tasks = j.req.Tasks
	}
	q := s.queuesByShape[shape]
	if q == nil {
		q = &shapeQueue{shape: shape}
		s.queuesByShape[shape] = q
		s.queues = append(s.queues, q)
	}
	s.seq++
	q.items = append(q.items, queueItem{j, index, s.seq})
	s.needsScheduling = true
}

func (s *baselineSystem) cancel(_ time.Time, j *job) { s.jobStates[j.req.Key].cancelled = true }

func (s *baselineSystem) taskEnded(_ time.Time, st start, ok bool) {
	s.fleet.Release(st.id)
	s.needsScheduling = true
	state := s.jobStates[st.id.Key]
	j := state.job
	if !ok && j.req.Idempotent && !state.cancelled && j.req.Class != model.AllAtOnce && st.attempt < maxAttempts {
		s.enqueue(j, st.id.Index)
	}
}

func (s *baselineSystem) taskStopped(_ time.Time, st start) {
	s.fleet.Release(st.id)
	s.needsScheduling = true
}

func (s *baselineSystem) recordUsage(time.Time, model.WorkerID, []model.Usage) {}

func (s *baselineSystem) plannedSize(st start) model.Size { return st.size }

func (s *baselineSystem) tick(time.Time) {}

func (s *baselineSystem) takeActions(time.Time) ([]start, []stop) {
	if !s.needsScheduling {
		return nil, nil
	}
	s.needsScheduling = false
	var out []start
	blocked := map[*shapeQueue]bool{}
	for {
		q := s.oldestQueue(blocked)
		if q == nil {
			return out, nil
		}
		started, ok := s.place(q.items[0])
		if !ok {
			blocked[q] = true
			continue
		}
		out = append(out, started...)
		q.items = q.items[1:]
	}
}

// oldestQueue returns the queue whose first item was enqueued first, or nil. It
// skips the queues in blocked and removes cancelled items.
func (s *baselineSystem) oldestQueue(blocked map[*shapeQueue]bool) *shapeQueue {
	var best *shapeQueue
	for _, q := range s.queues {
		for len(q.items) > 0 && s.jobStates[q.items[0].job.req.Key].cancelled {
			q.items = q.items[1:]
		}
		if len(q.items) > 0 && !blocked[q] && (best == nil || q.items[0].seq < best.items[0].seq) {
			best = q
		}
	}
	return best
}

// place starts one task or all tasks of a gang. It returns false if they do not
// fit and starts none of them then.
func (s *baselineSystem) place(item queueItem) ([]start, bool) {
	r := &item.job.req
	first, last := item.index, item.index
	if r.Class == model.AllAtOnce {
		first, last = 0, r.Tasks-1
	}
	spec := placement.TaskSpec{Class: r.Class, Service: r.Service, Size: r.Size}
	var out []start
	for i := first; i <= last; i++ {
		w, ok := s.fleet.Place(spec)
		if !ok {
			for _, st := range out {
				s.fleet.Release(st.id)
			}
			return nil, false
		}
		id := model.TaskID{Key: r.Key, Index: i}
		s.fleet.Reserve(w, id, spec)
		out = append(out, start{w, id, 0, r.Size})
	}
	attempts := s.jobStates[r.Key].attempts
	for n := range out {
		attempts[out[n].id.Index]++
		out[n].attempt = attempts[out[n].id.Index]
	}
	return out, true
}
