package peerpb

import (
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/limits"
)

// maxAttempts limits the attempt counter of a decoded task. Attempts are counted per request
// and end after 3; the limit is higher to permit other attempt limits.
const maxAttempts = 1 << 20

// SizeToProto converts a size to a message.
func SizeToProto(s model.Size) *Size {
	return &Size{MilliCpu: s.MilliCPU, MemMb: s.MemMB, Accel: s.Accel, Slots: s.Slots, Conns: s.Conns}
}

// SizeFromProto converts a message to a size. A nil message is the zero size. It returns an
// error of kind malformed when an amount is out of bounds.
func SizeFromProto(p *Size) (model.Size, error) {
	s := model.Size{MilliCPU: p.GetMilliCpu(), MemMB: p.GetMemMb(), Accel: p.GetAccel(), Slots: p.GetSlots(), Conns: p.GetConns()}
	for _, amount := range s.Vector() {
		if amount < 0 || amount > limits.MaxDimension {
			return model.Size{}, outOfBounds("size")
		}
	}
	return s, nil
}

// RequestToProto converts a request to a message. Times are rounded down to milliseconds.
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

// RequestFromProto converts a message to a request. It returns an error of kind malformed
// when a value is out of bounds.
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

// TaskRecordToProto converts the record of a task to a message.
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

// TaskRecordFromProto converts a message to the record of a task. It returns an error of
// kind malformed when a value is out of bounds.
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

// RecordToProto converts a record to a message. Times are rounded down to milliseconds.
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

// RecordFromProto converts a message to a record. It returns an error of kind malformed when
// a value is out of bounds.
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

// FaultToProto converts an error to a message, which does not contain the error's cause. It
// returns nil when err is nil.
func FaultToProto(err error) *Fault {
	if err == nil {
		return nil
	}
	e := fault.From(err)
	return &Fault{Kind: string(e.Kind), Message: e.Message, Remedy: e.Remedy}
}

// FaultFromProto converts a message to an error. It returns nil for a nil message, and an
// error of kind internal for a kind that this version does not define.
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

// unixMillis returns a time in Unix milliseconds, and 0 for the zero time. For the first
// moment of 1970 and earlier times it returns 1, because 0 means that there is no time.
func unixMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return max(t.UnixMilli(), 1)
}

// timeFromUnixMillis returns the UTC time of Unix milliseconds, and the zero time for 0.
func timeFromUnixMillis(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms).UTC()
}

// nilIfEmpty returns nil for an empty slice. Protobuf does not distinguish empty from nil.
func nilIfEmpty(b []byte) []byte {
	if len(b) == 0 {
		return nil
	}
	return b
}
