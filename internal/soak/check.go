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

// Violation is one broken promise that was found in a run.
type Violation struct {
	// Promise states what was broken. Key names the request, worker or data centre
	// concerned; it is empty for the configuration and for recovery.
	Promise, Key, Detail string
	// Ops is the history of the key; nil unless Key names a request.
	Ops []history.Op
}

// Promises that a run checks. Reports print these texts.
const (
	promiseFate          = "every accepted key has a final fate"
	promiseFateKept      = "a final fate is kept"
	promiseSingleStart   = "a non-idempotent key starts at most once"
	promiseNotRun        = "not_run only without a start"
	promiseUnknown       = "unknown only after the loss of a worker"
	promiseHistory       = "the history of a key has an order"
	promiseAnswer        = "an answer belongs to its request"
	promiseCapacity      = "no worker is overloaded"
	promiseSingleWorker  = "no task runs in two places"
	promiseConfig        = "no accepted revision is reverted or lost"
	promiseConfigApplied = "the configuration is in effect everywhere in time"
	promiseRecovery      = "the cell recovers from all faults"
)

// evidence is everything that was recorded in a run for the checks.
type evidence struct {
	// The first four maps and starts are by key; starts is then by task ID or "old",
	// and workerStats by data centre.
	requests       map[string]request
	finalStatuses  map[string]api.RequestStatus
	refusals       map[string]fault.Kind
	ops            map[string][]history.Op
	config         []history.ConfigOp
	starts         map[string]map[string]int
	workerStats    map[string]standinapi.FleetStats
	crashedWorkers map[model.WorkerID]bool
}

// findViolations returns all violations, ordered by promise and key.
func findViolations(e evidence) []Violation {
	var mu sync.Mutex
	out := append(checkWorkers(e.workerStats, keysWithRepeatedTasks(e.starts)), checkConfig(e.config)...)
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

// checkKey returns the violations of the promises about one request.
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
	final, hasFinal := e.finalStatuses[key]
	switch {
	case !hasFinal && wasAccepted(ops):
		add(promiseFate, "accepted, then %s", cmp.Or(string(e.refusals[key]), "no final fate"))
	case !hasFinal && e.refusals[key] == "":
		add(promiseFate, "no daemon accepted or refused it")
	case !hasFinal && starts > 0:
		add(promiseNotRun, "%d starts after a refusal with %s", starts, e.refusals[key])
	case final.Fate == model.NotRun && starts > 0:
		add(promiseNotRun, "%d starts", starts)
	case final.Fate == model.Unknown && !e.ranOnCrashedWorker(final):
		add(promiseUnknown, "tasks %v", final.Tasks)
	}
	if hasFinal && unknownAfterFinal(ops) {
		add(promiseFateKept, "%s, then not_found", final.Fate)
	}
	if r.nonIdempotent && starts > 1 {
		add(promiseSingleStart, "%d starts: %v", starts, e.starts[key])
	}
	if err := history.CheckKey(ops); err != nil {
		add(promiseHistory, "%v", err)
	}
	if err := history.CheckAnswers(ops); err != nil {
		add(promiseAnswer, "%v", err)
	}
	return out
}

// wasAccepted reports whether a submission of the key got an answer without error.
func wasAccepted(ops []history.Op) bool {
	return slices.ContainsFunc(ops, func(o history.Op) bool { return o.Kind == history.Submit && o.Outcome.Err == "" })
}

// unknownAfterFinal reports whether a call that began after a final fate had been
// returned found the key unknown.
func unknownAfterFinal(ops []history.Op) bool {
	firstFinal := history.Pending
	for _, o := range ops {
		if o.Outcome.Err == "" && o.Outcome.Fate.Terminal() {
			firstFinal = min(firstFinal, o.Return)
		}
	}
	return slices.ContainsFunc(ops, func(o history.Op) bool { return o.Outcome.Err == fault.NotFound && o.Call > firstFinal })
}

// ranOnCrashedWorker reports whether a task of the request was on a worker that
// crashed during the run.
func (e evidence) ranOnCrashedWorker(st api.RequestStatus) bool {
	return slices.ContainsFunc(st.Tasks, func(t api.TaskStatus) bool { return e.crashedWorkers[t.Worker] })
}

// keysWithRepeatedTasks returns the sorted keys with a task that was started more
// than once on the workers. ConcurrentRuns is a count without keys; these are the
// keys that it may refer to.
func keysWithRepeatedTasks(starts map[string]map[string]int) []string {
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

// checkWorkers returns the violations that the workers counted themselves.
func checkWorkers(workerStats map[string]standinapi.FleetStats, candidates []string) []Violation {
	var out []Violation
	for dc, f := range workerStats {
		if f.ConcurrentRuns > 0 {
			out = append(out, Violation{Promise: promiseSingleWorker, Key: dc, Detail: fmt.Sprintf("%d starts of a running task, among %v", f.ConcurrentRuns, candidates)})
		}
		for id, w := range f.Workers {
			if w.OverCapacityStarts > 0 {
				out = append(out, Violation{Promise: promiseCapacity, Key: string(id), Detail: fmt.Sprintf("%d starts past the capacity %+v, at most %+v in use", w.OverCapacityStarts, w.Capacity, w.MaxInUse)})
			}
			if w.DoubleStarts > 0 {
				out = append(out, Violation{Promise: promiseSingleWorker, Key: string(id), Detail: fmt.Sprintf("%d starts of a task that ran there", w.DoubleStarts)})
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
