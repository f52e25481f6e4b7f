package history

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
)

const ms = time.Millisecond

func call(kind Kind, from, to time.Duration, out Outcome) Op {
	return Op{Key: "k", Kind: kind, Call: from * ms, Return: to * ms, NonIdempotent: true, Payload: []byte("p"), Tasks: 1, Outcome: out}
}

func done() Outcome { return Outcome{Fate: model.Done, OK: true, Answer: []byte("k/0:p")} }

func fate(f model.Fate) Outcome { return Outcome{Fate: f} }

func failed(k fault.Kind) Outcome { return Outcome{Err: k} }

func pending(o Op) Op {
	o.Return = Pending
	return o
}

// Guards against a checker that accepts two starts, a changed fate or a wrong not_run,
// and against one that rejects histories that concurrency allows.
func TestKey(t *testing.T) {
	start := call(Start, 0, 50, Outcome{})
	for _, c := range []struct {
		name  string
		ops   []Op
		valid bool
	}{
		{"concurrent submits, one start", []Op{call(Submit, 0, 90, done()), call(Submit, 5, 95, done()), start, call(QueryFate, 60, 61, fate(model.Running)), call(QueryFate, 96, 97, done())}, true},
		{"lost submission that starts", []Op{pending(call(Submit, 0, 0, failed(fault.FateUnknownYet))), start, call(QueryFate, 60, 61, done())}, true},
		{"refusal, then accepted", []Op{call(Submit, 0, 1, failed(fault.Overloaded)), call(Submit, 2, 60, done()), start}, true},
		{"not run", []Op{call(Submit, 0, 10, fate(model.NotRun)), call(QueryFate, 20, 30, fate(model.NotRun))}, true},
		{"cancelled after the start", []Op{call(Submit, 0, 1, fate(model.Queued)), start, call(Cancel, 60, 70, fate(model.Cancelled))}, true},
		{"start counted after unknown", []Op{call(Submit, 0, 10, fate(model.Unknown)), call(Start, 20, 30, Outcome{})}, true},
		{"doubled start", []Op{call(Submit, 0, 90, done()), start, call(Start, 40, 80, Outcome{})}, false},
		{"doubled start after unknown", []Op{call(Submit, 0, 10, fate(model.Unknown)), call(Start, 20, 30, Outcome{}), call(Start, 20, 30, Outcome{})}, false},
		{"false not_run", []Op{call(Submit, 0, 90, fate(model.NotRun)), start}, false},
		{"start of a refused request", []Op{call(Submit, 0, 90, failed(fault.HomeUnreachable)), start}, false},
		{"start before the submission", []Op{call(Start, 0, 5, Outcome{}), call(Submit, 10, 90, done())}, false},
		{"done without start", []Op{call(Submit, 0, 90, done())}, false},
		{"changed fate", []Op{call(Submit, 0, 60, done()), start, call(QueryFate, 70, 80, fate(model.Unknown))}, false},
		{"running after done", []Op{call(Submit, 0, 60, done()), start, call(QueryFate, 70, 80, fate(model.Running))}, false},
		{"changed answer", []Op{call(Submit, 0, 60, done()), start, call(QueryFate, 70, 80, Outcome{Fate: model.Done, OK: true, Answer: []byte("x")})}, false},
		{"changed success", []Op{call(Submit, 0, 60, done()), start, call(QueryFate, 70, 80, Outcome{Fate: model.Done, Answer: []byte("k/0:p")})}, false},
	} {
		t.Run(c.name, func(t *testing.T) { expect(t, CheckKey(c.ops), c.valid) })
	}
}

// expect requires that a check accepted a valid history and rejected any other.
func expect(t *testing.T, err error, valid bool) {
	t.Helper()
	if valid {
		assert.NilError(t, err)
	} else {
		assert.Assert(t, err != nil, "a history that violates the model was accepted")
	}
}

// Guards against a checker that rejects several starts of an idempotent key. Other
// checks bound their number.
func TestIdempotentKeyMayStartAgain(t *testing.T) {
	ops := []Op{call(Submit, 0, 90, done()), call(Start, 0, 10, Outcome{}), call(Start, 20, 30, Outcome{})}
	for i := range ops {
		ops[i].NonIdempotent = false
	}
	assert.NilError(t, CheckKey(ops))
}

