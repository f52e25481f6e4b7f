package jobs

import (
	"time"
)

func (r *simRun) gang() bool { return r.task.job.spec.Steps[r.task.step].Gang }

// endGang ends the other members of a gang's run.
func (s *sim) endGang(ref TaskRef, r *simRun, kind EndKind) {
	if kind != EndDone {
		kind = EndGangAborted
	}
	for _, m := range s.gangMembers[gangRunOf(ref, r.run)] {
		if m.present() {
			m.worker.finish(m.ref, kind)
		}
	}
}

// gangRun identifies one run of a gang.
type gangRun struct {
	job  string
	step int32
	run  int64
}

func gangRunOf(ref TaskRef, run int64) gangRun { return gangRun{ref.Job, ref.Step, run} }

// gangMember is a member of a gang's run on a worker, which may have ended.
type gangMember struct {
	worker *simWorker
	ref    TaskRef
	run    *simRun
}

func (m gangMember) present() bool { return m.worker.runs[m.ref] == m.run }

// members counts the members of a gang's run that are present; stuck tells
// whether stuck ones count.
func (s *sim) members(req StartRequest, stuck bool) int {
	n := 0
	for _, m := range s.gangMembers[gangRunOf(req.Task, req.Run)] {
		if m.present() && (stuck || !m.run.stuck) {
			n++
		}
	}
	return n
}

// whenAllPresent calls begin for a member once all members are present and none
// is stuck.
func (s *sim) whenAllPresent(w *simWorker, req StartRequest, r *simRun, begin func()) {
	var poll func()
	poll = func() {
		if w.runs[req.Task] != r {
			return
		}
		if s.members(req, false) == r.task.job.spec.Steps[r.task.step].Count {
			begin()
			return
		}
		s.after(10*time.Millisecond, poll)
	}
	poll()
}
