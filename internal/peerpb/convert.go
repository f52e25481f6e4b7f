package peerpb

import (
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/limits"
)

// maxAttempts bounds the attempt counter of a decoded task. Attempts are
// counted per request and end after 3; the bound leaves room for other limits.
const maxAttempts = 1 << 20

// SizeToProto converts a size.
func SizeToProto(s model.Size) *Size {
	return &Size{MilliCpu: s.MilliCPU, MemMb: s.MemMB, Accel: s.Accel, Slots: s.Slots, Conns: s.Conns}
}

// SizeFromProto converts a size and refuses amounts out of bounds. A missing
// size is zero.
func SizeFromProto(p *Size) (model.Size, error) {
	s := model.Size{MilliCPU: p.GetMilliCpu(), MemMB: p.GetMemMb(), Accel: p.GetAccel(), Slots: p.GetSlots(), Conns: p.GetConns()}
	for _, amount := range s.Vector() {
		if amount < 0 || amount > limits.MaxDimension {
			return model.Size{}, outOfBounds("size")
		}
	}
	return s, nil
}

// RequestToProto converts a request. Times are rounded down to milliseconds.
func RequestToProto(r *model.Request) *Request {
	return &Request{
		Key:         r.Key,
		Service:     r.Service,
		Team:        r.Team,
		Class:       string(r.Class),
		Size:        SizeToProto(r.Size),
		Tasks:       int32(r.Tasks),
		Idempotent:  r.Idempotent,
		RunMs:       r.RunTime.Milliseconds(),
		DeadlineMs:  unixMillis(r.Deadline),
		IssuedAtMs:  unixMillis(r.IssuedAt),
		Payload:     r.Payload,
		Fingerprint: r.Fingerprint,
	}
}

// RequestFromProto converts a request and refuses values out of bounds.
func RequestFromProto(p *Request) (model.Request, error) {
	if err := checkRequest(p); err != nil {
		return model.Request{}, err
	}
	size, err := SizeFromProto(p.GetSize())
	if err != nil {
		return model.Request{}, err
	}
	return model.Request{
		Key:         p.GetKey(),
		Service:     p.GetService(),
		Team:        p.GetTeam(),
		Class:       model.Class(p.GetClass()),
		Size:        size,
		Tasks:       int(p.GetTasks()),
		Idempotent:  p.GetIdempotent(),
		RunTime:     time.Duration(p.GetRunMs()) * time.Millisecond,
		Deadline:    timeFromUnixMillis(p.GetDeadlineMs()),
		IssuedAt:    timeFromUnixMillis(p.GetIssuedAtMs()),
		Payload:     nilIfEmpty(p.GetPayload()),
		Fingerprint: p.GetFingerprint(),
	}, nil
}

// TaskRecordToProto converts the record of a task.
func TaskRecordToProto(t *model.TaskRecord) *TaskRecord {
	return &TaskRecord{
		State:   string(t.State),
		Worker:  string(t.Worker),
		Attempt: int32(t.Attempt),
		Planned: SizeToProto(t.Planned),
		Answer:  t.Answer,
		Boot:    t.Boot,
	}
}

// TaskRecordFromProto converts the record of a task and refuses values out of
// bounds.
func TaskRecordFromProto(p *TaskRecord) (model.TaskRecord, error) {
	switch {
	case !taskStates[model.TaskState(p.GetState())]:
		return model.TaskRecord{}, outOfBounds("state")
	case !limits.ValidName(p.GetWorker()):
		return model.TaskRecord{}, outOfBounds("worker")
	case !limits.ValidName(p.GetBoot()):
		return model.TaskRecord{}, outOfBounds("boot")
	case p.GetAttempt() < 0 || p.GetAttempt() > maxAttempts:
		return model.TaskRecord{}, outOfBounds("attempt")
	}
	planned, err := SizeFromProto(p.GetPlanned())
	if err != nil {
		return model.TaskRecord{}, err
	}
	return model.TaskRecord{
		State:   model.TaskState(p.GetState()),
		Worker:  model.WorkerID(p.GetWorker()),
		Attempt: int(p.GetAttempt()),
		Planned: planned,
		Answer:  nilIfEmpty(p.GetAnswer()),
		Boot:    p.GetBoot(),
	}, nil
}

