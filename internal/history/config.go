package history

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"catkinvalve/internal/fault"
)

// ConfigOp is a publication or a read of the configuration.
type ConfigOp struct {
	// Reader is the daemon process that was read; empty for publications. A
	// restarted daemon keeps no state and counts as another reader.
	Reader string
	// Call and Return are the times of the call and its answer since the recorder was
	// created.
	Call, Return time.Duration
	// PublishID, Base and Text describe a publication; Text is also the text of
	// a read.
	PublishID string
	Base      uint64
	Text      string
	Accepted  bool
	// Revision is the accepted or read revision.
	Revision uint64
	// Err is the kind of error of an unanswered or refused call; empty otherwise.
	Err fault.Kind
}

// configState is the state of the register in the model.
type configState struct {
	revision uint64
	// texts is by revision, verdicts by publish_id; lastRead is the latest revision that
	// each reader returned.
	texts    map[uint64]string
	verdicts map[string]bool
	lastRead map[string]uint64
}

func (s configState) clone() configState {
	return configState{s.revision, maps.Clone(s.texts), maps.Clone(s.verdicts), maps.Clone(s.lastRead)}
}

func (s configState) equal(o configState) bool {
	return s.revision == o.revision && maps.Equal(s.texts, o.texts) &&
		maps.Equal(s.verdicts, o.verdicts) && maps.Equal(s.lastRead, o.lastRead)
}

// configModel describes a compare-and-set register. Its readers may lag but never go
// back to an earlier revision. An unanswered publication may or may not have taken
// effect.
var configModel = porcupine.NondeterministicModel{
	Init: func() []any {
		return []any{configState{texts: map[uint64]string{}, verdicts: map[string]bool{}, lastRead: map[string]uint64{}}}
	},
	Step:  func(state, in, _ any) []any { return state.(configState).step(in.(ConfigOp)) },
	Equal: func(a, b any) bool { return a.(configState).equal(b.(configState)) },
}

// step returns the possible states after an operation; none if the operation is not
// possible in state s.
func (s configState) step(o ConfigOp) []any {
	if o.Reader != "" {
		return s.read(o)
	}
	next, accepted := s.publish(o)
	if o.Err != "" {
		return []any{s, next}
	}
	if accepted != o.Accepted {
		return nil
	}
	if accepted && next.texts[o.Revision] != o.Text {
		return nil
	}
	return []any{next}
}

// publish returns the state after a publication and whether it is accepted: a
// publish_id keeps its first verdict, and only a publication based on the current
// revision is accepted.
func (s configState) publish(o ConfigOp) (configState, bool) {
	if v, ok := s.verdicts[o.PublishID]; ok {
		return s, v
	}
	next := s.clone()
	accepted := o.Base == s.revision
	next.verdicts[o.PublishID] = accepted
	if accepted {
		next.revision++
		next.texts[next.revision] = o.Text
	}
	return next, accepted
}

// read returns the state after a read. It returns none if the reader went back to an
// earlier revision, or if the revision was not accepted yet or has another text. A
// failed read changes nothing.
func (s configState) read(o ConfigOp) []any {
	if o.Err != "" {
		return []any{s}
	}
	if o.Revision < s.lastRead[o.Reader] || o.Revision > s.revision || s.texts[o.Revision] != o.Text {
		return nil
	}
	next := s.clone()
	next.lastRead[o.Reader] = o.Revision
	return []any{next}
}

// CheckConfig returns an error unless the operations on the configuration satisfy
// configModel.
func CheckConfig(ops []ConfigOp) error {
	var list []porcupine.Operation
	for i, o := range mergeAttempts(ops) {
		list = append(list, operation(i, o, o.Call, o.Return))
	}
	return checkModel(configModel.ToModel(), list)
}

// mergeAttempts replaces the unanswered attempts of a publication and its first
// answered one by one operation. The first append decides the verdict of a
// publish_id, so it takes place between the first call and the first answer.
func mergeAttempts(ops []ConfigOp) []ConfigOp {
	ops = append([]ConfigOp(nil), ops...)
	slices.SortStableFunc(ops, func(a, b ConfigOp) int { return cmp.Compare(a.Call, b.Call) })
	var out []ConfigOp
	pendingIndex := map[string]int{}
	for _, o := range ops {
		i, isPending := pendingIndex[o.PublishID]
		switch {
		case o.Reader != "":
			out = append(out, o)
		case !isPending:
			if o.Err != "" {
				o.Return = Pending
				pendingIndex[o.PublishID] = len(out)
			}
			out = append(out, o)
		case o.Err == "":
			o.Call = out[i].Call
			out[i] = o
			delete(pendingIndex, o.PublishID)
		}
	}
	return out
}
