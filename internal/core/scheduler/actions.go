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

// StopMode says how a worker stops or slows a running task.
type StopMode string

// Stop modes. StopCheckpoint lets the task save its progress before it ends.
// StopThrottle reduces the resources of the task, which continues to run.
const (
	StopNow        StopMode = "stop"
	StopCheckpoint StopMode = "checkpoint"
	StopThrottle   StopMode = "throttle"
)

// Stop is one task to stop or throttle on a worker.
type Stop struct {
	ID      model.TaskID
	Attempt int
	Mode    StopMode
}

// OldSystemRun is a request to send to the old system.
type OldSystemRun struct {
	Key      string
	Service  string
	Payload  []byte
	Deadline time.Time
}

// Delegation is a request to submit to, or cancel at, the owner of another data
// centre.
type Delegation struct {
	To      model.DataCentre
	Request model.Request
	// MaybeSent is set when an earlier owner may have sent the delegation
	// already, so that a failed call does not prove that it never ran.
	MaybeSent bool
}

// Actions is the work that the daemon has to do after calls to the core. The
// records are copies that other goroutines may keep.
type Actions struct {
	Starts map[model.WorkerID][]Start
	Stops  map[model.WorkerID][]Stop
	// RecordsToReplicate lists changed records to send to the standbys. The
	// daemon reports each acknowledgement with Core.HandleReplicated.
	RecordsToReplicate []model.Record
	// RecordsToJournal lists changed records to append to the log in batches.
	RecordsToJournal []model.Record
	// FinalizedKeys lists keys whose final fate callers may be told now.
	FinalizedKeys []string
	// OldSystemRuns and OldSystemLookups are calls to the old system. A lookup
	// asks whether it knows a key.
	OldSystemRuns    []OldSystemRun
	OldSystemLookups []string
	// Delegations and DelegationCancels are calls to other data centres.
	Delegations       []Delegation
	DelegationCancels []Delegation
}

func (a *Actions) addStart(w model.WorkerID, s Start) {
	if a.Starts == nil {
		a.Starts = map[model.WorkerID][]Start{}
	}
	a.Starts[w] = append(a.Starts[w], s)
}

func (a *Actions) addStop(w model.WorkerID, s Stop) {
	if a.Stops == nil {
		a.Stops = map[model.WorkerID][]Stop{}
	}
	a.Stops[w] = append(a.Stops[w], s)
}

// Empty reports whether there is nothing to do.
func (a *Actions) Empty() bool {
	return len(a.Starts) == 0 && len(a.Stops) == 0 && len(a.RecordsToReplicate) == 0 && len(a.RecordsToJournal) == 0 &&
		len(a.FinalizedKeys) == 0 && len(a.OldSystemRuns) == 0 && len(a.OldSystemLookups) == 0 &&
		len(a.Delegations) == 0 && len(a.DelegationCancels) == 0
}
