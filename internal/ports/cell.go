package ports

import (
	"context"
	"fmt"
	"time"

	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/core/model"
)

// Topic names one of the cell's own keyed topics in the metadata store.
type Topic string

// Topics of the cell.
const (
	// LeaderTopic holds the leader record. Its offsets number the leaders.
	LeaderTopic Topic = "leader"
	// JobsTopic holds jobs, their progress and the workers in use. Only the leader
	// writes to it.
	JobsTopic Topic = "jobs"
	// NodesTopic holds one record for each daemon.
	NodesTopic Topic = "nodes"
	// ConfigTopic holds the leader's copy of the configuration in force.
	ConfigTopic Topic = "config"
)

// KeyedRecord is a record of a keyed topic. A nil value deletes the key.
type KeyedRecord struct {
	Key   string
	Value []byte
}

// Fence makes an append part of a producer's sequence. The store refuses it
// when the producer has a higher epoch, and executes a repeat once.
type Fence struct {
	Producer string
	Epoch    uint64
	Seq      uint64
}

// Append is one atomic append to a topic.
type Append struct {
	Topic   Topic
	Records []KeyedRecord
	// End, if not nil, is where the topic must end for the append to happen.
	End *int64
	// Fence, if not nil, is the append's place in a producer's sequence. With no
	// records the append only raises the epoch.
	Fence *Fence
}

// NewestRecord is the newest record of a key.
type NewestRecord struct {
	Key    string
	Value  []byte
	Offset int64
}

// NewestPage is a page of the newest records of a topic, in order of key.
type NewestPage struct {
	Records []NewestRecord
	// More tells that there are keys after the last one of the page.
	More bool
	// End is the offset of the next record of the topic.
	End int64
}

// StoreErrorKind tells why a call to the store failed.
type StoreErrorKind string

// Kinds of store errors.
const (
	// StoreUnavailable: the store refused; nothing was done.
	StoreUnavailable StoreErrorKind = "unavailable"
	// StoreNoAnswer: the call may have been executed, now or later.
	StoreNoAnswer StoreErrorKind = "no_answer"
	// StoreMoved: the topic does not end where the append expects it.
	StoreEndMismatch StoreErrorKind = "moved"
	// StoreFenced: the producer has a higher epoch.
	StoreFenced StoreErrorKind = "fenced"
	// StoreSequence: the sequence number is not the next one.
	StoreOutOfSequence StoreErrorKind = "sequence"
	// StoreExpired: the records asked for were deleted.
	StoreExpired StoreErrorKind = "expired"
	// StoreRefused: the store will never take the call as it is.
	StoreRefused StoreErrorKind = "refused"
)

// StoreError is an error of the metadata store.
type StoreError struct {
	Kind StoreErrorKind
	// End is where the topic ends, for StoreMoved.
	End int64
	// Expected is the sequence number that the store expects, for StoreSequence.
	ExpectedSeq uint64
	Detail      string
}

// Error implements the error interface.
func (e *StoreError) Error() string {
	remedy := map[StoreErrorKind]string{
		StoreUnavailable:   "repeat the call later",
		StoreNoAnswer:      "repeat the call with the same sequence number",
		StoreEndMismatch:   "read the topic again",
		StoreFenced:        "stop acting as leader",
		StoreOutOfSequence: "read the topic again",
		StoreExpired:       "read the newest records",
		StoreRefused:       "report this as a defect",
	}[e.Kind]
	return fmt.Sprintf("metadata store: %s: %s; %s", e.Kind, e.Detail, remedy)
}

// Transient reports whether the same call may succeed later.
func (e *StoreError) Transient() bool { return e.Kind == StoreUnavailable || e.Kind == StoreNoAnswer }

// Store is the platform's metadata store. Its errors are *StoreError.
type Store interface {
	// Append returns the offset of the first record, or the end of the topic
	// when there are no records.
	Append(ctx context.Context, a Append) (int64, error)
	// Newest returns the newest records of a topic whose keys follow after.
	Newest(ctx context.Context, topic Topic, after string) (NewestPage, error)
}

// ListCursor is a position in a list that the platform keeps.
type ListCursor int64

// WorkerChange is an added, changed or removed entry of the worker list.
type WorkerChange struct {
	ID model.WorkerID
	// Entry is nil when the worker was removed, and when its entry cannot be
	// read; Problem says why then.
	Entry   *jobs.WorkerEntry
	Problem string
}

// WorkerList is the list in which workers register themselves.
type WorkerList interface {
	// All returns every entry and the cursor for Changes.
	All(ctx context.Context) ([]WorkerChange, ListCursor, error)
	// Changes returns what came after the cursor, in order.
	Changes(ctx context.Context, from ListCursor) ([]WorkerChange, ListCursor, error)
}

// Route leads requests to a queue.
type Route struct {
	Host   string
	Prefix string
	Queue  jobs.Queue
}

// CellConfig is the operators' configuration of the cell.
type CellConfig struct {
	Version int64
	Routes  []Route
	// MaxBodyBytes limits the body of a request; 0 means that it is not stated.
	MaxBodyBytes  int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// ConfigSource is where operators put the configuration.
type ConfigSource interface {
	// Latest returns the newest configuration, nil when there is none yet, and
	// the cursor for Changes.
	Latest(ctx context.Context) (*CellConfig, ListCursor, error)
	// Changes waits for a change after the cursor and returns the newest
	// configuration among the changes, or nil.
	Changes(ctx context.Context, from ListCursor, wait time.Duration) (*CellConfig, ListCursor, error)
}

// TaskWorkers makes calls to workers. Each call is made once; the status tells
// whether it may have been executed.
type WorkerClient interface {
	RenewLease(ctx context.Context, token uint64, o jobs.SyncRequest) jobs.SyncResult
	Start(ctx context.Context, token uint64, o jobs.StartRequest) jobs.StartResult
	Stop(ctx context.Context, token uint64, o jobs.StopRequest) jobs.StopResult
	Pace(ctx context.Context, token uint64, o jobs.PaceRequest) jobs.PaceResult
}

// AdviceAnswer is what the advice service allows.
type AdviceAnswer struct {
	Allowed  []jobs.Allowance
	Validity time.Duration
}

// Advice is the service that knows which workers may run a step.
type AdviceService interface {
	Advise(ctx context.Context, step jobs.StepRef, workers []model.WorkerID) (AdviceAnswer, error)
}
