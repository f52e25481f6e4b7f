package soak

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/api"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/history"
	"catkinvalve/internal/standinapi"
)

// validEvidence returns the evidence of a run without violations: one key, started
// once, with fate done.
func validEvidence() evidence {
	answer := []byte("k/0:p")
	out := history.Outcome{Fate: model.Done, OK: true, Answer: answer}
	return evidence{
		requests:      map[string]request{"k": {nonIdempotent: true, tasks: 1, req: api.SubmitRequest{Key: "k"}}},
		finalStatuses: map[string]api.RequestStatus{"k": {Key: "k", Fate: model.Done, OK: true, Answer: answer, Tasks: []api.TaskStatus{{Worker: "w"}}}},
		refusals:      map[string]fault.Kind{},
		ops: map[string][]history.Op{"k": {
			{Key: "k", Kind: history.Submit, Call: 1, Return: 10, NonIdempotent: true, Payload: []byte("p"), Tasks: 1, Outcome: out},
			{Key: "k", Kind: history.Start, Call: 2, Return: 9, NonIdempotent: true},
		}},
		config:         []history.ConfigOp{{Call: 1, Return: 2, PublishID: "a", Text: "a", Accepted: true, Revision: 1}},
		starts:         map[string]map[string]int{"k": {"k/0": 1}},
		workerStats:    map[string]standinapi.FleetStats{"dc": {Workers: map[model.WorkerID]standinapi.WorkerStats{"w": {}}}},
		crashedWorkers: map[model.WorkerID]bool{},
	}
}

func promises(vs []Violation) []string {
	var out []string
	for _, v := range vs {
		out = append(out, v.Promise)
	}
	return out
}

// Guards against checks that cannot fail: each case breaks one promise in otherwise
// valid evidence.
func TestCheck(t *testing.T) {
	assert.Equal(t, len(findViolations(validEvidence())), 0, "%v", promises(findViolations(validEvidence())))
	for _, c := range []struct {
		promise string
		corrupt func(*evidence)
	}{
		{promiseSingleStart, func(e *evidence) { e.starts["k"]["old"] = 1 }},
		{promiseFate, func(e *evidence) { delete(e.finalStatuses, "k") }},
		{promiseFate, func(e *evidence) { e.ops["k"], e.finalStatuses = nil, nil }},
		{promiseNotRun, func(e *evidence) { e.finalStatuses["k"] = api.RequestStatus{Key: "k", Fate: model.NotRun} }},
		{promiseNotRun, func(e *evidence) { e.ops["k"], e.finalStatuses, e.refusals["k"] = nil, nil, fault.DeadlineExceeded }},
		{promiseUnknown, func(e *evidence) {
			st := e.finalStatuses["k"]
			st.Fate = model.Unknown
			e.finalStatuses["k"] = st
		}},
		{promiseFateKept, func(e *evidence) {
			e.ops["k"] = append(e.ops["k"], history.Op{Key: "k", Kind: history.QueryFate, Call: 20 * time.Second, Return: 21 * time.Second, Outcome: history.Outcome{Err: fault.NotFound}})
		}},
		{promiseHistory, func(e *evidence) { e.ops["k"] = e.ops["k"][:1] }},
		{promiseAnswer, func(e *evidence) { e.ops["k"][0].Outcome.Answer = []byte("j/0:p") }},
		{promiseCapacity, func(e *evidence) { e.workerStats["dc"].Workers["w"] = standinapi.WorkerStats{OverCapacityStarts: 1} }},
		{promiseSingleWorker, func(e *evidence) { e.workerStats["dc"].Workers["w"] = standinapi.WorkerStats{DoubleStarts: 1} }},
		{promiseSingleWorker, func(e *evidence) { e.workerStats["dc"] = standinapi.FleetStats{ConcurrentRuns: 1} }},
		{promiseConfig, func(e *evidence) { e.config[0].Accepted = false }},
	} {
		e := validEvidence()
		c.corrupt(&e)
		assert.Assert(t, slices.Contains(promises(findViolations(e)), c.promise), "no violation of %q was reported", c.promise)
	}
	e := validEvidence()
	st := e.finalStatuses["k"]
	st.Fate = model.Unknown
	e.finalStatuses["k"], e.crashedWorkers["w"], e.ops["k"][0].Outcome = st, true, history.Outcome{Fate: model.Unknown}
	assert.Equal(t, len(findViolations(e)), 0, "unknown after a crash: %v", promises(findViolations(e)))
}
