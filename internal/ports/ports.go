// Package ports declares the interfaces between the daemon and everything outside its
// process, with the types that they exchange. The adapters implement the interfaces;
// tests use small fakes.
package ports

import (
	"context"
	"time"

	"catkinvalve/internal/core/model"
)

// LogRecord is one record of a log stream.
type LogRecord struct {
	Offset int64
	Time   time.Time
	Data   []byte
}

// LogPage is the result of a read. Records before offset First were deleted by
// retention; Next is the offset from which to continue reading.
type LogPage struct {
	First   int64
	Next    int64
	Records []LogRecord
}

// Log is the platform's append-only log service.
type Log interface {
	// Append appends data to a stream and returns its offset. When it returns an error of
	// kind log_unavailable, the append may nevertheless have been executed.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns up to limit records from an offset on. It waits up to wait for the
	// first one.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (LogPage, error)
}

// InstanceKind tells whether an instance is a worker or a daemon.
type InstanceKind string

// Kinds of instances.
const (
	KindWorker InstanceKind = "worker"
	KindDaemon InstanceKind = "daemon"
)

// InstanceState is the state of an instance as the platform reports it.
type InstanceState string

// States of instances.
const (
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving"
)

// Instance is an entry of the platform's instance list.
type Instance struct {
	ID         string           `json:"id"`
	Kind       InstanceKind     `json:"kind"`
	Addr       string           `json:"addr"`
	DataCentre model.DataCentre `json:"data_centre"`
	Region     string           `json:"region"`
	Rack       string           `json:"rack,omitempty"`
	State      InstanceState    `json:"state"`
}

// InstanceList is the platform's list of instances, which is updated with a delay.
type InstanceList interface {
	// Instances returns all instances of the list.
	Instances(ctx context.Context) ([]Instance, error)
}

// Lease is the exclusive right of one daemon to start and stop tasks on one worker.
type Lease struct {
	Holder string `json:"holder"`
	Term   uint64 `json:"term"`
}

// Grant is a worker's response when it grants a lease.
type Grant struct {
	// BootID changes with each start of the worker.
	BootID   string
	Capacity model.Size
	Rack     string
	// Tasks are the tasks that run on the worker.
	Tasks []model.RunningTask
}

// LeaseHeldError is returned by Worker.Acquire while the lease of another holder has not
// expired.
type LeaseHeldError struct {
	Lease Lease
	// Remaining is the time until Lease expires.
	Remaining time.Duration
}

// Error implements the error interface.
func (e *LeaseHeldError) Error() string {
	return "lease_lost: worker lease is held by " + e.Lease.Holder + "; wait until it expires"
}

// StartTask is the start of one task in a batch of starts.
type StartTask struct {
	ID      model.TaskID
	Attempt int
	Service string
	Size    model.Size
	// RunTime is the run time that the request states; with zero the task runs until it is
	// stopped.
	RunTime time.Duration
	// StartWithin limits the time between sending the batch and starting the task; zero
	// means no limit.
	StartWithin time.Duration
	Payload     []byte
}

// StopMode is the way in which a worker stops or slows down a task.
type StopMode string

// Stop modes.
const (
	StopNow        StopMode = "stop"
	StopCheckpoint StopMode = "checkpoint"
	StopThrottle   StopMode = "throttle"
)

// StopTask is the stop of one task in a batch of stops.
type StopTask struct {
	ID      model.TaskID
	Attempt int
	Mode    StopMode
}

// TaskEvent is a state change of a task. A worker reports its events in order of Seq.
type TaskEvent struct {
	Seq     int64
	ID      model.TaskID
	Attempt int
	State   model.TaskState
	OK      bool
	Answer  []byte
}

// SyncResult is a worker's response to a lease renewal.
type SyncResult struct {
	BootID string
	Events []TaskEvent
	Usage  []model.Usage
}

// StartRefusal is a task that a worker refused to start.
type StartRefusal struct {
	ID     model.TaskID
	Reason model.Reason
}

// Worker is the client of one worker. A method returns an error of kind lease_lost when
// the lease is no longer current, and of kind worker_unavailable when it is unknown
// whether the call was executed.
type Worker interface {
	// Acquire requests the lease for ttl. It returns a *LeaseHeldError while another
	// holder has it. When the lease expires, the worker keeps its tasks running for
	// another taskGrace.
	Acquire(ctx context.Context, lease Lease, ttl, taskGrace time.Duration) (Grant, error)
	// Release ends the lease before it expires.
	Release(ctx context.Context, lease Lease) error
	// Sync renews the lease for ttl, acknowledges events up to sequence number ack and
	// returns later ones. It waits up to wait for the first one.
	Sync(ctx context.Context, lease Lease, ttl time.Duration, ack int64, wait time.Duration) (SyncResult, error)
	// Start is idempotent for the same task and attempt.
	Start(ctx context.Context, lease Lease, tasks []StartTask) ([]StartRefusal, error)
	// Stop stops tasks or slows them down, each in the way of its StopMode.
	Stop(ctx context.Context, lease Lease, tasks []StopTask) error
}

// WorkerDialer returns the client of the worker at an address.
type WorkerDialer interface {
	Worker(addr string) Worker
}

// OldRequestState is the state of a request in the old system.
type OldRequestState struct {
	// Known is false when the old system has never received the request's key.
	Known  bool
	Fate   model.Fate
	OK     bool
	Answer []byte
}

// OldSystem is the scheduler that catkinvalve replaces.
type OldSystem interface {
	// Run submits a request. The old system stores keys and runs each key only once.
	Run(ctx context.Context, key, service string, payload []byte) (OldRequestState, error)
	// Lookup returns the state of the request with the given key.
	Lookup(ctx context.Context, key string) (OldRequestState, error)
	// Reserve limits the old system to the given number of slots on each shared worker.
	// It returns the configuration revision that the old system applies.
	Reserve(ctx context.Context, revision uint64, slots int64) (uint64, error)
}
