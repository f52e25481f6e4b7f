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
	// submitted is set once a submission may have been accepted.
	submitted bool
	started   bool
	final     model.Fate
	ok        bool
	answer    string
}

// keyModel describes one key: starts follow an accepted submission, a
// non-idempotent key starts once, and a final fate never changes.
var keyModel = porcupine.Model{
	Init:  func() any { return keyState{} },
	Step:  func(state, in, _ any) (bool, any) { return state.(keyState).step(in.(Op)) },
	Equal: func(a, b any) bool { return a == b },
}

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

// simplify leaves out what cannot change the verdict. An answered submission is
// accepted at one time and its fate observed at a later one, so it becomes two
// operations. Of the acceptances only the earliest matters.
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

// start refuses a start after a fate that rules it out. A start that was under
// way when its worker was lost may still be counted after "unknown".
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

// refused reports whether an error says that the call had no effect. With
// fate_in_doubt the daemon cannot tell, so it is not among them.
func hadNoEffect(kind fault.Kind) bool {
	switch kind {
	case fault.HomeUnreachable, fault.Overloaded, fault.CanNeverRun, fault.UnknownService,
		fault.Malformed, fault.TooLarge, fault.Usage, fault.DeadlineExceeded, fault.NoOwner,
		fault.NotReady, fault.Draining, fault.KeyConflict, api.Unreachable:
		return true
	}
	return false
}

// CheckKey checks all operations on one key. It needs the starts that the
// stand-ins counted until their last reading.
func CheckKey(ops []Op) error {
	var list []porcupine.Operation
	for i, o := range reduceOps(ops) {
		list = append(list, operation(i, o, o.Call, o.Return))
	}
	return checkModel(keyModel, list)
}

// answerState is the request that a key stands for.
type answerState struct {
	known   bool
	key     string
	payload string
	tasks   int
}

// answerModel describes whose answer a caller gets. A submission fixes the
// request of its key; each complete answer must be made from that request.
var answerModel = porcupine.Model{
	Init:  func() any { return answerState{} },
	Step:  func(state, in, _ any) (bool, any) { return state.(answerState).step(in.(Op)) },
	Equal: func(a, b any) bool { return a == b },
}

func (s answerState) step(o Op) (bool, any) {
	if o.Kind == Submit && !s.known {
		s = answerState{known: true, key: o.Key, payload: string(o.Payload), tasks: max(1, o.Tasks)}
	}
	if o.Kind == Start || o.Outcome.Err != "" || o.Outcome.Fate != model.Done {
		return true, s
	}
	return s.known && s.isExpected(o.Outcome.Answer), s
}

// complete compares with what the stand-ins answer: a worker "key/index:payload"
// for each task in order, the old system "key:payload".
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

// CheckAnswers checks that each answer in the operations on a key belongs to
// the request that was submitted with it.
func CheckAnswers(ops []Op) error {
	var list []porcupine.Operation
	for i, o := range ops {
		list = append(list, operation(i, o, o.Call, o.Return))
	}
	return checkModel(answerModel, list)
}
