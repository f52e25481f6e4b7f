package cellpb

import (
	"fmt"
	"time"

	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/tenant"
	"catkinvalve/internal/ports"
)

// FromSpec returns the message for a job.
func FromSpec(s *jobs.Spec) *Job {
	p := &Job{Id: s.ID, Queue: s.Queue, Payload: s.Payload, Repeat: int32(s.Repeat), IntervalMs: s.Interval.Milliseconds()}
	if !s.FirstDue.IsZero() {
		p.FirstUnixMs = s.FirstDue.UnixMilli()
	}
	for i := range s.Steps {
		p.Steps = append(p.Steps, fromStep(&s.Steps[i]))
	}
	return p
}

// ToSpec returns the job of a message. It returns an error when p is nil or the job is
// invalid.
func (p *Job) ToSpec() (*jobs.Spec, error) {
	if p == nil {
		return nil, fmt.Errorf("no job")
	}
	s := &jobs.Spec{ID: p.Id, Queue: p.Queue, Payload: p.Payload, Repeat: int(p.Repeat), Interval: time.Duration(p.IntervalMs) * time.Millisecond}
	if p.FirstUnixMs != 0 {
		s.FirstDue = time.UnixMilli(p.FirstUnixMs)
	}
	for _, step := range p.Steps {
		s.Steps = append(s.Steps, step.toStep())
	}
	return s, s.Validate()
}

func fromStep(s *jobs.Step) *Step {
	p := &Step{
		Count: int32(s.Count), Size: fromSize(s.Size),
		EstimateUs: s.Estimate.Microseconds(), Gang: s.Gang, SameRack: s.SameRack, Label: s.Label, DataRack: s.DataRack,
		MaxPerWorker: int32(s.MaxPerWorker), Checkpointing: s.Checkpointing, Speculative: s.Speculative,
		LongRunning: s.LongRunning, Image: s.Image, TailTargetUs: s.TailLatencyTarget.Microseconds(), Filler: s.Filler,
		MaxUnavailable: int32(s.MaxUnavailable),
	}
	for _, before := range s.After {
		p.After = append(p.After, int32(before))
	}
	return p
}

func (p *Step) toStep() jobs.Step {
	s := jobs.Step{
		Count: int(p.Count), Size: p.Size.toSize(),
		Estimate: microseconds(p.EstimateUs), Gang: p.Gang, SameRack: p.SameRack, Label: p.Label, DataRack: p.DataRack,
		MaxPerWorker: int(p.MaxPerWorker), Checkpointing: p.Checkpointing, Speculative: p.Speculative,
		LongRunning: p.LongRunning, Image: p.Image, TailLatencyTarget: microseconds(p.TailTargetUs), Filler: p.Filler,
		MaxUnavailable: int(p.MaxUnavailable),
	}
	for _, before := range p.After {
		s.After = append(s.After, int(before))
	}
	return s
}

// microseconds returns a duration of us microseconds.
func microseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// FromQueue returns the message for a queue.
func FromQueue(q *jobs.Queue) *Queue {
	p := &Queue{Name: q.Name, Service: q.Service, Priority: int32(q.Priority), MaxAttempts: int32(q.MaxAttempts),
		Slack: q.Slack, TargetUs: q.Target.Microseconds()}
	if q.Advice != nil {
		p.Advice = &AdviceTerms{DecisionUs: q.Advice.DecisionTime.Microseconds(), PerWorkerUs: q.Advice.TimePerWorker.Microseconds(), ValidityUs: q.Advice.Validity.Microseconds()}
	}
	return p
}

// ToQueue returns the queue of a message, or the zero Queue when p is nil.
func (p *Queue) ToQueue() jobs.Queue {
	if p == nil {
		return jobs.Queue{}
	}
	q := jobs.Queue{Name: p.Name, Service: p.Service, Priority: int(p.Priority), MaxAttempts: int(p.MaxAttempts),
		Slack: p.Slack, Target: microseconds(p.TargetUs)}
	if p.Advice != nil {
		q.Advice = &jobs.AdviceConfig{DecisionTime: microseconds(p.Advice.DecisionUs), TimePerWorker: microseconds(p.Advice.PerWorkerUs), Validity: microseconds(p.Advice.ValidityUs)}
	}
	return q
}

// FromConfig returns the message for a configuration, or nil when c is nil.
func FromConfig(c *ports.CellConfig) *Config {
	if c == nil {
		return nil
	}
	p := &Config{Schema: configSchema, Version: c.Version, MaxBodyBytes: c.MaxBodyBytes, HeaderTimeoutUs: c.HeaderTimeout.Microseconds(), IdleTimeoutUs: c.IdleTimeout.Microseconds()}
	for i := range c.Routes {
		r := &c.Routes[i]
		p.Routes = append(p.Routes, &Route{Host: r.Host, Prefix: r.Prefix, Queue: FromQueue(&r.Queue), Anonymous: r.Queue.Anonymous})
	}
	p.ChecksKeys = c.Tenants != nil
	if c.Tenants != nil {
		for i := range c.Tenants.Tenants {
			p.Tenants = append(p.Tenants, fromTenant(&c.Tenants.Tenants[i]))
		}
	}
	return p
}

