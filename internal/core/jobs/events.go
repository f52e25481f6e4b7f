package jobs

import (
	"time"

	"catkinvalve/internal/core/model"
)

// EventName names a decision or a change of belief in the log.
type EventName string

// Events.
const (
	EventRefused      EventName = "job_refused"
	EventAccepted     EventName = "job_accepted"
	EventCancelled    EventName = "job_cancelled"
	EventEnded        EventName = "job_ended"
	EventStarted      EventName = "run_started"
	EventStartRefused EventName = "start_refused"
	EventStartUnclear EventName = "start_unclear"
	EventRunEnded     EventName = "run_ended"
	EventRunLost      EventName = "run_lost"
	EventRunAdopted   EventName = "run_adopted"
	EventRunStopped   EventName = "run_stop_sent"
	EventPaced        EventName = "run_paced"
	EventAdviceAsked  EventName = "advice_asked"
	EventAdvised      EventName = "advice_answered"
	EventWorkerState  EventName = "worker_state"
	EventWorkerLife   EventName = "worker_new_life"
	EventLeaseEnded   EventName = "worker_lease_ended"
	EventGateOpen     EventName = "recovery_complete"
	EventFenced       EventName = "token_refused"
	EventAnomaly      EventName = "anomaly"
)

// Event is one decision or change of belief, with what decided it.
type Event struct {
	Name   EventName
	Job    string
	Queue  string
	Task   *TaskRef
	Run    int64
	Worker model.WorkerID
	Reason model.Reason
	Detail string
	// Age is the time since what the event refers to: the submission of a job,
	// the start of a run, the last answer of a worker.
	Age time.Duration
	// Count is a number of tasks, workers or jobs, depending on the event.
	Count int
}

func (c *Core) event(e Event) { c.out.Events = append(c.out.Events, e) }

func (c *Core) runEvent(name EventName, r *run, age time.Duration, detail string) {
	ref := r.ref
	c.event(Event{Name: name, Job: ref.Job, Task: &ref, Run: r.number, Worker: r.worker.ID, Age: age, Detail: detail})
}
