package ports

import (
	"context"
	"fmt"
	"time"

	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/tenant"
)

// Topic is the name of a keyed topic of the cell in the metadata store. Of a keyed topic
// the store keeps the newest record of each key.
type Topic string

// Topics of the cell.
const (
	// LeaderTopic holds the leader record. The record's offset determines the
	// leader's fencing token.
	LeaderTopic Topic = "leader"
	// JobsTopic holds jobs, their progress and the workers in use. Only the leader
	// appends to it.
	JobsTopic Topic = "jobs"
	// NodesTopic holds one record per daemon.
	NodesTopic Topic = "nodes"
	// ConfigTopic holds the leader's copy of the active configuration.
	ConfigTopic Topic = "config"
)

// KeyedRecord is a record of a keyed topic. A nil value deletes the key.
type KeyedRecord struct {
	Key   string
	Value []byte
}

// Fence makes an append part of a producer's sequence. The store refuses the append when
// it has seen a higher epoch of the producer, and executes an append only once when
// it is repeated with the same sequence number.
type Fence struct {
	Producer string
	Epoch    uint64
	Seq      uint64
}

// Append is one atomic append to a topic.
type Append struct {
	Topic   Topic
	Records []KeyedRecord
	// End, if not nil, is the required end offset of the topic. When the topic has another
	// one, the append fails with StoreEndMismatch.
	End *int64
	// Fence, if not nil, is the append's position in a producer's sequence. An append
	// without records only raises the producer's epoch.
	Fence *Fence
}

// NewestRecord is the newest record of a key.
type NewestRecord struct {
	Key    string
	Value  []byte
	Offset int64
}

// NewestPage is a page of the newest records of a topic, sorted by key.
type NewestPage struct {
	Records []NewestRecord
	// More is true when there are keys after the last one of the page, which then has
	// at least one record.
	More bool
	// End is the offset that the topic's next record will get.
	End int64
}

// StoreErrorKind is the reason why a call to the metadata store failed.
type StoreErrorKind string

// Kinds of store errors.
const (
	// StoreUnavailable means that the store was not reached or refused the call for now;
	// the call was not executed.
	StoreUnavailable StoreErrorKind = "unavailable"
	// StoreNoAnswer means that the outcome is unknown: the call may have been executed or
	// may still be executed later.
	StoreNoAnswer StoreErrorKind = "no_answer"
	// StoreEndMismatch means that the topic's end offset is not the one in Append.End.
	StoreEndMismatch StoreErrorKind = "moved"
	// StoreFenced means that the store has seen a higher epoch of the producer.
	StoreFenced StoreErrorKind = "fenced"
	// StoreOutOfSequence means that the sequence number is not the producer's next one.
	StoreOutOfSequence StoreErrorKind = "sequence"
	// StoreExpired means that the store has deleted the records at the requested offset.
	StoreExpired StoreErrorKind = "expired"
	// StoreRefused means that the call is invalid and will never be accepted.
	StoreRefused StoreErrorKind = "refused"
)

// StoreError is an error of the metadata store.
type StoreError struct {
	Kind StoreErrorKind
	// End is the topic's end offset, set for StoreEndMismatch.
	End int64
	// ExpectedSeq is the producer's next sequence number, set for StoreOutOfSequence.
	ExpectedSeq uint64
	Detail      string
}

// Error implements the error interface.
func (e *StoreError) Error() string {
	remedy := map[StoreErrorKind]string{
		StoreUnavailable:   "retry later",
		StoreNoAnswer:      "retry with the same sequence number",
		StoreEndMismatch:   "read the topic again",
		StoreFenced:        "stop acting as leader",
		StoreOutOfSequence: "read the topic again",
		StoreExpired:       "read the newest records",
		StoreRefused:       "report this as a defect",
	}[e.Kind]
	return fmt.Sprintf("metadata store: %s: %s; %s", e.Kind, e.Detail, remedy)
}

// Transient reports whether the same call may succeed when it is retried.
func (e *StoreError) Transient() bool { return e.Kind == StoreUnavailable || e.Kind == StoreNoAnswer }

// Store is the platform's metadata store. Its methods return errors of type *StoreError.
type Store interface {
	// Append appends records atomically. It returns the offset of the first record, or
	// the topic's end offset when there are no records.
	Append(ctx context.Context, a Append) (int64, error)
	// Newest returns a page of the newest records of a topic whose keys follow after. With
	// an empty after it returns the first page.
	Newest(ctx context.Context, topic Topic, after string) (NewestPage, error)
}

// ListCursor is a position in the sequence of changes of a list.
type ListCursor int64

// WorkerChange is an added, changed or removed entry of the worker list.
type WorkerChange struct {
	ID model.WorkerID
	// WorkerEntry is nil when the worker was removed or its entry is invalid. Problem
	// describes what is invalid and is empty otherwise.
	WorkerEntry *jobs.WorkerEntry
	Problem     string
}

// WorkerList is the list in which workers register themselves.
type WorkerList interface {
	// All returns all entries and the cursor from which to call Changes.
	All(ctx context.Context) ([]WorkerChange, ListCursor, error)
	// Changes returns the changes after the cursor, in order, and the next cursor. It
	// does not wait. When it fails, it returns the cursor that it was given.
	Changes(ctx context.Context, from ListCursor) ([]WorkerChange, ListCursor, error)
}

// Route maps requests with a host name and a path prefix to a queue.
type Route struct {
	Host   string
	Prefix string
	Queue  jobs.Queue
}

// CellConfig is the configuration of the cell, which operators publish.
type CellConfig struct {
	Version int64
	Routes  []Route
	// MaxBodyBytes limits the body of a request; 0 means that no limit is configured.
	MaxBodyBytes  int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// Tenants is nil when requests need no key.
	Tenants *tenant.Set
}

// ConfigSource reads the configuration that operators publish.
type ConfigSource interface {
	// Latest returns the newest configuration, or nil when none was published yet, and
	// the cursor from which to call Changes.
	Latest(ctx context.Context) (*CellConfig, ListCursor, error)
	// Changes waits up to wait for a change after the cursor. It returns the newest
	// configuration among the changes, or nil when there is none, and the next cursor.
	Changes(ctx context.Context, from ListCursor, wait time.Duration) (*CellConfig, ListCursor, error)
}

// WorkerClient makes calls to workers. Calls are not retried; the status of a result
// tells whether the call may have been executed. Workers refuse a call with a lower
// token than one that they have seen.
type WorkerClient interface {
	// RenewLease extends the worker's lease, acknowledges ended tasks and returns the
	// worker's lists of running and ended tasks.
	RenewLease(ctx context.Context, token uint64, req jobs.SyncRequest) jobs.SyncResult
	// Start starts a run of a task.
	Start(ctx context.Context, token uint64, req jobs.StartRequest) jobs.StartResult
	// Stop stops a run of a task.
	Stop(ctx context.Context, token uint64, req jobs.StopRequest) jobs.StopResult
	// Pace limits the speed of a run to a percentage of its full speed.
	Pace(ctx context.Context, token uint64, req jobs.PaceRequest) jobs.PaceResult
}

// AdviceAnswer is the advice service's answer about a step.
type AdviceAnswer struct {
	// Allowed lists the workers that may run the step, each with a ticket.
	Allowed []jobs.Allowance
	// Validity is how long the tickets are valid.
	Validity time.Duration
}

// AdviceService decides which workers may run the tasks of a step.
type AdviceService interface {
	// Advise returns those of the given workers that may run the step.
	Advise(ctx context.Context, step jobs.StepRef, workers []model.WorkerID) (AdviceAnswer, error)
}
