package jobs

import (
	"time"

	"catkinvalve/internal/core/model"
)

const (
	// waitReportDelay is how long no task of a ready step has had a run before the
	// reason is reported.
	waitReportDelay = 2 * time.Second
	// waitReportInterval is the time between two reports on the waiting steps.
	waitReportInterval = time.Second
	// maxWaitReports limits the steps in one report.
	maxWaitReports = 20
)

// Reasons why a ready step was not started in the last round.
const (
	waitForRecovery model.Reason = "runs_of_earlier_leader"
	waitForStops    model.Reason = "gang_members_stopping"
	waitForBackoff  model.Reason = "backoff"
	waitForCapacity model.Reason = "no_worker_with_room"
	// waitForSoundWorker: tasks that must not fail again wait for a worker on which the last run has
	// not failed.
	waitForSoundWorker model.Reason = "no_sound_worker"
	// waitForLimit: the tenant of the job has as much running as it may.
	waitForLimit model.Reason = "tenant_cap"
	waitForGang  model.Reason = "yields_to_gang"
	// waitForWorkers: the usable workers that may run the gang are too few or too small for all
	// its members, even once all runs but those of lasting tasks have ended.
	waitForWorkers model.Reason = "gang_exceeds_workers"
	// waitForTurn: the gangs before this one need all free capacity.
	waitForTurn      model.Reason = "gangs_before_need_all"
	waitForAdvice    model.Reason = "advice_in_flight"
	waitForRelay     model.Reason = "no_adviser_free"
	waitForCandidate model.Reason = "no_worker_to_ask_about"
	waitForTicket    model.Reason = "advice_asked"
	// waitForCrashRecord: crashes under its tasks are not stored yet.
	waitForCrashRecord model.Reason = "crash_not_stored"
	// waitForRunNumbers: the next range of run numbers is not stored yet.
	waitForRunNumbers model.Reason = "run_numbers_not_stored"
	// waitForIsolation: tasks that may crash their worker wait until they can start apart
	// from other jobs.
	waitForIsolation model.Reason = "no_isolated_worker"
)

// waitState says since when and why a ready step has no run.
type waitState struct {
	// since is when the step was first seen without a run; zero while it has one.
	since  time.Time
	reason model.Reason
}

// updateWait records whether the step waits without any run.
func (s *step) updateWait(now time.Time) {
	switch {
	case s.pending < s.unfinished || !s.canStart():
		s.wait.since = time.Time{}
	case s.wait.since.IsZero():
		s.wait.since = now
	}
}

// reportWaits reports the most urgent steps that have waited long, with the reason.
func (c *Core) reportWaits(now time.Time) {
	if now.Sub(c.lastWaitReport) < waitReportInterval {
		return
	}
	c.lastWaitReport = now
	reported := 0
	for _, s := range c.ready {
		if s.wait.since.IsZero() || now.Sub(s.wait.since) < waitReportDelay {
			continue
		}
		if reported++; reported > maxWaitReports {
			return
		}
		c.event(Event{Name: EventStepWaiting, Job: s.job().spec.ID, Queue: s.job().queue.Name, Task: &TaskRef{Job: s.job().spec.ID, Occurrence: s.occ.ordinal, Step: s.index},
			Reason: s.wait.reason, Age: now.Sub(s.wait.since), Count: s.pending})
	}
}
