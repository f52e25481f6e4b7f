// Package oldd implements a stand-in for the old scheduler.
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
	// shared is true if the run uses a slot on the shared workers.
	shared bool
}

// System executes each key once and keeps the outcome. A run uses a slot on the
// shared workers while the slot limit permits it, and otherwise an instance that
// belongs to the old system.
type System struct {
	faults *harness.FaultInjector

	mu                sync.Mutex
	runsByKey         map[string]*run
	runningCount      int
	shared            int // runs on shared workers
	sharedSlotLimit   int64
	requestedRevision uint64         // revision of sharedSlotLimit
	effectiveRevision uint64         // highest revision whose limit the shared runs fit
	startCounts       map[string]int // by key
}

// New returns a System without a limit on shared slots.
func New() *System {
	return &System{
		faults:    harness.NewFaultInjector(fault.OldSystemUnavailable, ""),
		runsByKey: map[string]*run{}, sharedSlotLimit: math.MaxInt64, startCounts: map[string]int{},
	}
}

// Handler returns the API of the old system.
func (s *System) Handler() http.Handler {
	r := httprouter.New()
	r.POST("/v1/run", s.faults.Wrap(harness.DecodeJSON(s.run)))
	r.GET("/v1/keys/*key", s.faults.Wrap(s.lookup))
	r.PUT("/v1/reserve", s.faults.Wrap(harness.DecodeJSON(s.reserve)))
	return r
}

// Admin returns the admin API.
func (s *System) Admin() http.Handler {
	return harness.Admin(func(f standinapi.OldFault) error { return s.faults.ApplyFault(f.CommonFault) },
		func() any { return s.Stats() }, s.reset)
}

// Close stops the timers of running keys.
func (s *System) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runsByKey {
		if r.timer != nil {
			r.timer.Stop()
		}
	}
}

// run starts the key if it is new and answers when the run has ended. The run
// continues if its caller disconnects.
func (s *System) run(c *harness.Call, in standinapi.RunRequest) (int, any) {
	if in.Key == "" {
		return harness.ErrorReply(fault.New(fault.Malformed, "set key", "key is empty"))
	}
	s.mu.Lock()
	r := s.runsByKey[in.Key]
	if r == nil {
		r = &run{
			reply:     standinapi.RunReply{Key: in.Key, State: model.Queued},
			directive: standinapi.ParseDirective(in.Payload), payload: in.Payload, done: make(chan struct{}),
		}
		s.runsByKey[in.Key] = r
		s.start(r)
	}
	s.mu.Unlock()
	select {
	case <-r.done:
	case <-c.Ctx.Done():
		return harness.StatusAbort, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return http.StatusOK, r.reply
}

// start starts a run. The caller holds mu.
func (s *System) start(r *run) {
	if int64(s.shared) < s.sharedSlotLimit {
		r.shared = true
		s.shared++
	}
	r.reply.State = model.Running
	s.runningCount++
	s.startCounts[r.reply.Key]++
	r.timer = time.AfterFunc(time.Duration(r.directive.SleepMS)*time.Millisecond, func() { s.finish(r) })
}

func (s *System) finish(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.reply.State, r.reply.OK = model.Done, !r.directive.Fail
	r.reply.Answer = r.directive.AnswerFor(r.reply.Key, r.payload)
	close(r.done)
	s.runningCount--
	if r.shared {
		s.shared--
	}
	s.updateEffectiveRevision()
}

// updateEffectiveRevision makes the requested revision effective once the runs
// on shared workers fit its slot limit. The caller holds mu.
func (s *System) updateEffectiveRevision() {
	if int64(s.shared) <= s.sharedSlotLimit {
		s.effectiveRevision = s.requestedRevision
	}
}

func (s *System) lookup(c *harness.Call) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A catch-all parameter starts with the slash of the path; the key itself may
	// contain slashes.
	r := s.runsByKey[strings.TrimPrefix(c.Params.ByName("key"), "/")]
	if r == nil {
		return harness.ErrorReply(fault.New(fault.NotFound, "submit the key with POST /v1/run", "the key was never seen"))
	}
	return http.StatusOK, r.reply
}

func (s *System) reserve(_ *harness.Call, in standinapi.ReserveRequest) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A delayed request for an earlier revision must not overwrite a later one.
	if in.Revision > s.requestedRevision {
		s.requestedRevision, s.sharedSlotLimit = in.Revision, in.Slots
	}
	s.updateEffectiveRevision()
	return http.StatusOK, standinapi.ReserveReply{Revision: s.effectiveRevision}
}

// Stats returns the counters.
func (s *System) Stats() standinapi.OldStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := standinapi.OldStats{
		RunsPerKey: make(map[string]int, len(s.startCounts)), Running: s.runningCount, SharedSlotsInUse: s.shared,
		Revision: s.effectiveRevision, SharedSlotLimit: s.sharedSlotLimit,
	}
	for k, n := range s.startCounts {
		out.RunsPerKey[k] = n
	}
	return out
}

func (s *System) reset() {
	s.faults.Reset()
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.startCounts)
}
