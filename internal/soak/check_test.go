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

// good returns the evidence of one key that was done once.
func good() evidence {
	answer := []byte("k/0:p")
	out := history.Outcome{Fate: model.Done, OK: true, Answer: answer}
	return evidence{
		requests: map[string]request{"k": {nonIdempotent: true, tasks: 1, req: api.SubmitRequest{Key: "k"}}},
		finals:   map[string]api.RequestStatus{"k": {Key: "k", Fate: model.Done, OK: true, Answer: answer, Tasks: []api.TaskStatus{{Worker: "w"}}}},
		ended:    map[string]fault.Kind{},
		ops: map[string][]history.Op{"k": {
			{Key: "k", Kind: history.Submit, Call: 1, Return: 10, NonIdempotent: true, Payload: []byte("p"), Tasks: 1, Outcome: out},
			{Key: "k", Kind: history.Start, Call: 2, Return: 9, NonIdempotent: true},
		}},
		config:  []history.ConfigOp{{Call: 1, Return: 2, PublishID: "a", Text: "a", Accepted: true, Revision: 1}},
		starts:  map[string]map[string]int{"k": {"k/0": 1}},
		fleets:  map[string]standinapi.FleetStats{"dc": {Workers: map[model.WorkerID]standinapi.WorkerStats{"w": {}}}},
		crashed: map[model.WorkerID]bool{},
	}
}

func promises(vs []Violation) []string {
	var out []string
	for _, v := range vs {
		out = append(out, v.Promise)
	}
	return out
}

// Guards against checks that cannot fail.
func TestCheck(t *testing.T) {
	assert.Equal(t, len(check(good())), 0, "%v", promises(check(good())))
	for _, c := range []struct {
		promise string
		spoil   func(*evidence)
	}{
		{promiseOnce, func(e *evidence) { e.starts["k"]["old"] = 1 }},
		{promiseFate, func(e *evidence) { delete(e.finals, "k") }},
		{promiseFate, func(e *evidence) { e.ops["k"], e.finals = nil, nil }},
		{promiseNotRun, func(e *evidence) { e.finals["k"] = api.RequestStatus{Key: "k", Fate: model.NotRun} }},
		{promiseNotRun, func(e *evidence) { e.ops["k"], e.finals, e.ended["k"] = nil, nil, fault.DeadlineExceeded }},
		{promiseUnknown, func(e *evidence) {
			st := e.finals["k"]
			st.Fate = model.Unknown
			e.finals["k"] = st
		}},
		{promiseKept, func(e *evidence) {
			e.ops["k"] = append(e.ops["k"], history.Op{Key: "k", Kind: history.AskFate, Call: 20 * time.Second, Return: 21 * time.Second, Outcome: history.Outcome{Err: fault.NotFound}})
		}},
		{promiseHistory, func(e *evidence) { e.ops["k"] = e.ops["k"][:1] }},
		{promiseAnswer, func(e *evidence) { e.ops["k"][0].Outcome.Answer = []byte("j/0:p") }},
		{promiseCapacity, func(e *evidence) { e.fleets["dc"].Workers["w"] = standinapi.WorkerStats{OverCapacityStarts: 1} }},
		{promiseOnePlace, func(e *evidence) { e.fleets["dc"].Workers["w"] = standinapi.WorkerStats{DoubleStarts: 1} }},
		{promiseOnePlace, func(e *evidence) { e.fleets["dc"] = standinapi.FleetStats{ConcurrentRuns: 1} }},
		{promiseConfig, func(e *evidence) { e.config[0].Accepted = false }},
	} {
		e := good()
		c.spoil(&e)
		assert.Assert(t, slices.Contains(promises(check(e)), c.promise), "%s was not found", c.promise)
	}
	e := good()
	st := e.finals["k"]
	st.Fate = model.Unknown
	e.finals["k"], e.crashed["w"], e.ops["k"][0].Outcome = st, true, history.Outcome{Fate: model.Unknown}
	assert.Equal(t, len(check(e)), 0, "unknown after a crash: %v", promises(check(e)))
}
