package jobs

import (
	"slices"
	"time"
)

// call delivers a request to a worker and its answer back, subject to the
// active faults. Late requests are executed seconds later and never answered, unless the
// process that received them has ended. A request that names no incarnation reaches whichever
// process is there. The status passed to answer is CallOK, CallNoAnswer or that of a refusal.
func (s *sim) call(w *simWorker, incarnation int64, execute func() bool, answer func(status CallStatus), wait time.Duration) {
	late := s.rng.Float64() < s.faults.late
	receiver := w.incarnation
	delay := simNetworkDelay
	if late {
		delay = 2*time.Second + time.Duration(s.rng.Float64()*10*float64(time.Second))
	}
	answered := false
	status := CallOK
	reply := s.ifSameLeader(func() {
		if !answered {
			answered = true
			answer(status)
		}
	})
	s.after(delay, func() {
		if refused, ok := w.refusal(); ok {
			status = refused
			s.after(simNetworkDelay, reply)
			return
		}
		if w.unreachable() || late && w.incarnation != receiver {
			return
		}
		if incarnation != 0 && w.incarnation != incarnation {
			status = CallRestarted
			s.after(simNetworkDelay, reply)
			return
		}
		if !execute() || late || s.rng.Float64() < s.faults.lost {
			return
		}
		s.after(simNetworkDelay, reply)
	})
	s.after(wait, s.ifSameLeader(func() {
		if !answered {
			answered = true
			answer(CallNoAnswer)
		}
	}))
}

func (s *sim) sync(req SyncRequest) {
	s.syncCount++
	w := s.byID[req.Worker]
	token, sent := s.token, s.now
	var result SyncResult
	limit := req.Wait + 450*time.Millisecond
	answered := false
	finish := s.ifSameLeader(func() {
		if answered {
			return
		}
		answered = true
		result.SentAt = sent
		s.core.HandleSyncResult(s.now, &result)
	})
	read := func() {
		result = SyncResult{Worker: req.Worker, Status: CallOK, ClockMs: w.clockMs(), Incarnation: w.incarnation}
		if token < w.token {
			result = SyncResult{Worker: req.Worker, Status: CallFenced}
		}
		for _, ref := range w.refs() {
			result.Running = append(result.Running, RunReport{Task: ref, Run: w.runs[ref].run, Percent: w.runs[ref].percent(s.now)})
		}
		result.Ends = slices.Clone(w.unackedEnds[:min(len(w.unackedEnds), s.endsPerPage)])
		s.after(simNetworkDelay, finish)
	}
	s.after(simNetworkDelay, func() {
		if refused, ok := w.refusal(); ok {
			result = SyncResult{Worker: req.Worker, Status: refused}
			s.after(simNetworkDelay, finish)
			return
		}
		if w.unreachable() {
			return
		}
		if req.Incarnation != 0 && req.Incarnation != w.incarnation {
			result = SyncResult{Worker: req.Worker, Status: CallRestarted}
			s.after(simNetworkDelay, finish)
			return
		}
		if token >= w.token {
			w.token = token
			w.ack(req.AckCursor)
			w.extendLease(req.LeaseDeadlineMs)
		}
		if req.Wait == 0 || len(w.unackedEnds) > 0 {
			read()
			return
		}
		done := false
		once := func() {
			if !done && !w.unreachable() {
				done = true
				read()
			}
		}
		w.pollers = append(w.pollers, once)
		s.after(req.Wait, once)
	})
	s.after(limit, s.ifSameLeader(func() {
		if !answered {
			answered = true
			s.core.HandleSyncResult(s.now, &SyncResult{Worker: req.Worker, SentAt: sent, Status: CallNoAnswer})
		}
	}))
}

func (s *sim) start(req StartRequest) {
	w := s.byID[req.Worker]
	token := s.token
	status := CallOK
	execute := func() bool {
		status = w.startNow(req, token)
		return true
	}
	unanswered, begin, pause := false, s.now, simStartRetryPause
	var try func(n int)
	try = func(n int) {
		s.call(w, req.Incarnation, execute, func(outcome CallStatus) {
			if outcome == CallNoAnswer && n < maxStartRetries {
				unanswered = true
				try(n + 1)
				return
			}
			if outcome == CallNotSent && s.now.Sub(begin) < simStartRetryLimit {
				pause *= 2
				s.after(pause/2, s.ifSameLeader(func() { try(n) }))
				return
			}
			r := &StartResult{Worker: req.Worker, Task: req.Task, Run: req.Run, Status: outcome}
			if outcome == CallOK {
				r.Status, r.ClockMs = status, w.clockMs()
			}
			if unanswered && r.Status != CallOK && r.Status != CallWrongIncarnation {
				r.Status = CallNoAnswer
			}
			s.core.HandleStartResult(s.now, r)
		}, 350*time.Millisecond)
	}
	try(0)
}

const (
	// simStartRetryPause is the pause after a start that could not be sent; it doubles.
	simStartRetryPause = 15 * time.Millisecond
	// simStartRetryLimit is how long a start that cannot be sent is repeated.
	simStartRetryLimit = 1200 * time.Millisecond
)

func (s *sim) stop(req StopRequest) {
	w := s.byID[req.Worker]
	token, sentAt := s.token, s.now
	status := CallOK
	s.call(w, req.Incarnation, func() bool {
		if token < w.token {
			status = CallFenced
			return true
		}
		w.token = token
		w.highestRun[req.Task] = max(w.highestRun[req.Task], req.Run)
		if r := w.runs[req.Task]; r != nil && r.run <= req.Run && !r.stopping {
			r.stopping = true
			s.after(time.Duration(s.rng.Float64()*400*float64(time.Millisecond)), func() {
				if w.runs[req.Task] == r {
					w.finish(req.Task, EndStopped)
				}
			})
		}
		return true
	}, func(outcome CallStatus) {
		r := &StopResult{Worker: req.Worker, Task: req.Task, Run: req.Run, Status: outcome, SentAt: sentAt}
		if outcome == CallOK {
			r.Status, r.ClockMs = status, w.clockMs()
		}
		s.core.HandleStopResult(s.now, r)
	}, 400*time.Millisecond)
}
