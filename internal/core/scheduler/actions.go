package scheduler

import (
	"time"

	"catkinvalve/internal/core/model"
)

// Start is one task to start on a worker.
type TaskStart struct {
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
type TaskStop struct {
	ID      model.TaskID
	Attempt int
	Mode    StopMode
}

// OldRun is a request for the old system.
type OldSystemRun struct {
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
	Starts map[model.WorkerID][]TaskStart
	Stops  map[model.WorkerID][]TaskStop
	// Replicate lists changed records to send to the standbys. The daemon
	// reports each with Core.Replicated.
	RecordsToReplicate []model.Record
	// Journal lists changed records to append to the log in batches.
	RecordsToJournal []model.Record
	// Settled lists keys whose final fate may be told now.
	FinalizedKeys []string
	// OldRuns and OldLookups are calls to the old system.
	OldSystemRuns    []OldSystemRun
	OldSystemLookups []string
	// Delegations and DelegateCancels are calls to other data centres.
	Delegations       []Delegation
	DelegationCancels []Delegation
}

func (a *Actions) addStart(w model.WorkerID, s TaskStart) {
	if a.Starts == nil {
		a.Starts = map[model.WorkerID][]TaskStart{}
	}
	a.Starts[w] = append(a.Starts[w], s)
}

func (a *Actions) addStop(w model.WorkerID, s TaskStop) {
	if a.Stops == nil {
		a.Stops = map[model.WorkerID][]TaskStop{}
	}
	a.Stops[w] = append(a.Stops[w], s)
}

// Empty reports whether there is nothing to do.
func (a *Actions) Empty() bool {
	return len(a.Starts) == 0 && len(a.Stops) == 0 && len(a.RecordsToReplicate) == 0 && len(a.RecordsToJournal) == 0 &&
		len(a.FinalizedKeys) == 0 && len(a.OldSystemRuns) == 0 && len(a.OldSystemLookups) == 0 &&
		len(a.Delegations) == 0 && len(a.DelegationCancels) == 0
}
