package jobs

import (
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/tenant"
)

// Verdicts of a plan.
const (
	// PlanAccepted means that the job would be accepted.
	PlanAccepted PlanVerdict = "accepted"
	// PlanRefused means that the job would be refused, for the reason in the plan.
	PlanRefused PlanVerdict = "refused"
	// PlanUnavailable means that the job would be refused because the store takes no records.
	PlanUnavailable PlanVerdict = "unavailable"
	// PlanKnown means that a job with the same ID is known, so that a submission would repeat it.
	PlanKnown PlanVerdict = "known"
	// PlanConflict means that the ID is that of a job of another tenant.
	PlanConflict PlanVerdict = "conflict"
)

// PlanVerdict is what would happen to a job if it were submitted.
type PlanVerdict string

// Plan is what would happen to a job if it were submitted now.
type Plan struct {
	Job     string      `json:"job"`
	Queue   string      `json:"queue"`
	Service string      `json:"service,omitempty"`
	Verdict PlanVerdict `json:"verdict"`
	// Reason and RetryAfterMS are set if the job would be refused.
	Reason       model.Reason `json:"reason,omitempty"`
	RetryAfterMS int64        `json:"retry_after_ms,omitempty"`
	// Excess means that the job exceeds the rate of its tenant and comes after all others.
	Excess bool `json:"excess,omitempty"`
	// ListUnread means that the leader has not read the list of workers yet, for which a
	// submission would wait a short time.
	ListUnread bool `json:"list_unread,omitempty"`
	// Tenant is nil if the job belongs to no tenant.
	Tenant *PlanTenant `json:"tenant,omitempty"`
	// ObjectiveMS is the time from now in which the job should be completed.
	ObjectiveMS int64 `json:"objective_ms,omitempty"`
	// Steps is empty unless the job would be accepted.
	Steps []PlanStep `json:"steps,omitempty"`
}

// PlanTenant is the state of the job's tenant.
type PlanTenant struct {
	Name      string     `json:"name"`
	Weight    float64    `json:"weight"`
	Limit     model.Size `json:"limit"`
	Running   model.Size `json:"running"`
	Unproven  model.Size `json:"unproven"`
	Share     float64    `json:"share"`
	FairShare float64    `json:"fair_share"`
}

// Reasons why tasks of a planned step would not start now, besides those of steps of real jobs.
const (
	// planAfterSteps: the step depends on earlier ones.
	planAfterSteps model.Reason = "after_steps"
	// planNotDue: the first occurrence of the job is not due yet.
	planNotDue model.Reason = "not_due"
	// planNotExamined: the plan would take too long to find workers for more tasks.
	planNotExamined model.Reason = "not_examined"
)

// What a worker lacks for a task of a planned step, besides the states of workers.
const (
	lacksLabel    model.Reason = "label"
	lacksRoom     model.Reason = "room"
	lacksReserved model.Reason = "reserved"
	// lacksAdvice: the advice service has not been asked whether the worker may run the step.
	lacksAdvice model.Reason = "advice_unknown"
	// lacksEligibility: the worker is isolated because of a task that may crash it, or takes no
	// fillers at present.
	lacksEligibility model.Reason = "isolated"
)

// PlanStep is what would happen to one step of a job.
type PlanStep struct {
	Step  int   `json:"step"`
	Tasks int   `json:"tasks"`
	Gang  bool  `json:"gang,omitempty"`
	After []int `json:"after,omitempty"`
	// EarliestStartMS is the time from now until the step can start if its job waits for nothing but
	// its own steps, and LatestStartMS the time by which it should start; negative if that is past.
	EarliestStartMS int64 `json:"earliest_start_ms"`
	LatestStartMS   int64 `json:"latest_start_ms"`
	// RunMS is the expected run time of a task; 0 if it is not known.
	RunMS int64 `json:"run_ms"`
	// RoomMS is the time after which the tasks that find no worker now are expected to find one, for
	// a gang all of its members; -1 if that is not known.
	RoomMS int64 `json:"room_ms,omitempty"`
	// Starting counts the tasks that would start now, and Wait says why the others would not.
	Starting int          `json:"starting"`
	Wait     model.Reason `json:"wait,omitempty"`
	// Workers lists the workers on which tasks would start, at most maxPlannedWorkers.
	Workers []PlanWorker `json:"workers,omitempty"`
	// Lacking counts the workers of the service on which no task could start, by what they lack.
	Lacking model.Counts `json:"lacking,omitempty"`
}

// PlanWorker is a worker on which tasks would start.
type PlanWorker struct {
	Worker model.WorkerID `json:"worker"`
	Tasks  int            `json:"tasks"`
}

// Plan returns what would happen to a job that was submitted now. It decides with the functions that
// decide on a real job and changes nothing. Its cost is limited by planBudget, besides that of the
// checks that a submission makes too. The spec must be valid.
func (c *Core) Plan(now time.Time, spec *Spec) Plan {
	p := Plan{Job: spec.ID, Queue: spec.Queue, Verdict: PlanRefused, ListUnread: !c.workerListRead}
	if c.jobs[spec.ID] != nil {
		p.Verdict = PlanKnown
		if !c.VisibleTo(spec.ID, spec.Tenant) {
			p.Verdict, p.Reason = PlanConflict, "id_in_use"
		}
		return p
	}
	q := c.queues[spec.Queue]
	a := c.planAccount(now, spec)
	if a != nil {
		p.Tenant = c.planTenant(a)
	}
	if r := c.refusal(now, spec, q); r != nil {
		p.Reason, p.RetryAfterMS = r.reason, r.retryAfter.Milliseconds()
		if r.kind == ResponseStoreUnavailable {
			p.Verdict = PlanUnavailable
		}
		return p
	}
	p.Service = q.Service
	switch p.Excess, p.Reason = c.tenantVerdict(now, spec, q, a, (*tenant.Rate).Allows); p.Reason {
	case "":
		p.Verdict = PlanAccepted
		c.planSteps(now, &p, spec, q, a)
	case model.ReasonExceedsLimit:
		p.RetryAfterMS = retryAfterNeverFits.Milliseconds()
	case model.ReasonTenantRate:
		p.RetryAfterMS = a.rate.NextRetryAfter(now).Milliseconds()
	}
	return p
}

// planAccount returns the account of the job's tenant, as accountOf does, but does not add one that
// is not known to the accounts.
func (c *Core) planAccount(now time.Time, spec *Spec) *account {
	if spec.Tenant == "" {
		return nil
	}
	if a := c.accounts[spec.Tenant]; a != nil {
		return a
	}
	return newAccount(now, spec.Tenant)
}

func (c *Core) planTenant(a *account) *PlanTenant {
	s := c.tenantStatus(a)
	return &PlanTenant{Name: s.Name, Weight: s.Weight, Limit: s.Limit, Running: s.Running, Unproven: s.Unproven, Share: s.Share, FairShare: s.FairShare}
}
