package peerpb

import (
	"net/http"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/limits"
)

// Valid values in decoded messages. An unknown fate must be rejected, because every fate
// except queued and running is treated as final.
var (
	fates = setOf(model.Queued, model.Running, model.Done, model.NotRun, model.Cancelled, model.Unknown)
	sides = setOf(model.NewSide, model.OldSide)
	// The class is empty in records that were recovered from a worker alone.
	classes    = setOf(model.Interactive, model.Service, model.AllAtOnce, model.Batch, "")
	taskStates = setOf(model.TaskQueued, model.TaskStarting, model.TaskRunning, model.TaskStopping,
		model.TaskDone, model.TaskFailed, model.TaskStopped, model.TaskLost)
)

func setOf[T comparable](values ...T) map[T]bool {
	set := make(map[T]bool, len(values))
	for _, v := range values {
		set[v] = true
	}
	return set
}

// knownKind reports whether this version defines the kind. All defined kinds except internal
// have an HTTP status other than 500.
func knownKind(kind fault.Kind) bool {
	return kind == fault.Internal || (&fault.Error{Kind: kind}).HTTPStatus() != http.StatusInternalServerError
}

func outOfBounds(field string) error {
	return fault.New(fault.Malformed, "check that all daemons run compatible versions",
		"field %s of a peer's message is out of bounds", field)
}

// checkRequest returns an error of kind malformed when a value of a request is out of bounds.
// RequestFromProto checks the size.
func checkRequest(p *Request) error {
	switch {
	case !limits.ValidKey(p.GetKey()):
		return outOfBounds("key")
	case !limits.ValidName(p.GetService()):
		return outOfBounds("service")
	case !limits.ValidName(p.GetTeam()):
		return outOfBounds("team")
	case !classes[model.Class(p.GetClass())]:
		return outOfBounds("class")
	case p.GetTasks() < 0 || p.GetTasks() > limits.MaxTasks:
		return outOfBounds("tasks")
	case p.GetRunMs() < 0 || p.GetRunMs() > limits.MaxRunTime.Milliseconds():
		return outOfBounds("run_ms")
	case !limits.ValidUnixMilli(p.GetDeadlineMs()):
		return outOfBounds("deadline_ms")
	case !limits.ValidUnixMilli(p.GetIssuedAtMs()):
		return outOfBounds("issued_at_ms")
	}
	return nil
}

// checkRecord returns an error of kind malformed when a value of a record is out of bounds.
// RecordFromProto checks the request and the tasks.
func checkRecord(p *Record) error {
	switch {
	case !sides[model.Side(p.GetSide())]:
		return outOfBounds("side")
	case !fates[model.Fate(p.GetFate())]:
		return outOfBounds("fate")
	case !limits.ValidName(p.GetReason()):
		return outOfBounds("reason")
	case !limits.ValidName(p.GetDelegatedTo()):
		return outOfBounds("delegated_to")
	case len(p.GetTasks()) > limits.MaxTasks:
		return outOfBounds("tasks")
	case !limits.ValidUnixMilli(p.GetAcceptedMs()):
		return outOfBounds("accepted_ms")
	case !limits.ValidUnixMilli(p.GetStartedMs()):
		return outOfBounds("started_ms")
	case !limits.ValidUnixMilli(p.GetEndedMs()):
		return outOfBounds("ended_ms")
	}
	return nil
}

// truncate shortens text from a peer for error messages.
func truncate(text string) string { return text[:min(len(text), limits.MaxNameBytes)] }
