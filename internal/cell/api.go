package cell

import (
	"context"
	"time"

	"catkinvalve/internal/core/jobs"
)

// Verdict is the outcome of a call.
type Verdict uint8

// Verdicts.
const (
	// VerdictOK means that the call was carried out.
	VerdictOK Verdict = iota
	// VerdictOverloaded means that the call was refused, for example because of overload
	// or because the job can never run, and will never be carried out. Reply.Reason states
	// the cause.
	VerdictOverloaded
	// VerdictUnavailable means that the cell cannot accept calls at the moment. The
	// call was not accepted and will never be carried out.
	VerdictUnavailable
	// VerdictUnknown means that the outcome is not known. The caller should repeat the
	// call with the same job ID.
	VerdictUnknown
	// VerdictNoJob means that the job does not exist.
	VerdictNoJob
	// VerdictNoQueue means that no queue is configured for the host and path.
	VerdictNoQueue
)

// Reply is the answer to a call.
type Reply struct {
	Verdict Verdict
	// View is the job's state in the answer to API.State.
	View jobs.View
	// Pending is the number of jobs in the answer to API.Pending.
	Pending int
	// RetryAfter is how long the caller should wait before a retry; 0 when not set.
	RetryAfter time.Duration
	// Reason explains a failed call; empty when there is no more to say.
	Reason string
}

// API is the interface through which callers use the cell. The host and the path of a
// request select the queue. A call lasts until its answer or until shortly before the
// deadline of ctx.
type API interface {
	// Queue returns the name of the queue for a request, and the rest of the path
	// after the queue's prefix. If there is no queue, reply is not nil and contains
	// the reason.
	Queue(host, path string) (name, rest string, reply *Reply)
	// MaxBodyBytes returns the limit for the body of a request, or 0 when no limit is
	// configured.
	MaxBodyBytes() int64
	// Submit submits a job. Repeated calls with the same job ID submit one job.
	Submit(ctx context.Context, spec *jobs.Spec) Reply
	// Cancel cancels a job.
	Cancel(ctx context.Context, queue, id string) Reply
	// State returns the state of a job in Reply.View.
	State(ctx context.Context, queue, id string) Reply
	// Pending returns in Reply.Pending the number of a queue's jobs of which no task has
	// started.
	Pending(ctx context.Context, queue string) Reply
	// Ready reports whether the load balancer should send requests to this daemon.
	Ready() bool
	// ShuttingDown reports whether the daemon is shutting down. Connections should
	// then be closed after the answer.
	ShuttingDown() bool
}
