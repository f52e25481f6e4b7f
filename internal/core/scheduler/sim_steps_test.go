package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"catkinvalve/internal/core/membership"
	"catkinvalve/internal/core/model"
)

// pickWorker draws a worker.
func (s *sim) pickWorker(label string) *simWorker {
	return s.workers[rapid.IntRange(0, simWorkers-1).Draw(s.t, label)]
}

// pickKey draws the key of an accepted request and skips the step if there is none.
func (s *sim) pickKey(label string) string {
	keys := slices.Sorted(maps.Keys(s.requests))
	if len(keys) == 0 {
		s.t.Skip("no request")
	}
	return rapid.SampledFrom(keys).Draw(s.t, label)
}

// submit submits a new request of a random service.
func (s *sim) submit() {
	s.lastKey++
	service := rapid.SampledFrom([]string{"batch", "once", "gang", "quick"}).Draw(s.t, "service")
	r := model.Request{Key: fmt.Sprintf("dc-a:%d", s.lastKey), Service: service, Idempotent: service != "once", Fingerprint: 1, Payload: []byte("p")}
	if service != "gang" {
		r.Tasks = rapid.IntRange(1, 2).Draw(s.t, "tasks")
	}
	if rapid.Bool().Draw(s.t, "with a deadline") {
		r.Deadline = s.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(s.t, "deadline")) * time.Second)
	}
	if _, err := s.core().Submit(s.now, r); err == nil {
		s.requests[r.Key] = r
	}
}

// deliver delivers a random start that is in flight to its worker. The answer may be
// lost; then the start may arrive a second time.
func (s *sim) deliver() {
	if len(s.inFlight) == 0 {
		s.t.Skip("no start in flight")
	}
	i := rapid.IntRange(0, len(s.inFlight)-1).Draw(s.t, "start")
	f := s.inFlight[i]
	s.inFlight = slices.Delete(s.inFlight, i, i+1)
	current := f.term == s.term && f.worker.term == s.term
	if rapid.Bool().Draw(s.t, "answer is lost") {
		s.acceptStart(f)
		f.answerLost = true
		s.inFlight = append(s.inFlight, f)
		return
	}
	switch {
	case s.acceptStart(f):
	case current && !f.answerLost && !f.worker.unreachable && f.worker.boot == f.boot:
		s.core().HandleTaskNotStarted(s.now, f.worker.id, f.start.ID, f.start.Attempt)
	}
}

// report delivers a worker's oldest report to the owner, possibly twice.
func (s *sim) report() {
	w := s.pickWorker("worker")
	if len(w.undelivered) == 0 || w.term != s.term || w.unreachable {
		s.t.Skip("no report to deliver")
	}
	oldest := w.undelivered[0]
	if !rapid.Bool().Draw(s.t, "reported twice") {
		w.undelivered = w.undelivered[1:]
	}
	s.core().HandleTaskReport(s.now, w.id, oldest)
}

// finish ends a random running task.
func (s *sim) finish() {
	w := s.pickWorker("worker")
	running := w.running()
	if len(running) == 0 {
		s.t.Skip("nothing runs")
	}
	t := w.tasks[rapid.SampledFrom(running).Draw(s.t, "task")]
	s.end(w, t, rapid.SampledFrom([]model.TaskState{model.TaskDone, model.TaskDone, model.TaskFailed}).Draw(s.t, "end"))
}

// crash restarts a worker: its tasks end and it forgets them. The owner learns of it
// with the next grant.
//
// The step is skipped while the records have no second copy, because then the only
// trace of the tasks may be in the worker's inventory. The design does not cover the
// loss of both.
func (s *sim) crash(w *simWorker) {
	if !s.standbyUp || s.core().InDoubt() {
		s.t.Skip("records have no second copy")
	}
	w.boot++
	w.term, w.undelivered = 0, nil
	w.tasks = map[simAttempt]*model.RunningTask{}
	s.core().HandleLeaseLost(s.now, w.id)
}

// advance advances the time. Leases are renewed meanwhile, except for unreachable
// workers.
func (s *sim) advance(d time.Duration) {
	s.now = s.now.Add(d)
	for _, w := range s.workers {
		if w.term == s.term && !w.unreachable {
			w.stopAt = s.now.Add(simStopTimeout)
			s.core().HandleLeaseRenewed(s.now, w.id)
			continue
		}
		if s.now.After(w.stopAt) {
			for _, a := range w.running() {
				s.end(w, w.tasks[a], model.TaskStopped)
			}
		}
	}
	s.core().Tick(s.now)
}