// Guards against a checker that accepts the answer of another request or an
// incomplete answer.
func TestAnswers(t *testing.T) {
	answer := func(s string) Outcome { return Outcome{Fate: model.Done, OK: true, Answer: []byte(s)} }
	gang := call(Submit, 0, 1, answer("k/0:pk/1:p"))
	gang.Tasks = 2
	partial := gang
	partial.Outcome = answer("k/0:p")
	for _, c := range []struct {
		name  string
		ops   []Op
		valid bool
	}{
		{"worker", []Op{call(Submit, 0, 1, fate(model.Queued)), call(QueryFate, 2, 3, answer("k/0:p"))}, true},
		{"old system", []Op{call(Submit, 0, 1, answer("k:p"))}, true},
		{"all tasks", []Op{gang}, true},
		{"one task missing", []Op{partial}, false},
		{"another key's answer", []Op{call(Submit, 0, 1, answer("j/0:p"))}, false},
		{"another payload", []Op{call(Submit, 0, 1, fate(model.Queued)), call(QueryFate, 2, 3, answer("k/0:q"))}, false},
		{"no answer", []Op{call(Submit, 0, 1, answer(""))}, false},
	} {
		t.Run(c.name, func(t *testing.T) { expect(t, CheckAnswers(c.ops), c.valid) })
	}
}

func publish(from, to time.Duration, id string, base uint64, accepted bool) ConfigOp {
	o := ConfigOp{Call: from * ms, Return: to * ms, PublishID: id, Base: base, Text: id, Accepted: accepted}
	if accepted {
		o.Revision = base + 1
	}
	return o
}

func read(from, to time.Duration, daemon string, rev uint64, text string) ConfigOp {
	return ConfigOp{Call: from * ms, Return: to * ms, Reader: daemon, Revision: rev, Text: text}
}

// Guards against a checker that accepts lost updates, reverted revisions or two texts
// of one revision.
func TestConfig(t *testing.T) {
	first := publish(0, 10, "a", 0, true)
	lost := publish(11, 0, "b", 1, false)
	lost.Return, lost.Err = Pending, fault.FateUnknownYet
	for _, c := range []struct {
		name  string
		ops   []ConfigOp
		valid bool
	}{
		{"race with one winner", []ConfigOp{first, publish(20, 40, "b", 1, true), publish(20, 40, "c", 1, false), read(50, 51, "d", 2, "b")}, true},
		{"lagging reader", []ConfigOp{first, publish(20, 30, "b", 1, true), read(40, 41, "d", 1, "a"), read(42, 43, "d", 2, "b")}, true},
		{"lost answer that took effect", []ConfigOp{first, lost, read(50, 51, "d", 2, "b")}, true},
		{"lost answer without effect", []ConfigOp{first, lost, publish(20, 30, "c", 1, true), read(50, 51, "d", 2, "c")}, true},
		{"repeated publication", []ConfigOp{first, publish(20, 30, "b", 1, true), {Call: 40 * ms, Return: 41 * ms, PublishID: "a", Text: "a", Accepted: true, Revision: 1}}, true},
		{"repeated until answered", []ConfigOp{first, lost, publish(60, 70, "b", 1, true), read(50, 51, "d", 2, "b")}, true},
		{"answered after it lost", []ConfigOp{first, lost, publish(20, 30, "c", 1, true), publish(60, 70, "b", 1, false)}, true},
		{"two winners, one after a lost answer", []ConfigOp{first, lost, publish(20, 30, "c", 1, true), publish(60, 70, "b", 1, true)}, false},
		{"two winners", []ConfigOp{first, publish(20, 40, "b", 1, true), publish(20, 40, "c", 1, true)}, false},
		{"refused without a winner", []ConfigOp{first, publish(20, 40, "b", 1, false)}, false},
		{"reverted revision", []ConfigOp{first, publish(20, 30, "b", 1, true), read(40, 41, "d", 2, "b"), read(42, 43, "d", 1, "a")}, false},
		{"revision that nobody published", []ConfigOp{first, read(40, 41, "d", 2, "b")}, false},
		{"other text of a revision", []ConfigOp{first, read(40, 41, "d", 1, "b")}, false},
		{"changed verdict", []ConfigOp{first, publish(20, 30, "b", 0, false), publish(40, 50, "b", 1, true)}, false},
	} {
		t.Run(c.name, func(t *testing.T) { expect(t, CheckConfig(c.ops), c.valid) })
	}
}
