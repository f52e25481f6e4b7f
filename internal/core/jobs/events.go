package jobs

import (
	"time"

	"catkinvalve/internal/core/model"
)

// EventName is the name of a log event.
type EventName string

// Event names.
const (
	EventJobRefused       EventName = "job_refused"
	EventJobAccepted      EventName = "job_accepted"
	EventJobCancelled     EventName = "job_cancelled"
	EventJobEnded         EventName = "job_ended"
	EventStepWaiting      EventName = "step_waiting"
	EventRunStarted       EventName = "run_started"
	EventStartRefused     EventName = "start_refused"
	EventStartUnclear     EventName = "start_unclear"
	EventRunEnded         EventName = "run_ended"
	EventRunLost          EventName = "run_lost"
	EventRunAdopted       EventName = "run_adopted"
	EventRunStopSent      EventName = "run_stop_sent"
	EventRunPaced         EventName = "run_paced"
	EventAdviceAsked      EventName = "advice_asked"
	EventAdviceAnswered   EventName = "advice_answered"
	EventWorkerState      EventName = "worker_state"
	EventWorkerRestarted  EventName = "worker_new_life"
	EventWorkerCrashed    EventName = "worker_crashed"
	EventWorkerLeaseEnded EventName = "worker_lease_ended"
	EventRecoveryComplete EventName = "recovery_complete"
	EventRecoveryDelayed  EventName = "recovery_delayed"
	EventTokenRefused     EventName = "token_refused"
	EventRunTimesUnusable EventName = "run_times_unusable"
	EventAnomaly          EventName = "anomaly"
	// EventOccurrencesDeferred: due occurrences are created later, for lack of memory.
	EventOccurrencesDeferred EventName = "occurrences_deferred"
)

// Event is one decision of the leader, or one change in its view of a worker or
// run, with the facts that caused it.
type Event struct {
	Name   EventName
	Job    string
	Queue  string
	Task   *TaskRef
	Run    int64
	Worker model.WorkerID
	Tenant string
	Reason model.Reason
	Detail string
	// Age is the time since what the event refers to: the submission of a job,
	// the start of a run, the last answer of a worker.
	Age time.Duration
	// Count is a number of runs, workers or jobs, depending on the event.
	Count int
}

func (c *Core) event(e Event) { c.out.Events = append(c.out.Events, e) }

// runEvent adds an event about a run to the actions.
func (c *Core) runEvent(name EventName, r *run, age time.Duration, detail string) {
	ref := r.ref
	c.event(Event{Name: name, Job: ref.Job, Task: &ref, Run: r.number, Worker: r.worker.ID, Age: age, Detail: detail})
}