// resubmitLost submits a request again whose record may be lost.
func (s *sim) resubmitLost() {
	keys := slices.Sorted(maps.Keys(s.possiblyLost))
	if len(keys) == 0 {
		s.t.Skip("no record was lost")
	}
	r := s.possiblyLost[rapid.SampledFrom(keys).Draw(s.t, "key")]
	_, known := s.core().Fate(r.Key)
	if _, err := s.core().Submit(s.now, r); err != nil {
		return
	}
	s.requests[r.Key] = r
	if known != nil && r.Idempotent {
		// The fate of the new record is only about this submission.
		maps.DeleteFunc(s.startCounts, func(id model.TaskID, _ int) bool { return id.Key == r.Key })
	}
}

// reportRemotes reports the state of all delegated requests, of which some run.
func (s *sim) reportRemotes() {
	for _, key := range slices.Sorted(maps.Keys(s.remoteRecords)) {
		s.reportRemote(key, rapid.Bool().Draw(s.t, "runs elsewhere"))
	}
}

// reportRemote reports the state of a delegated request. With run set, the request is
// run to its end first.
func (s *sim) reportRemote(key string, run bool) {
	r := s.remoteRecords[key]
	if run && !r.Fate.Terminal() {
		r.Fate, r.OK = model.Done, true
		s.startCounts[model.TaskID{Key: key}]++
	}
	copied := *r
	s.core().HandleDelegationReport(s.now, DelegationReport{Key: key, Record: &copied})
	if r.Fate == model.NotRun {
		delete(s.remoteRecords, key)
	}
}

// actions returns the random steps by name. A step occurs more often if it is listed
// under several names.
func (s *sim) actions() map[string]func(*rapid.T) {
	step := func(fn func()) func(*rapid.T) {
		return func(*rapid.T) { fn(); s.run() }
	}
	return map[string]func(*rapid.T){
		"submit":  step(s.submit),
		"submit2": step(s.submit),
		"again": step(func() {
			if _, err := s.core().Submit(s.now, s.requests[s.pickKey("key")]); err != nil {
				s.t.Fatalf("a repeated submission was refused: %v", err)
			}
		}),
		"cancel": step(func() {
			if _, err := s.core().Cancel(s.now, s.pickKey("key")); err != nil {
				s.t.Fatal(err)
			}
		}),
		"deliver":  step(s.deliver),
		"deliver2": step(s.deliver),
		"report":   step(s.report),
		"report2":  step(s.report),
		"finish":   step(s.finish),
		"remote": step(func() {
			load := membership.Load{Free: oneSlot.Times(2), LargestFree: oneSlot.Times(2), Workers: 1}
			s.core().SetRemoteLoad(s.now, dcOther, "r", load)
			s.reportRemotes()
		}),
		"crash": step(func() { s.crash(s.pickWorker("worker")) }),
		"unreachable": step(func() {
			w := s.pickWorker("worker")
			w.unreachable = true
			s.core().HandleLeaseLost(s.now, w.id)
		}),
		"grant": step(func() { s.term++; s.regrant() }),
		"takeover": step(func() {
			s.takeOver(1 - s.owner)
		}),
		"lose owner":   step(s.loseOwner),
		"retry lost":   step(s.resubmitLost),
		"standby away": step(func() { s.standbyUp = false }),
		"standby back": step(func() {
			s.standbyUp = true
			s.syncStandby()
		}),
		"long wait":   step(func() { s.advance(20 * time.Second) }),
		"again owner": step(func() { s.takeOver(s.owner) }),
		"drain":       step(func() { s.core().Drain(s.now, s.workers[0].id) }),
		"tick":        step(func() { s.advance(time.Duration(rapid.IntRange(1, 3000).Draw(s.t, "ms")) * time.Millisecond) }),
		"":            func(*rapid.T) { s.check() },
	}
}

// regrant grants one worker's lease again with a higher term, as an agent of the daemon
// does after it lost the lease. The owner's own term stays the same.
func (s *sim) regrant() {
	s.term--
	w := s.pickWorker("worker")
	s.dropInFlight(w)
	s.grant(w)
}

// dropInFlight drops the starts that are in flight to a worker, which refuses them after
// its lease was granted again with a higher term.
func (s *sim) dropInFlight(w *simWorker) {
	s.inFlight = slices.DeleteFunc(s.inFlight, func(f inFlightStart) bool { return f.worker == w })
}
