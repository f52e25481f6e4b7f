package cellpb

import (
	"slices"
	"time"

	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/core/model"
)

// AddSync adds a sync to the calls.
func (p *WorkerCalls) AddSync(id uint64, req *jobs.SyncRequest) {
	p.Syncs = append(p.Syncs, &SyncCall{Target: newTarget(id, req.Worker, req.Address, req.Incarnation), LeaseDeadlineMs: req.LeaseDeadlineMs,
		AckCursor: req.AckCursor, WaitMs: req.Wait.Milliseconds()})
}

// AddStart adds a start to the calls. Equal payloads are stored once.
func (p *WorkerCalls) AddStart(id uint64, req *jobs.StartRequest) {
	payload := len(p.Payloads) - 1
	if payload < 0 || p.Payloads[payload] != req.Payload {
		payload = slices.Index(p.Payloads, req.Payload)
	}
	if payload < 0 {
		payload = len(p.Payloads)
		p.Payloads = append(p.Payloads, req.Payload)
	}
	p.Starts = append(p.Starts, &StartCall{Target: newTarget(id, req.Worker, req.Address, req.Incarnation), Run: fromRun(req.Task, req.Run), Payload: int32(payload),
		LeaseDeadlineMs: req.LeaseDeadlineMs, Checkpoint: req.Checkpoint, Ticket: req.Ticket, TimeoutMs: req.Timeout.Milliseconds()})
}

// AddStop adds a stop to the calls.
func (p *WorkerCalls) AddStop(id uint64, req *jobs.StopRequest) {
	p.Stops = append(p.Stops, &StopCall{Target: newTarget(id, req.Worker, req.Address, req.Incarnation), Run: fromRun(req.Task, req.Run)})
}

// AddPace adds a change of pace to the calls.
func (p *WorkerCalls) AddPace(id uint64, req *jobs.PaceRequest) {
	p.Paces = append(p.Paces, &PaceCall{Target: newTarget(id, req.Worker, req.Address, req.Incarnation), Run: fromRun(req.Task, req.Run), Percent: int32(req.Percent)})
}

func newTarget(id uint64, worker model.WorkerID, address string, incarnation int64) *CallTarget {
	return &CallTarget{Id: id, Worker: string(worker), Address: address, Incarnation: incarnation}
}

func fromRun(ref jobs.TaskRef, run int64) *TaskRun {
	return &TaskRun{Job: ref.Job, Occurrence: ref.Occurrence, Step: ref.Step, Index: ref.Index, Run: run}
}

func (p *TaskRun) ref() jobs.TaskRef {
	return jobs.TaskRef{Job: p.GetJob(), Occurrence: p.GetOccurrence(), Step: p.GetStep(), Index: p.GetIndex()}
}

func (p *CallTarget) workerID() model.WorkerID { return model.WorkerID(p.GetWorker()) }

// ToRequest returns the sync of a message.
func (p *SyncCall) ToRequest() jobs.SyncRequest {
	return jobs.SyncRequest{Worker: p.Target.workerID(), Address: p.Target.GetAddress(), Incarnation: p.Target.GetIncarnation(), LeaseDeadlineMs: p.LeaseDeadlineMs,
		AckCursor: p.AckCursor, Wait: milliseconds(p.WaitMs)}
}

// ToRequest returns the start of a message. payloads are those of its group of calls; the
// bool is false if they do not contain the payload.
func (p *StartCall) ToRequest(payloads []string) (jobs.StartRequest, bool) {
	if p.Payload < 0 || int(p.Payload) >= len(payloads) {
		return jobs.StartRequest{}, false
	}
	return jobs.StartRequest{Worker: p.Target.workerID(), Address: p.Target.GetAddress(), Incarnation: p.Target.GetIncarnation(), Task: p.Run.ref(), Run: p.Run.GetRun(),
		Payload: payloads[p.Payload], LeaseDeadlineMs: p.LeaseDeadlineMs, Checkpoint: p.Checkpoint, Ticket: p.Ticket, Timeout: milliseconds(p.TimeoutMs)}, true
}

// ToRequest returns the stop of a message.
func (p *StopCall) ToRequest() jobs.StopRequest {
	return jobs.StopRequest{Worker: p.Target.workerID(), Address: p.Target.GetAddress(), Incarnation: p.Target.GetIncarnation(), Task: p.Run.ref(), Run: p.Run.GetRun()}
}

// ToRequest returns the change of pace of a message.
func (p *PaceCall) ToRequest() jobs.PaceRequest {
	return jobs.PaceRequest{Worker: p.Target.workerID(), Address: p.Target.GetAddress(), Incarnation: p.Target.GetIncarnation(), Task: p.Run.ref(), Run: p.Run.GetRun(), Percent: int(p.Percent)}
}

// milliseconds returns a duration of ms milliseconds.
func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// FromSyncResult returns the message for the result of the sync with an ID.
func FromSyncResult(id uint64, r *jobs.SyncResult) *SyncReport {
	p := &SyncReport{Id: id, Status: uint32(r.Status), ClockMs: r.ClockMs, Incarnation: r.Incarnation, RowErrors: r.RowErrors}
	for i := range r.Running {
		run := &r.Running[i]
		p.Running = append(p.Running, &RunState{Run: fromRun(run.Task, run.Run), Checkpoint: run.Checkpoint, Percent: int32(run.Percent), Load: run.Load})
	}
	for i := range r.Ends {
		e := &r.Ends[i]
		p.Ends = append(p.Ends, &RunEnd{Seq: e.Seq, Run: fromRun(e.Task, e.Run), Kind: uint32(e.Kind), Checkpoint: e.Checkpoint})
	}
	return p
}

// ToResult returns the result of a sync with a worker that the leader sent at the time
// sentAt. A message with an unknown status or kind of end counts as no answer.
func (p *SyncReport) ToResult(worker model.WorkerID, sentAt time.Time) jobs.SyncResult {
	r := jobs.SyncResult{Worker: worker, Status: toStatus(p.Status), SentAt: sentAt, ClockMs: p.ClockMs, Incarnation: p.Incarnation, RowErrors: p.RowErrors}
	for _, run := range p.Running {
		r.Running = append(r.Running, jobs.RunReport{Task: run.Run.ref(), Run: run.Run.GetRun(), Checkpoint: run.Checkpoint, Percent: int(run.Percent), Load: run.Load})
	}
	for _, e := range p.Ends {
		if e.Kind > uint32(jobs.EndGangIncomplete) {
			return jobs.SyncResult{Worker: worker, Status: jobs.CallNoAnswer, SentAt: sentAt}
		}
		r.Ends = append(r.Ends, jobs.RunEnd{Seq: e.Seq, Task: e.Run.ref(), Run: e.Run.GetRun(), Kind: jobs.EndKind(e.Kind), Checkpoint: e.Checkpoint})
	}
	return r
}

// CallStatus returns the outcome of a call. An unknown status counts as no answer.
func (p *CallResult) CallStatus() jobs.CallStatus { return toStatus(p.Status) }

func toStatus(n uint32) jobs.CallStatus {
	if n > uint32(jobs.CallRestarted) {
		return jobs.CallNoAnswer
	}
	return jobs.CallStatus(n)
}
