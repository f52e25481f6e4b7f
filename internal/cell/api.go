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
	// VerdictUnauthorized means that the caller's key is not known. The call was not carried out.
	VerdictUnauthorized
	// VerdictConflict means that the ID of the submitted job is that of a job of another tenant.
	VerdictConflict
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
	// Report is a JSON document in the answer to API.Tenants and API.Plan.
	Report []byte
}

// Target is what a request is about.
type Target struct {
	Queue string
	// Tenant is the tenant whose key the caller has sent; empty on routes that need no key.
	Tenant string
	// JobID is the path after the queue's prefix. It is empty when the request is about the
	// queue itself.
	JobID string
}

// API is the interface through which callers use the cell. The host and the path of a
// request select the queue. A call lasts until its answer or until shortly before the
// deadline of ctx.
type API interface {
	// Resolve returns what a request with a host, a path and an API key is about. If the request
	// is refused, reply is not nil and contains the reason.
	Resolve(host, path, key string) (target Target, reply *Reply)
	// MaxBodyBytes returns the limit for the body of a request, or 0 when no limit is
	// configured.
	MaxBodyBytes() int64
	// Submit submits a job. Repeated calls with the same job ID submit one job.
	Submit(ctx context.Context, spec *jobs.Spec) Reply
	// Cancel cancels a job.
	Cancel(ctx context.Context, t Target) Reply
	// State returns the state of a job in Reply.View.
	State(ctx context.Context, t Target) Reply
	// Pending returns in Reply.Pending the number of a queue's jobs of which no task has
	// started.
	Pending(ctx context.Context, queue string) Reply
	// Tenants returns in Reply.Report the state of all tenants, a list of jobs.TenantStatus.
	Tenants(ctx context.Context) Reply
	// Plan returns in Reply.Report what would happen to a job if it were submitted, a jobs.Plan.
	Plan(ctx context.Context, spec *jobs.Spec) Reply
	// Ready reports whether the load balancer should send requests to this daemon.
	Ready() bool
	// ShuttingDown reports whether the daemon is shutting down. Connections should
	// then be closed after the answer.
	ShuttingDown() bool
}
