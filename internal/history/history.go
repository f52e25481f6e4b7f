// Package history records concurrent calls and the starts that the workers and the
// old system counted. It checks the records with a linearizability checker against
// models of the promises: a key takes effect at most once, a final fate never
// changes, an answer belongs to its own request, and the configuration is a
// compare-and-set register.
package history

import (
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
)

// Kind is the kind of a recorded operation on a key.
type Kind string

// Kinds of operations on a key.
const (
	Submit    Kind = "submit"
	QueryFate Kind = "fate"
	Cancel    Kind = "cancel"
	// Start is a start of a task that a worker or the old system counted.
	Start Kind = "start"
)

// Pending is the return time of an operation that may still take effect because its
// answer was lost.
const Pending = time.Duration(math.MaxInt64)

// Outcome is the result of a call as its caller received it.
type Outcome struct {
	Fate   model.Fate
	OK     bool
	Answer []byte
	// Err is the kind of the error; empty if the call succeeded.
	Err fault.Kind
}

// Op is one operation on a key.
type Op struct {
	Key  string
	Kind Kind
	// Daemon is the called daemon. For a Start it is the task, or "old".
	Daemon string
	// Call and Return are the times of the call and its answer since the recorder was
	// created.
	Call, Return time.Duration
	// NonIdempotent is set for keys that may start at most once.
	NonIdempotent bool
	// Payload and Tasks are those of the submitted request.
	Payload []byte
	Tasks   int
	Outcome Outcome
}

// String returns the line of the operation in a report.
func (o Op) String() string {
	end := "pending"
	if o.Return != Pending {
		end = o.Return.Round(time.Millisecond).String()
	}
	result := string(o.Outcome.Fate)
	if o.Outcome.Err != "" {
		result = string(o.Outcome.Err)
	}
	if len(o.Outcome.Answer) > 0 {
		result += fmt.Sprintf(" %.200q", o.Outcome.Answer)
	}
	return fmt.Sprintf("%s-%s %s %s %s", o.Call.Round(time.Millisecond), end, o.Kind, o.Daemon, result)
}

// Recorder collects the operations of concurrent callers. It is safe for concurrent
// use.
type Recorder struct {
	start  time.Time
	mu     sync.Mutex
	keys   map[string][]Op
	config []ConfigOp
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{start: time.Now(), keys: map[string][]Op{}}
}

// Now returns the time since the recorder was created.
func (r *Recorder) Now() time.Duration { return time.Since(r.start) }

// Add records an operation on a key.
func (r *Recorder) Add(o Op) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keys[o.Key] = append(r.keys[o.Key], o)
}

// AddConfig records an operation on the configuration.
func (r *Recorder) AddConfig(o ConfigOp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.config = append(r.config, o)
}

// OpsByKey returns a copy of the operations by key.
func (r *Recorder) OpsByKey() map[string][]Op {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string][]Op, len(r.keys))
	for k, ops := range r.keys {
		out[k] = append([]Op(nil), ops...)
	}
	return out
}

// ConfigOps returns a copy of the operations on the configuration.
func (r *Recorder) ConfigOps() []ConfigOp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]ConfigOp(nil), r.config...)
}

// checkTimeout bounds the check of one history. A history that is not decided in time
// counts as a violation, so that no check passes because it timed out.
const checkTimeout = 20 * time.Second

// checkModel returns an error unless some linearization of the history satisfies the
// model.
func checkModel(m porcupine.Model, ops []porcupine.Operation) error {
	switch porcupine.CheckOperationsTimeout(m, ops, checkTimeout) {
	case porcupine.Ok:
		return nil
	case porcupine.Unknown:
		return fmt.Errorf("not decided within %s", checkTimeout)
	}
	return fmt.Errorf("no order of the %d operations satisfies the model", len(ops))
}

// operation returns operation i for the checker, which gets a client of its own. The
// models use only the input, which also holds the outcome.
func operation(i int, in any, call, ret time.Duration) porcupine.Operation {
	return porcupine.Operation{ClientId: i, Input: in, Output: in, Call: int64(call), Return: int64(ret)}
}
