package cell

import (
	"context"
	"time"

	"catkinvalve/internal/core/jobs"
)

// Verdict is what a caller is told about its call.
type Verdict uint8

// Verdicts.
const (
	// VerdictOK: the call was carried out.
	VerdictOK Verdict = iota
	// VerdictOverloaded: not accepted, and never will be run.
	VerdictOverloaded
	// VerdictUnavailable: not accepted, and never will be run, because the cell
	// cannot take it now.
	VerdictUnavailable
	// VerdictUnknown: the outcome is not known; ask again with the same ID.
	VerdictUnknown
	// VerdictNoJob: no such job.
	VerdictNoJob
	// VerdictNoQueue: no such queue.
	VerdictNoQueue
)

// Reply answers a call.
type Reply struct {
	Verdict    Verdict
	View       jobs.View
	Pending    int
	RetryAfter time.Duration
	Reason     string
}

// Calls is what callers can ask of the cell. Host and path select the queue.
type API interface {
	// Queue returns the queue of a request and what follows its prefix. Without
	// a queue the reply says why.
	Queue(host, path string) (name, rest string, reply *Reply)
	// MaxBodyBytes limits the body of a request.
	MaxBodyBytes() int64
	Submit(ctx context.Context, spec *jobs.Spec) Reply
	Cancel(ctx context.Context, queue, id string) Reply
	State(ctx context.Context, queue, id string) Reply
	Pending(ctx context.Context, queue string) Reply
	// Ready reports whether the balancer should send requests.
	Ready() bool
	// Closing reports whether connections should be closed after an answer.
	ShuttingDown() bool
}
