// Package ports declares the interfaces between the daemon and everything
// outside its process. The adapters implement them; tests use small fakes.
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

// LogPage is the answer to a read. Records before First were dropped by
// retention; Next is the offset to read from next.
type LogPage struct {
	First   int64
	Next    int64
	Records []LogRecord
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds data to a stream and returns its offset. After an error with
	// kind log_unavailable the append may still have taken effect.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns records from an offset on and waits up to wait for the first.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (LogPage, error)
}

// InstanceKind tells workers from daemons in the instance list.
type InstanceKind string

// Kinds of instances.
const (
	KindWorker InstanceKind = "worker"
	KindDaemon InstanceKind = "daemon"
)

// InstanceState is the platform's view of an instance.
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

// InstanceList is the platform's lagging list of instances.
type InstanceList interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// Lease is the right of one daemon to give work to one worker.
type Lease struct {
	Holder string `json:"holder"`
	Term   uint64 `json:"term"`
}

// Grant is a worker's answer to a granted lease.
type Grant struct {
	BootID   string
	Capacity model.Size
	Rack     string
	Tasks    []model.RunningTask
}

// HeldError is returned by Acquire when another holder's lease has not lapsed.
type LeaseHeldError struct {
	Lease     Lease
	Remaining time.Duration
}

// Error implements the error interface.
func (e *LeaseHeldError) Error() string {
	return "lease_lost: worker lease is held by " + e.Lease.Holder + "; wait for it to lapse"
}

// StartTask is one task start of a batch.
type StartTask struct {
	ID      model.TaskID
	Attempt int
	Service string
	Size    model.Size
	RunTime time.Duration
	// StartWithin limits the time between sending and the start; zero means none.
	StartWithin time.Duration
	Payload     []byte
}

// StopMode tells a worker how to end a task.
type StopMode string

// Stop modes.
const (
	StopNow        StopMode = "stop"
	StopCheckpoint StopMode = "checkpoint"
	StopThrottle   StopMode = "throttle"
)

// StopTask is one task of a stop batch.
type StopTask struct {
	ID      model.TaskID
	Attempt int
	Mode    StopMode
}

// TaskEvent is a state change of a task that a worker reports in order of Seq.
type TaskEvent struct {
	Seq     int64
	ID      model.TaskID
	Attempt int
	State   model.TaskState
	OK      bool
	Answer  []byte
}

// SyncResult is a worker's answer to a renewal.
type SyncResult struct {
	BootID string
	Events []TaskEvent
	Usage  []model.Usage
}

// StartRefusal tells that the worker did not start a task.
type StartRefusal struct {
	ID     model.TaskID
	Reason model.Reason
}

// Worker is the platform's API of one worker. A method returns an error of
// kind lease_lost when the lease is no longer current, and of kind
// worker_unavailable when the effect is not known.
type Worker interface {
	Acquire(ctx context.Context, lease Lease, ttl, taskGrace time.Duration) (Grant, error)
	Release(ctx context.Context, lease Lease) error
	// Sync renews the lease, acknowledges events up to ack and returns later ones.
	Sync(ctx context.Context, lease Lease, ttl time.Duration, ack int64, wait time.Duration) (SyncResult, error)
	// Start is idempotent for the same task and attempt.
	Start(ctx context.Context, lease Lease, tasks []StartTask) ([]StartRefusal, error)
	Stop(ctx context.Context, lease Lease, tasks []StopTask) error
}

// WorkerDialer returns the client of a worker's address.
type WorkerDialer interface {
	Worker(addr string) Worker
}

// OldState is what the old system knows about a key.
type OldRequestState struct {
	Known  bool
	Fate   model.Fate
	OK     bool
	Answer []byte
}

// OldSystem is the old scheduler.
type OldSystem interface {
	// Run submits a request. The old system remembers keys and runs each once.
	Run(ctx context.Context, key, service string, payload []byte) (OldRequestState, error)
	// Lookup returns Known=false for a key that the old system never saw.
	Lookup(ctx context.Context, key string) (OldRequestState, error)
	// Reserve asks the old system to use at most slots on each shared worker.
	// It returns the revision that the old system has put in force.
	Reserve(ctx context.Context, revision uint64, slots int64) (uint64, error)
}
