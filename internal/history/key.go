package history

import (
	"bytes"

	"github.com/anishathalye/porcupine"

	"catkinvalve/internal/api"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
)

// keyState is the state of a key in the model.
type keyState struct {
	// submitted is set after a submission that may have been accepted.
	submitted bool
	started   bool
	// final is the observed final fate, empty before; ok and answer belong to it.
	final  model.Fate
	ok     bool
	answer string
}

// keyModel describes one key: a start follows an accepted submission, a
// non-idempotent key starts at most once, and a final fate never changes.
var keyModel = porcupine.Model{
	Init:  func() any { return keyState{} },
	Step:  func(state, in, _ any) (bool, any) { return state.(keyState).step(in.(Op)) },
	Equal: func(a, b any) bool { return a == b },
}

// step reports whether an operation is possible in state s, and returns the state after
// it.
func (s keyState) step(o Op) (bool, any) {
	if o.Kind == Start {
		return s.start(o)
	}
	if o.Kind == Submit {
		s.submitted = true
		return true, s
	}
	return s.observe(o.Outcome)
}

// reduceOps leaves out operations that cannot change the result of the check. An
// answered submission is accepted first and its fate is observed later, so it becomes
// two operations. Only the earliest of the submissions that may have been accepted is
// kept.
func reduceOps(ops []Op) []Op {
	var out []Op
	first := -1
	for i, o := range ops {
		if o.Kind == Submit && !hadNoEffect(o.Outcome.Err) && (first < 0 || o.Call < ops[first].Call) {
			first = i
		}
		switch {
		case o.Kind == Start:
			out = append(out, o)
		case o.Outcome.Err == "":
			o.Kind = QueryFate
			out = append(out, o)
		}
	}
	if first >= 0 {
		out = append(out, ops[first])
	}
	return out
}

// start rejects a start before a submission, a second start of a non-idempotent key and
// a start after a final fate. The exception is the fate "unknown": a start that was in
// progress when its worker was lost may be counted later.
func (s keyState) start(o Op) (bool, any) {
	if !s.submitted || (o.NonIdempotent && s.started) {
		return false, s
	}
	if s.final != "" && s.final != model.Unknown {
		return false, s
	}
	s.started = true
	return true, s
}

// observe rejects a fate that contradicts the state: no fate of an unsubmitted key, no
// change of a final fate, not_run only without a start, done and cancelled only after
// one.
func (s keyState) observe(out Outcome) (bool, any) {
	if !out.Fate.Terminal() {
		return s.final == "" && s.submitted && out.Fate != "", s
	}
	if s.final != "" {
		return s.final == out.Fate && s.ok == out.OK && s.answer == string(out.Answer), s
	}
	switch out.Fate {
	case model.NotRun:
		if s.started {
			return false, s
		}
	case model.Done, model.Cancelled:
		if !s.started {
			return false, s
		}
	}
	s.final, s.ok, s.answer = out.Fate, out.OK, string(out.Answer)
	return true, s
}

// hadNoEffect reports whether an error means that the call had no effect.
// fate_in_doubt is not such an error, since the daemon that returns it does not know.
func hadNoEffect(kind fault.Kind) bool {
	switch kind {
	case fault.HomeUnreachable, fault.Overloaded, fault.CanNeverRun, fault.UnknownService,
		fault.Malformed, fault.TooLarge, fault.Usage, fault.DeadlineExceeded, fault.NoOwner,
		fault.NotReady, fault.Draining, fault.KeyConflict, api.Unreachable:
		return true
	}
	return false
}

// CheckKey returns an error unless the operations on one key satisfy keyModel. They
// must include all starts up to the last reading of the stand-ins' counters.
func CheckKey(ops []Op) error {
	var list []porcupine.Operation
	for i, o := range reduceOps(ops) {
		list = append(list, operation(i, o, o.Call, o.Return))
	}
	return checkModel(keyModel, list)
}

// answerState is the submitted request of a key; known is false before the first
// submission.
type answerState struct {
	known   bool
	key     string
	payload string
	tasks   int
}

// answerModel describes the answers of one key. The first submission determines the
// request of the key; the answer of each call with the fate done must be the one for
// that request.
var answerModel = porcupine.Model{
	Init:  func() any { return answerState{} },
	Step:  func(state, in, _ any) (bool, any) { return state.(answerState).step(in.(Op)) },
	Equal: func(a, b any) bool { return a == b },
}

// step reports whether an operation is possible in state s, and returns the state after
// it.
func (s answerState) step(o Op) (bool, any) {
	if o.Kind == Submit && !s.known {
		s = answerState{known: true, key: o.Key, payload: string(o.Payload), tasks: max(1, o.Tasks)}
	}
	if o.Kind == Start || o.Outcome.Err != "" || o.Outcome.Fate != model.Done {
		return true, s
	}
	return s.known && s.isExpected(o.Outcome.Answer), s
}

// isExpected reports whether the answer is the one that the stand-ins give: workers
// answer "key/index:payload" for each task in order, the old system "key:payload".
func (s answerState) isExpected(answer []byte) bool {
	if string(answer) == s.key+":"+s.payload {
		return true
	}
	var want bytes.Buffer
	for i := range s.tasks {
		want.WriteString(model.TaskID{Key: s.key, Index: i}.String() + ":" + s.payload)
	}
	return bytes.Equal(answer, want.Bytes())
}

// CheckAnswers returns an error unless every answer in the operations on a key belongs
// to the request that was submitted with the key.
func CheckAnswers(ops []Op) error {
	var list []porcupine.Operation
	for i, o := range ops {
		list = append(list, operation(i, o, o.Call, o.Return))
	}
	return checkModel(answerModel, list)
}
