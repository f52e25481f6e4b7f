package scheduler

import (
	"catkinvalve/internal/core/model"
)

// recordStart records that a task starts on a worker and checks the invariants for
// starts.
func (s *sim) recordStart(id model.TaskID) {
	for _, w := range s.workers {
		for _, a := range w.running() {
			if a.id == id {
				s.t.Fatalf("%s starts while attempt %d runs on %s", id, a.attempt, w.id)
			}
		}
	}
	s.startCounts[id]++
	if !s.idempotent(id.Key) && s.startCounts[id] > 1 {
		s.t.Fatalf("the non-idempotent %s started %d times", id, s.startCounts[id])
	}
	if f := s.reportedFates[id.Key]; f != "" && f != model.Unknown {
		s.t.Fatalf("%s starts after its fate %s was reported", id, s.reportedFates[id.Key])
	}
}

// idempotent reports whether a request is idempotent, also if its record may be lost.
func (s *sim) idempotent(key string) bool {
	return s.requests[key].Idempotent || s.possiblyLost[key].Idempotent
}

// check checks the invariants that hold after every step.
func (s *sim) check() {
	for _, w := range s.workers {
		if n := len(w.running()); n > simSlots {
			s.t.Fatalf("%s runs %d tasks on %d slots", w.id, n, simSlots)
		}
	}
	c := s.core()
	if c == nil {
		return
	}
	for _, v := range c.Workers(s.now) {
		// Outdated records may place too much on a worker until it sends its inventory.
		// It gets no start before that.
		if v.State != "not_leased" && !v.Reserved.Fits(oneSlot.Times(simSlots)) {
			s.t.Fatalf("%s has %+v reserved for %v", v.Worker.ID, v.Reserved, c.index.Tasks(v.Worker.ID))
		}
	}
	for key := range s.requests {
		s.checkFate(key)
	}
}

// checkFate checks that the record of a key exists, and that its final fate never
// changes and is not not_run after a start.
func (s *sim) checkFate(key string) {
	rec, err := s.core().Fate(key)
	if _, ok := s.possiblyLost[key]; err != nil && ok && s.reportedFates[key] == "" {
		delete(s.requests, key)
		return
	}
	if err != nil {
		s.t.Fatalf("the record of %s is lost: %v", key, err)
	}
	if before := s.reportedFates[key]; before != "" && rec.Fate != before {
		s.t.Fatalf("the fate of %s changed from %s to %s", key, before, rec.Fate)
	}
	if !rec.Fate.Terminal() {
		return
	}
	if s.reportedFates[key] == "" && rec.Fate == model.NotRun {
		for id, n := range s.startCounts {
			if id.Key == key && n > 0 {
				s.t.Fatalf("%s was reported as not_run but a task has started", key)
			}
		}
	}
	s.reportedFates[key] = rec.Fate
}

// checkIdle checks that no reservation, queue item or quota charge is left when all
// requests have ended.
func (s *sim) checkIdle() {
	c := s.core()
	for _, v := range c.Workers(s.now) {
		if v.Reserved != (model.Size{}) {
			s.t.Fatalf("%s still has %+v reserved", v.Worker.ID, v.Reserved)
		}
	}
	if len(c.Waiting()) > 0 {
		s.t.Fatalf("the queue is not empty: %+v", c.Waiting())
	}
	if c.quotaCharged("team") {
		s.t.Fatal("quota of the team is still charged")
	}
}