// configSchema is the version of Config that this daemon writes.
const configSchema = 1

// Complete reports whether a configuration contains all that this daemon needs. Daemons of earlier
// versions pass configurations on without their tenants.
func (p *Config) Complete() bool { return p.GetSchema() >= configSchema }

func fromTenant(t *tenant.Config) *Tenant {
	p := &Tenant{Name: t.Name, Weight: t.Weight, Limit: fromSize(t.Limit)}
	for _, key := range t.Keys {
		p.KeyDigests = append(p.KeyDigests, key[:])
	}
	return p
}

func (p *Tenant) toTenant() tenant.Config {
	t := tenant.Config{Name: p.Name, Weight: p.Weight, Limit: p.Limit.toSize()}
	for _, digest := range p.KeyDigests {
		if len(digest) == len(tenant.KeyDigest{}) {
			t.Keys = append(t.Keys, tenant.KeyDigest(digest))
		}
	}
	return t
}

func fromSize(s model.Size) *Size {
	return &Size{MilliCpu: s.MilliCPU, MemMb: s.MemMB, Accel: s.Accel}
}

func (p *Size) toSize() model.Size {
	return model.Size{MilliCPU: p.GetMilliCpu(), MemMB: p.GetMemMb(), Accel: p.GetAccel()}
}

// ToConfig returns the configuration of a message, or nil when p is nil.
func (p *Config) ToConfig() *ports.CellConfig {
	if p == nil {
		return nil
	}
	c := &ports.CellConfig{Version: p.Version, MaxBodyBytes: p.MaxBodyBytes, HeaderTimeout: microseconds(p.HeaderTimeoutUs), IdleTimeout: microseconds(p.IdleTimeoutUs)}
	for _, r := range p.Routes {
		q := r.Queue.ToQueue()
		q.Anonymous = r.Anonymous
		c.Routes = append(c.Routes, ports.Route{Host: r.Host, Prefix: r.Prefix, Queue: q})
	}
	if p.ChecksKeys {
		tenants := make([]tenant.Config, 0, len(p.Tenants))
		for _, t := range p.Tenants {
			tenants = append(tenants, t.toTenant())
		}
		c.Tenants = tenant.NewSet(tenants)
	}
	return c
}

// FromAccepted returns the message for the record of an accepted job.
func FromAccepted(r *jobs.AcceptedRecord) *StoredJob {
	p := &StoredJob{Job: FromSpec(&r.Spec), Queue: FromQueue(&r.Queue), Token: r.Token, AcceptedUnixMs: r.Accepted.UnixMilli(),
		Tenant: r.Spec.Tenant, Excess: r.Excess}
	if r.TenantLimit != (model.Size{}) {
		p.TenantLimit = fromSize(r.TenantLimit)
	}
	return p
}

// ToAccepted returns the record of an accepted job. It returns an error when the job is
// missing or invalid.
func (p *StoredJob) ToAccepted() (jobs.AcceptedRecord, error) {
	spec, err := p.Job.ToSpec()
	if err != nil {
		return jobs.AcceptedRecord{}, err
	}
	spec.Tenant = p.Tenant
	return jobs.AcceptedRecord{Spec: *spec, Queue: p.Queue.ToQueue(), Token: p.Token, Accepted: time.UnixMilli(p.AcceptedUnixMs),
		Excess: p.Excess, TenantLimit: p.TenantLimit.toSize()}, nil
}

// FromProgress returns the message for the record of a job's progress.
func FromProgress(r *jobs.ProgressRecord) *StoredProgress {
	p := &StoredProgress{Job: r.Job, Queue: r.Queue, Tenant: r.Tenant, Outcome: uint32(r.Outcome), RunLimit: r.RunLimit}
	for i := range r.Occurrences {
		o := &r.Occurrences[i]
		po := &StoredOccurrence{Occurrence: o.Occurrence, Finished: o.Finished}
		for j := range o.Steps {
			po.Steps = append(po.Steps, fromStepProgress(&o.Steps[j]))
		}
		p.Occurrences = append(p.Occurrences, po)
	}
	return p
}

func fromStepProgress(s *jobs.StepProgress) *StoredStep {
	p := &StoredStep{Step: s.Step, Finished: s.Finished, Done: s.Done}
	for _, f := range s.Failures {
		p.Failures = append(p.Failures, &StoredFailures{Index: f.Index, Runs: f.Runs})
	}
	for _, r := range s.Crashes {
		p.Crashes = append(p.Crashes, &StoredCrashes{Index: r.Index, Runs: r.Runs, AtStart: int32(r.AtStart), Alone: int32(r.Alone)})
	}
	return p
}

