package scheduler

import (
	"time"

	"catkinvalve/internal/core/model"
)

// Start is one task to start on a worker.
type Start struct {
	ID       model.TaskID
	Attempt  int
	Service  string
	Size     model.Size
	RunTime  time.Duration
	Deadline time.Time
	Payload  []byte
}

// StopMode tells how a running task ends.
type StopMode string

// Stop modes.
const (
	StopNow        StopMode = "stop"
	StopCheckpoint StopMode = "checkpoint"
	StopThrottle   StopMode = "throttle"
)

// Stop is one task to stop on a worker.
type Stop struct {
	ID      model.TaskID
	Attempt int
	Mode    StopMode
}

// OldRun is a request for the old system.
type OldRun struct {
	Key      string
	Service  string
	Payload  []byte
	Deadline time.Time
}

// Delegation is a request for the owner of another data centre.
type Delegation struct {
	To      model.DataCentre
	Request model.Request
	// MaybeSent is set when an earlier owner may have sent it already.
	MaybeSent bool
}

// Actions is what the daemon has to do after events were handled. The records
// are copies that other goroutines may keep.
type Actions struct {
	Starts map[model.WorkerID][]Start
	Stops  map[model.WorkerID][]Stop
	// Replicate lists changed records to send to the standbys. The daemon
	// reports each with Core.Replicated.
	Replicate []model.Record
	// Journal lists changed records to append to the log in batches.
	Journal []model.Record
	// Settled lists keys whose final fate may be told now.
	Settled []string
	// OldRuns and OldLookups are calls to the old system.
	OldRuns    []OldRun
	OldLookups []string
	// Delegations and DelegateCancels are calls to other data centres.
	Delegations     []Delegation
	DelegateCancels []Delegation
}

func (a *Actions) start(w model.WorkerID, s Start) {
	if a.Starts == nil {
		a.Starts = map[model.WorkerID][]Start{}
	}
	a.Starts[w] = append(a.Starts[w], s)
}

func (a *Actions) stop(w model.WorkerID, s Stop) {
	if a.Stops == nil {
		a.Stops = map[model.WorkerID][]Stop{}
	}
	a.Stops[w] = append(a.Stops[w], s)
}

// Empty reports whether there is nothing to do.
func (a *Actions) Empty() bool {
	return len(a.Starts) == 0 && len(a.Stops) == 0 && len(a.Replicate) == 0 && len(a.Journal) == 0 &&
		len(a.Settled) == 0 && len(a.OldRuns) == 0 && len(a.OldLookups) == 0 &&
		len(a.Delegations) == 0 && len(a.DelegateCancels) == 0
}