// RecordToProto converts a record.
func RecordToProto(r *model.Record) *Record {
	p := &Record{
		Request:     RequestToProto(&r.Request),
		Side:        string(r.Side),
		Fate:        string(r.Fate),
		Ok:          r.OK,
		Reason:      string(r.Reason),
		Answer:      r.Answer,
		Term:        r.Term,
		Version:     r.Version,
		AcceptedMs:  unixMillis(r.Accepted),
		StartedMs:   unixMillis(r.Started),
		EndedMs:     unixMillis(r.Ended),
		DelegatedTo: string(r.DelegatedTo),

		CancelRequested: r.CancelRequested,
		AnswerDropped:   r.AnswerDropped,
		PayloadMissing:  r.PayloadMissing,
	}
	for i := range r.Tasks {
		p.Tasks = append(p.Tasks, TaskRecordToProto(&r.Tasks[i]))
	}
	return p
}

// RecordFromProto converts a record and refuses values out of bounds.
func RecordFromProto(p *Record) (model.Record, error) {
	if err := checkRecord(p); err != nil {
		return model.Record{}, err
	}
	request, err := RequestFromProto(p.GetRequest())
	if err != nil {
		return model.Record{}, err
	}
	tasks, err := tasksFromProto(p.GetTasks())
	if err != nil {
		return model.Record{}, err
	}
	return model.Record{
		Request:     request,
		Side:        model.Side(p.GetSide()),
		Fate:        model.Fate(p.GetFate()),
		OK:          p.GetOk(),
		Reason:      model.Reason(p.GetReason()),
		Answer:      nilIfEmpty(p.GetAnswer()),
		Tasks:       tasks,
		Term:        p.GetTerm(),
		Version:     p.GetVersion(),
		Accepted:    timeFromUnixMillis(p.GetAcceptedMs()),
		Started:     timeFromUnixMillis(p.GetStartedMs()),
		Ended:       timeFromUnixMillis(p.GetEndedMs()),
		DelegatedTo: model.DataCentre(p.GetDelegatedTo()),

		CancelRequested: p.GetCancelRequested(),
		AnswerDropped:   p.GetAnswerDropped(),
		PayloadMissing:  p.GetPayloadMissing(),
	}, nil
}

func tasksFromProto(ps []*TaskRecord) ([]model.TaskRecord, error) {
	if len(ps) == 0 {
		return nil, nil
	}
	tasks := make([]model.TaskRecord, len(ps))
	for i, p := range ps {
		var err error
		if tasks[i], err = TaskRecordFromProto(p); err != nil {
			return nil, err
		}
	}
	return tasks, nil
}

// FaultToProto converts an error for a peer. The cause stays in this process.
func FaultToProto(err error) *Fault {
	if err == nil {
		return nil
	}
	e := fault.From(err)
	return &Fault{Kind: string(e.Kind), Message: e.Message, Remedy: e.Remedy}
}

// FaultFromProto converts a peer's error. It returns nil for a missing fault
// and kind internal for a kind that this version does not know.
func FaultFromProto(p *Fault) *fault.Error {
	if p == nil {
		return nil
	}
	e := &fault.Error{Kind: fault.Kind(p.GetKind()), Message: p.GetMessage(), Remedy: p.GetRemedy()}
	if !knownKind(e.Kind) {
		e.Message = "a peer reported the unknown error kind " + truncate(p.GetKind()) + ": " + e.Message
		e.Kind = fault.Internal
	}
	return e
}

// millis returns Unix milliseconds, and 0 for the zero time. A time before
// 1970 becomes 1, because 0 means none.
func unixMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return max(t.UnixMilli(), 1)
}

func timeFromUnixMillis(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms).UTC()
}

// bytesOf returns nil for an empty slice, as protobuf does not tell them apart.
func nilIfEmpty(b []byte) []byte {
	if len(b) == 0 {
		return nil
	}
	return b
}
