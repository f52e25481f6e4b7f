package cell

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"catkinvalve/internal/cellpb"
	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/pause"
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

// dispatch starts the calls that the core decided on, sends its answers to callers, and
// logs and counts its events.
func (l *leader) dispatch(a jobs.Actions) {
	for _, req := range a.Syncs {
		l.goroutines.Go(func() { l.syncWorker(req) })
	}
	for _, req := range a.Starts {
		l.metrics.starts.Inc(1)
		l.goroutines.Go(func() { l.startRun(req) })
	}
	for _, req := range a.Stops {
		l.goroutines.Go(func() { l.stopRun(req) })
	}
	for _, req := range a.Paces {
		l.goroutines.Go(func() { l.paceRun(req) })
	}
	for _, req := range a.Advice {
		l.metrics.advice.Inc(1)
		l.requestAdvice(req)
	}
	for _, answer := range a.Responses {
		l.answer(answer)
	}
	for i := range a.Events {
		logEvent(l.log, &a.Events[i])
		l.queues.observe(&a.Events[i])
	}
}

// syncWorker renews the lease of a worker by a long poll, whose answer has the worker's
// lists of running and ended runs.
func (l *leader) syncWorker(req jobs.SyncRequest) {
	ctx, cancel := context.WithTimeout(l.ctx, req.Wait+syncWaitSlack)
	defer cancel()
	result := l.d.deps.Workers.RenewLease(ctx, l.token, req)
	l.push(syncResultMsg{result, time.Now()})
}

// startRun starts a run. It retries while the worker does not answer or the call cannot
// be sent, which is safe because a worker starts the same run only once.
func (l *leader) startRun(req jobs.StartRequest) {
	var result jobs.StartResult
	unanswered := false
	begin, wait := time.Now(), startRetryPause
	for i := range startAttempts {
		ctx, cancel := context.WithTimeout(l.ctx, req.Timeout)
		result = l.d.deps.Workers.Start(ctx, l.token, req)
		cancel()
		retry := result.Status == jobs.CallNoAnswer || result.Status == jobs.CallNotSent
		if !retry || i == startAttempts-1 || time.Since(begin) > startRetryLimit || !pause.For(l.ctx, wait) {
			break
		}
		wait *= 2
		unanswered = unanswered || result.Status == jobs.CallNoAnswer
	}
	if unanswered && result.Status != jobs.CallOK {
		// The worker may still execute an earlier attempt.
		result.Status = statusAfterUnanswered(result.Status)
	}
	l.push(startResultMsg{result, time.Now()})
}

// statusAfterUnanswered returns the status of a start whose last attempt failed with the
// given status after an earlier attempt was not answered.
func statusAfterUnanswered(last jobs.CallStatus) jobs.CallStatus {
	if last == jobs.CallFenced || last == jobs.CallWrongIncarnation {
		return last
	}
	return jobs.CallNoAnswer
}

// stopRun makes one attempt to stop a run.
func (l *leader) stopRun(req jobs.StopRequest) {
	ctx, cancel := context.WithTimeout(l.ctx, stopTimeout)
	defer cancel()
	result := l.d.deps.Workers.Stop(ctx, l.token, req)
	l.push(stopResultMsg{result, time.Now()})
}

// paceRun makes one attempt to change the pace of a run.
func (l *leader) paceRun(req jobs.PaceRequest) {
	ctx, cancel := context.WithTimeout(l.ctx, stopTimeout)
	defer cancel()
	l.push(paceResultMsg{l.d.deps.Workers.Pace(ctx, l.token, req)})
}

// requestAdvice makes the daemon that the core selected call the advice service. If
// that daemon cannot be reached, the result is a failure.
func (l *leader) requestAdvice(req jobs.AdviceRequest) {
	if req.Relay == l.d.settings.Node {
		l.goroutines.Go(func() { l.push(adviceResultMsg{l.d.fetchAdvice(l.ctx, req)}) })
		return
	}
	link := l.d.members.linkTo(req.Relay)
	if link == nil || !link.Send(&cellpb.Frame{AdviceCalls: []*cellpb.AdviceCall{cellpb.FromAdviceRequest(&req)}}) {
		l.goroutines.Go(func() { l.push(adviceResultMsg{&jobs.AdviceResult{Seq: req.Seq}}) })
	}
}

// fetchAdvice calls the advice service. OK is false in the result if the call failed.
func (d *Daemon) fetchAdvice(ctx context.Context, req jobs.AdviceRequest) *jobs.AdviceResult {
	ctx, cancel := context.WithTimeout(ctx, req.Timeout)
	defer cancel()
	answer, err := d.deps.AdviceService.Advise(ctx, req.Step, req.Workers)
	if err != nil {
		d.log.WithFields(logrus.Fields{"event": "advice_failed", "job": req.Step.Job, "workers": len(req.Workers), "error": err.Error()}).Warn("the call to the advice service failed")
		return &jobs.AdviceResult{Seq: req.Seq}
	}
	return &jobs.AdviceResult{Seq: req.Seq, OK: true, Allowed: answer.Allowed, Validity: answer.Validity}
}
