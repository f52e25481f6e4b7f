package jobs

import (
	"fmt"
	"time"

	"catkinvalve/internal/core/model"
)

const (
	// simStarvationPeriod is how often the simulation looks for starving jobs.
	simStarvationPeriod = 100 * time.Millisecond
	// simStarvationLimit is how long a job may have nothing running although it could.
	simStarvationLimit = 3 * time.Second
	// simSettleTime is the time after the end of the traffic from which no job may starve,
	// whatever faults there were.
	simSettleTime = 14 * time.Second
	// simCalmTime is the time after the end of all faults that the leader has to recover
	// before the limit counts.
	simCalmTime = 4 * time.Second
	// simRoomFactor is how many tasks of a step must have room for its job to count as
	// starving.
	simRoomFactor = 2
)

// checkStarvation records a violation for each accepted job that had nothing running for
// simStarvationLimit although the turn of one of its steps had come, there was room for it
// on the workers that its policy allows, and less than half of the capacity was in use.
func (s *sim) checkStarvation() {
	s.after(simStarvationPeriod, s.checkStarvation)
	free, used, total := s.healthyRoom()
	spare := used.Times(2).Fits(total)
	for _, j := range s.unended() {
		step := s.starvingStep(j, free)
		switch {
		case !spare || step < 0 || !s.mustServe():
			j.starvingSince = time.Time{}
		case j.starvingSince.IsZero():
			j.starvingSince = s.now
		case !j.starvationReported && s.now.Sub(j.starvingSince) >= simStarvationLimit:
			j.starvationReported = true
			def := j.spec.Steps[step]
			s.recordViolation("LOST", "job %s of %s, step %d of %d tasks (gang %v, %v): could run for %v and does not, with %v of %v in use; %s",
				j.spec.ID, j.class.queue.Name, step, def.Count, def.Gang, def.Size, s.now.Sub(j.starvingSince), used, total, s.coreView(j, step))
		}
	}
}

// mustServe reports whether the time counts in which a job could run and does not.
func (s *sim) mustServe() bool {
	settled := !s.trafficEndedAt.IsZero() && s.now.Sub(s.trafficEndedAt) >= simSettleTime-simStarvationLimit
	return s.hasLeader && (settled || s.now.Sub(s.faults.lastEnd) > simCalmTime)
}

// coreView describes what the core knows of a step that does not start.
func (s *sim) coreView(j *simJob, index int) string {
	c := s.core
	known := c.jobs[j.spec.ID]
	if known == nil || known.occurrences[0] == nil {
		return "not known to the core"
	}
	st := known.occurrences[0].steps[index]
	p := c.pool(st)
	tickets, held := 0, 0
	for _, t := range st.advice.allowed {
		if t.valid(s.now) {
			tickets++
		}
	}
	for _, w := range c.reservedWorkers {
		for _, r := range w.reservations {
			if r.held {
				held += r.copies
			}
		}
	}
	relays, long, busy := len(c.relays.list), 0, 0
	for _, r := range c.relays.list {
		long += r.long
		busy += min(r.calls, 1)
	}
	return fmt.Sprintf("core: queued %v, %d of %d pending, runs known %v, yields %v, gang waits %v, admitted %v, aborting %v, backoff %v, %d allowed, %d tickets, %d denied, %d calls (%d in flight), "+
		"next request in %v, planned start in %v, %d held; pool of %d workers, %d reserved, %d copies held; %d relays, %d busy, %d long",
		st.queued, st.pending, len(st.tasks), c.runsKnown(st), c.yields(s.now, st), p.gangWaits, st.admitted, st.gang.aborting, st.backoffUntil.After(s.now),
		len(st.advice.allowed), tickets, len(st.advice.denied), st.advice.calls, st.advice.callsInFlight, positive(st.advice.nextRequestAt.Sub(s.now)), st.plannedStart.Sub(s.now), len(st.held),
		len(p.workers), len(c.reservedWorkers), held, relays, busy, long)
}

func positive(d time.Duration) time.Duration { return max(d, 0) }

// unended returns the accepted jobs that have to end, in order of submission, and drops the
// others from the list that it looks through.
func (s *sim) unended() []*simJob {
	kept := s.watched[:0]
	var out []*simJob
	for _, j := range s.watched {
		if j.refused || j.finalState != "" || !j.cancelledAt.IsZero() {
			continue
		}
		kept = append(kept, j)
		if j.accepted {
			out = append(out, j)
		}
	}
	s.watched = kept
	return out
}

// healthyRoom returns the free capacity of each worker that can run tasks, and what is used
// of the capacity of all of them.
func (s *sim) healthyRoom() (free map[model.WorkerID]model.Size, used, total model.Size) {
	free = make(map[model.WorkerID]model.Size, len(s.workers))
	for _, w := range s.workers {
		if w.unreachable() || w.unlisted || w.draining || w.failing || w.stalled {
			continue
		}
		total = total.Add(w.capacity)
		room := w.capacity
		for _, r := range w.runs {
			room, used = room.Sub(r.size), used.Add(r.size)
		}
		free[w.id] = room
	}
	return free, used, total
}

// starvingStep returns a step of a job with nothing running whose turn has come and for
// which there is room; -1 if there is none.
func (s *sim) starvingStep(j *simJob, free map[model.WorkerID]model.Size) int {
	left := make([]int, len(j.spec.Steps))
	for _, t := range j.tasks {
		if t.running > 0 {
			return -1
		}
		if !t.done {
			left[t.step]++
		}
	}
	if j.attemptsExhausted() {
		return -1
	}
	for i := range j.spec.Steps {
		ready := left[i] > 0
		for _, dep := range j.spec.Steps[i].After {
			ready = ready && left[dep] == 0
		}
		if ready && s.hasRoom(j, i, free) {
			return i
		}
	}
	return -1
}

// hasRoom reports whether there is room for simRoomFactor tasks of a step, or for the whole
// gang.
func (s *sim) hasRoom(j *simJob, step int, free map[model.WorkerID]model.Size) bool {
	def := &j.spec.Steps[step]
	needed := simRoomFactor
	if def.Gang {
		needed = def.Count
	}
	if !s.tenants.servesStep(j, step, needed) {
		return false
	}
	ref := StepRef{Job: j.spec.ID, Step: int32(step)}
	for _, w := range s.workers {
		room, healthy := free[w.id]
		if !healthy || j.class.queue.Advice != nil && !simAllowed(ref, w.id, j.class.allowedShare) {
			continue
		}
		n := copiesIn(room, def.Size)
		if def.MaxPerWorker > 0 {
			n = min(n, def.MaxPerWorker)
		}
		if needed -= n; needed <= 0 {
			return true
		}
	}
	return false
}
