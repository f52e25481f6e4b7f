package cell

import (
	"context"
	"time"

	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/pause"
	"catkinvalve/internal/ports"
)

const (
	// syncWaitSlack is added to the wait of a lease renewal for the transfer of the
	// answer.
	syncWaitSlack = 450 * time.Millisecond
	// startAttempts limits the attempts to start a run. If the last one is not answered,
	// the outcome is unknown.
	startAttempts = 6
	// startRetryLimit is the time after which a start is not attempted again.
	startRetryLimit = 1200 * time.Millisecond
	// startRetryPause is the pause after the first attempt. It doubles with each retry.
	startRetryPause = 15 * time.Millisecond
	// stopTimeout limits one call that stops a run or changes its pace.
	stopTimeout = 400 * time.Millisecond
)

// workerCaller makes calls to workers with the token of a leader. Its methods are safe for
// concurrent use.
type workerCaller struct {
	client ports.WorkerClient
	token  uint64
	// superseded reports whether a later leader is known. No call is made from then on.
	superseded func() bool
}

// sync renews the lease of a worker by a long poll, whose answer has the worker's lists of
// running and ended runs.
func (c *workerCaller) sync(ctx context.Context, req jobs.SyncRequest) jobs.SyncResult {
	if c.superseded() {
		return jobs.SyncResult{Worker: req.Worker, SentAt: time.Now(), Status: jobs.CallFenced}
	}
	ctx, cancel := context.WithTimeout(ctx, req.Wait+syncWaitSlack)
	defer cancel()
	return c.client.RenewLease(ctx, c.token, req)
}

// start starts a run. It retries while the worker does not answer or the call cannot be
// sent, which is safe because a worker starts the same run only once.
func (c *workerCaller) start(ctx context.Context, req jobs.StartRequest) jobs.StartResult {
	result := jobs.StartResult{Worker: req.Worker, Task: req.Task, Run: req.Run}
	unanswered := false
	begin, wait := time.Now(), startRetryPause
	for i := range startAttempts {
		if c.superseded() {
			result.Status = jobs.CallFenced
			return result
		}
		result = c.attemptStart(ctx, req)
		retry := result.Status == jobs.CallNoAnswer || result.Status == jobs.CallNotSent
		if !retry || i == startAttempts-1 || time.Since(begin) > startRetryLimit || !pause.For(ctx, wait) {
			break
		}
		wait *= 2
		unanswered = unanswered || result.Status == jobs.CallNoAnswer
	}
	if unanswered && result.Status != jobs.CallOK {
		// The worker may still execute an earlier attempt.
		result.Status = statusAfterUnanswered(result.Status)
	}
	return result
}

func (c *workerCaller) attemptStart(ctx context.Context, req jobs.StartRequest) jobs.StartResult {
	ctx, cancel := context.WithTimeout(ctx, req.Timeout)
	defer cancel()
	return c.client.Start(ctx, c.token, req)
}

// statusAfterUnanswered returns the status of a start whose last attempt failed with the
// given status after an earlier attempt was not answered.
func statusAfterUnanswered(last jobs.CallStatus) jobs.CallStatus {
	if last == jobs.CallFenced {
		return last
	}
	return jobs.CallNoAnswer
}

// stop makes one attempt to stop a run.
func (c *workerCaller) stop(ctx context.Context, req jobs.StopRequest) jobs.StopResult {
	sent := time.Now()
	if c.superseded() {
		return jobs.StopResult{Worker: req.Worker, Task: req.Task, Run: req.Run, Status: jobs.CallFenced, SentAt: sent}
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	result := c.client.Stop(ctx, c.token, req)
	result.SentAt = sent
	return result
}

// pace makes one attempt to change the pace of a run.
func (c *workerCaller) pace(ctx context.Context, req jobs.PaceRequest) jobs.PaceResult {
	if c.superseded() {
		return jobs.PaceResult{Worker: req.Worker, Task: req.Task, Run: req.Run, Percent: req.Percent, Status: jobs.CallFenced}
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	return c.client.Pace(ctx, c.token, req)
}