// ToProgress returns the record of a job's progress. It returns an error when the job's ID
// is missing or the outcome is unknown.
func (p *StoredProgress) ToProgress() (jobs.ProgressRecord, error) {
	if p.Job == "" || p.Outcome > uint32(jobs.OutcomeCancelled) {
		return jobs.ProgressRecord{}, fmt.Errorf("progress record of job %q with outcome %d", p.Job, p.Outcome)
	}
	r := jobs.ProgressRecord{Job: p.Job, Queue: p.Queue, Tenant: p.Tenant, Outcome: jobs.Outcome(p.Outcome), RunLimit: max(p.RunLimit, 0)}
	for _, po := range p.Occurrences {
		o := jobs.OccurrenceProgress{Occurrence: po.Occurrence, Finished: po.Finished}
		for _, ps := range po.Steps {
			o.Steps = append(o.Steps, ps.toStepProgress())
		}
		r.Occurrences = append(r.Occurrences, o)
	}
	return r, nil
}

func (p *StoredStep) toStepProgress() jobs.StepProgress {
	s := jobs.StepProgress{Step: p.Step, Finished: p.Finished, Done: p.Done}
	for _, f := range p.Failures {
		s.Failures = append(s.Failures, jobs.TaskFailures{Index: f.Index, Runs: f.Runs})
	}
	for _, r := range p.Crashes {
		s.Crashes = append(s.Crashes, jobs.TaskCrashes{Index: r.Index, Runs: r.Runs, AtStart: int(r.AtStart), Alone: int(r.Alone)})
	}
	return s
}

// FromWorkerRecord returns the message for the record of a worker.
func FromWorkerRecord(r *jobs.WorkerRecord) *StoredWorker {
	p := &StoredWorker{Id: string(r.ID), Address: r.Address, Service: r.Service, Silent: r.Silent, Jobs: r.Jobs, Capacity: fromSize(r.Capacity)}
	for _, ref := range r.Tasks {
		p.Tasks = append(p.Tasks, fromRun(ref, 0))
	}
	p.Incarnation = r.Incarnation
	for i := range r.Runs {
		run := &r.Runs[i]
		p.Runs = append(p.Runs, &InterruptedRun{Run: fromRun(run.Task, run.Run), AgeUs: run.Age.Microseconds(), Unclear: run.Unclear})
	}
	return p
}

// ToWorkerRecord returns the record of a worker.
func (p *StoredWorker) ToWorkerRecord() jobs.WorkerRecord {
	r := jobs.WorkerRecord{ID: model.WorkerID(p.Id), Address: p.Address, Service: p.Service, Silent: p.Silent, Jobs: p.Jobs, Capacity: p.Capacity.toSize()}
	for _, t := range p.Tasks {
		r.Tasks = append(r.Tasks, t.ref())
	}
	r.Incarnation = p.Incarnation
	for _, run := range p.Runs {
		r.Runs = append(r.Runs, jobs.InterruptedRun{Task: run.GetRun().ref(), Run: run.GetRun().GetRun(), Age: microseconds(run.AgeUs), Unclear: run.Unclear})
	}
	return r
}

// FromAdviceRequest returns the message for a call to the advice service.
func FromAdviceRequest(req *jobs.AdviceRequest) *AdviceCall {
	p := &AdviceCall{Seq: req.Seq, Job: req.Step.Job, Occurrence: req.Step.Occurrence, Step: req.Step.Step, TimeoutMs: req.Timeout.Milliseconds()}
	for _, id := range req.Workers {
		p.Workers = append(p.Workers, string(id))
	}
	return p
}

// ToAdviceRequest returns the call to the advice service of a message.
func (p *AdviceCall) ToAdviceRequest() jobs.AdviceRequest {
	req := jobs.AdviceRequest{Seq: p.Seq, Step: jobs.StepRef{Job: p.Job, Occurrence: p.Occurrence, Step: p.Step}, Timeout: time.Duration(p.TimeoutMs) * time.Millisecond}
	for _, id := range p.Workers {
		req.Workers = append(req.Workers, model.WorkerID(id))
	}
	return req
}

// FromAdviceResult returns the message for the result of a call to the advice service.
func FromAdviceResult(r *jobs.AdviceResult) *AdviceReply {
	p := &AdviceReply{Seq: r.Seq, Ok: r.OK, ValidityUs: r.Validity.Microseconds()}
	for _, a := range r.Allowed {
		p.Allowed = append(p.Allowed, &Allowance{Worker: string(a.Worker), Ticket: a.Ticket})
	}
	return p
}

// ToAdviceResult returns the result of a call to the advice service.
func (p *AdviceReply) ToAdviceResult() *jobs.AdviceResult {
	r := &jobs.AdviceResult{Seq: p.Seq, OK: p.Ok, Validity: microseconds(p.ValidityUs)}
	for _, a := range p.Allowed {
		r.Allowed = append(r.Allowed, jobs.Allowance{Worker: model.WorkerID(a.Worker), Ticket: a.Ticket})
	}
	return r
}
