package soak

import (
	"cmp"
	"fmt"
	"runtime"
	"slices"
	"sync"

	"github.com/sourcegraph/conc/pool"

	"catkinvalve/internal/api"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/history"
	"catkinvalve/internal/standinapi"
)

// Violation is a promise that the run saw broken.
type Violation struct {
	// Promise names what was broken, Key the request or worker concerned.
	Promise, Key, Detail string
	// Ops is the history of the key.
	Ops []history.Op
}

// Promises that a run checks.
const (
	promiseFate     = "every accepted key has a final fate"
	promiseKept     = "a final fate is kept"
	promiseOnce     = "a non-idempotent key starts at most once"
	promiseNotRun   = "not_run only without a start"
	promiseUnknown  = "unknown only after the loss of a worker"
	promiseHistory  = "the history of a key has an order"
	promiseAnswer   = "an answer belongs to its request"
	promiseCapacity = "no worker is overloaded"
	promiseOnePlace = "no task runs in two places"
	promiseConfig   = "no accepted revision is reverted or lost"
	promiseEffect   = "the configuration is in effect everywhere in time"
	promiseHealed   = "the cell recovers from all faults"
)

// evidence is all that the checks look at.
type evidence struct {
	requests map[string]request
	finals   map[string]api.RequestStatus
	ended    map[string]fault.Kind
	ops      map[string][]history.Op
	config   []history.ConfigOp
	starts   map[string]map[string]int
	fleets   map[string]standinapi.FleetStats
	crashed  map[model.WorkerID]bool
}

// check returns every violation, ordered by promise and key.
func check(e evidence) []Violation {
	var mu sync.Mutex
	out := append(checkWorkers(e.fleets, repeated(e.starts)), checkConfig(e.config)...)
	workers := pool.New().WithMaxGoroutines(runtime.GOMAXPROCS(0))
	for key, r := range e.requests {
		workers.Go(func() {
			found := e.checkKey(key, r)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, found...)
		})
	}
	workers.Wait()
	slices.SortStableFunc(out, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.Promise, b.Promise), cmp.Compare(a.Key, b.Key))
	})
	return out
}

func (e evidence) checkKey(key string, r request) []Violation {
	var out []Violation
	ops := e.ops[key]
	add := func(promise, format string, args ...any) {
		out = append(out, Violation{Promise: promise, Key: key, Detail: fmt.Sprintf(format, args...), Ops: ops})
	}
	starts := 0
	for _, n := range e.starts[key] {
		starts += n
	}
	final, settled := e.finals[key]
	switch {
	case !settled && accepted(ops):
		add(promiseFate, "accepted, then %s", cmp.Or(string(e.ended[key]), "no final fate"))
	case !settled && e.ended[key] == "":
		add(promiseFate, "no daemon accepted or refused it")
	case !settled && starts > 0:
		add(promiseNotRun, "%d starts after a refusal with %s", starts, e.ended[key])
	case final.Fate == model.NotRun && starts > 0:
		add(promiseNotRun, "%d starts", starts)
	case final.Fate == model.Unknown && !e.onLostWorker(final):
		add(promiseUnknown, "tasks %v", final.Tasks)
	}
	if settled && forgotten(ops) {
		add(promiseKept, "%s, then not_found", final.Fate)
	}
	if r.nonIdempotent && starts > 1 {
		add(promiseOnce, "%d starts: %v", starts, e.starts[key])
	}
	if err := history.CheckKey(ops); err != nil {
		add(promiseHistory, "%v", err)
	}
	if err := history.CheckAnswers(ops); err != nil {
		add(promiseAnswer, "%v", err)
	}
	return out
}

// accepted reports whether a daemon answered a submission of the key.
func accepted(ops []history.Op) bool {
	return slices.ContainsFunc(ops, func(o history.Op) bool { return o.Kind == history.Submit && o.Outcome.Err == "" })
}

// forgotten reports whether a daemon did not know the key after its final fate
// had been told.
func forgotten(ops []history.Op) bool {
	told := history.Pending
	for _, o := range ops {
		if o.Outcome.Err == "" && o.Outcome.Fate.Terminal() {
			told = min(told, o.Return)
		}
	}
	return slices.ContainsFunc(ops, func(o history.Op) bool { return o.Outcome.Err == fault.NotFound && o.Call > told })
}

// onLostWorker reports whether a task of the request was on a worker that
// crashed during the run.
func (e evidence) onLostWorker(st api.RequestStatus) bool {
	return slices.ContainsFunc(st.Tasks, func(t api.TaskStatus) bool { return e.crashed[t.Worker] })
}

// repeated lists the tasks that were started more than once, as the candidates
// of a count that does not tell the task.
func repeated(starts map[string]map[string]int) []string {
	var out []string
	for key, tasks := range starts {
		for id, n := range tasks {
			if n > 1 && id != "old" {
				out = append(out, key)
				break
			}
		}
	}
	slices.Sort(out)
	return out
}

func checkWorkers(fleets map[string]standinapi.FleetStats, candidates []string) []Violation {
	var out []Violation
	for dc, f := range fleets {
		if f.ConcurrentRuns > 0 {
			out = append(out, Violation{Promise: promiseOnePlace, Key: dc, Detail: fmt.Sprintf("%d starts of a running task, among %v", f.ConcurrentRuns, candidates)})
		}
		for id, w := range f.Workers {
			if w.OverCapacityStarts > 0 {
				out = append(out, Violation{Promise: promiseCapacity, Key: string(id), Detail: fmt.Sprintf("%d starts past the capacity %+v, at most %+v in use", w.OverCapacityStarts, w.Capacity, w.MaxInUse)})
			}
			if w.DoubleStarts > 0 {
				out = append(out, Violation{Promise: promiseOnePlace, Key: string(id), Detail: fmt.Sprintf("%d starts of a task that ran there", w.DoubleStarts)})
			}
		}
	}
	return out
}

func checkConfig(ops []history.ConfigOp) []Violation {
	if err := history.CheckConfig(ops); err != nil {
		return []Violation{{Promise: promiseConfig, Detail: err.Error()}}
	}
	return nil
}
