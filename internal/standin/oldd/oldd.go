// Package oldd is a stand-in for the old scheduler.
package oldd

import (
	"math"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/standin/harness"
	"catkinvalve/internal/standinapi"
)

type run struct {
	reply     standinapi.RunReply
	directive standinapi.Directive
	payload   []byte
	timer     *time.Timer
	done      chan struct{}
	// shared is set when the run uses a slot on the shared workers.
	shared bool
}

// Old runs each key once and remembers it. A run takes a slot on the shared
// workers while the reserve has one, and else a machine of the old system.
type System struct {
	gate *harness.FaultInjector

	mu       sync.Mutex
	keys     map[string]*run
	running  int
	shared   int
	limit    int64
	proposed uint64 // revision of limit
	inForce  uint64 // highest revision whose limit the shared runs fit
	runs     map[string]int
}

// New returns an old system without a limit on shared slots.
func New() *System {
	return &System{
		gate: harness.NewFaultInjector(fault.OldSystemUnavailable, ""),
		keys: map[string]*run{}, limit: math.MaxInt64, runs: map[string]int{},
	}
}

// Handler returns the old system's API.
func (o *System) Handler() http.Handler {
	r := httprouter.New()
	r.POST("/v1/run", o.gate.Wrap(harness.DecodeJSON(o.run)))
	r.GET("/v1/keys/*key", o.gate.Wrap(o.lookup))
	r.PUT("/v1/reserve", o.gate.Wrap(harness.DecodeJSON(o.reserve)))
	return r
}

// Admin returns the admin API.
func (o *System) Admin() http.Handler {
	return harness.Admin(func(f standinapi.OldFault) error { return o.gate.ApplyFault(f.CommonFault) },
		func() any { return o.Stats() }, o.reset)
}

// Close stops the timers of running keys.
func (o *System) Close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range o.keys {
		if r.timer != nil {
			r.timer.Stop()
		}
	}
}

// run answers when the key has finished. The run goes on when its caller leaves.
func (o *System) run(c *harness.Call, in standinapi.RunRequest) (int, any) {
	if in.Key == "" {
		return harness.ErrorReply(fault.New(fault.Malformed, "set key", "key is empty"))
	}
	o.mu.Lock()
	r := o.keys[in.Key]
	if r == nil {
		r = &run{
			reply:     standinapi.RunReply{Key: in.Key, State: model.Queued},
			directive: standinapi.ParseDirective(in.Payload), payload: in.Payload, done: make(chan struct{}),
		}
		o.keys[in.Key] = r
		o.start(r)
	}
	o.mu.Unlock()
	select {
	case <-r.done:
	case <-c.Ctx.Done():
		return harness.StatusAbort, nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return http.StatusOK, r.reply
}

// start begins a run. The caller holds mu.
func (o *System) start(r *run) {
	if int64(o.shared) < o.limit {
		r.shared = true
		o.shared++
	}
	r.reply.State = model.Running
	o.running++
	o.runs[r.reply.Key]++
	r.timer = time.AfterFunc(time.Duration(r.directive.SleepMS)*time.Millisecond, func() { o.finish(r) })
}

func (o *System) finish(r *run) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r.reply.State, r.reply.OK = model.Done, !r.directive.Fail
	r.reply.Answer = r.directive.AnswerFor(r.reply.Key, r.payload)
	close(r.done)
	o.running--
	if r.shared {
		o.shared--
	}
	o.settleReserve()
}

// settleReserve puts the proposed revision in force when the shared runs fit.
func (o *System) settleReserve() {
	if int64(o.shared) <= o.limit {
		o.inForce = o.proposed
	}
}

func (o *System) lookup(c *harness.Call) (int, any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	// A catch-all parameter begins with the slash; keys may contain more of them.
	r := o.keys[strings.TrimPrefix(c.Params.ByName("key"), "/")]
	if r == nil {
		return harness.ErrorReply(fault.New(fault.NotFound, "submit the key with POST /v1/run", "the key was never seen"))
	}
	return http.StatusOK, r.reply
}

func (o *System) reserve(_ *harness.Call, in standinapi.ReserveRequest) (int, any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	// A late request of an earlier revision must not undo a later one.
	if in.Revision > o.proposed {
		o.proposed, o.limit = in.Revision, in.Slots
	}
	o.settleReserve()
	return http.StatusOK, standinapi.ReserveReply{Revision: o.inForce}
}

// Stats returns the counters.
func (o *System) Stats() standinapi.OldStats {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := standinapi.OldStats{
		RunsPerKey: make(map[string]int, len(o.runs)), Running: o.running, SharedSlotsInUse: o.shared,
		Revision: o.inForce, SharedSlotLimit: o.limit,
	}
	for k, n := range o.runs {
		out.RunsPerKey[k] = n
	}
	return out
}

func (o *System) reset() {
	o.gate.Reset()
	o.mu.Lock()
	defer o.mu.Unlock()
	clear(o.runs)
}
