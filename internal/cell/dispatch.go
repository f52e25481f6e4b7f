package cell

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"catkinvalve/internal/cellpb"
	"catkinvalve/internal/core/jobs"
)

// dispatch starts the calls that the core decided on, sends its answers to callers, and
// logs and counts its events.
func (l *leader) dispatch(now time.Time, a jobs.Actions) {
	l.callWorkers(now, &a)
	l.sendRelayedCalls(now)
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

// callWorkers makes calls to workers, or adds them to those that relays make.
func (l *leader) callWorkers(now time.Time, a *jobs.Actions) {
	l.metrics.starts.Inc(int64(len(a.Starts)))
	for _, req := range a.Syncs {
		if relay := l.relayed.relayFor(now, req.Worker); relay != "" {
			l.relayed.sync(now, relay, &req)
			continue
		}
		l.goroutines.Go(func() { l.push(syncResultMsg{l.caller.sync(l.ctx, req), time.Now()}) })
	}
	for _, req := range a.Starts {
		if relay := l.relayed.relayFor(now, req.Worker); relay != "" {
			l.relayed.start(now, relay, &req)
			continue
		}
		l.goroutines.Go(func() { l.push(startResultMsg{l.caller.start(l.ctx, req), time.Now()}) })
	}
	for _, req := range a.Stops {
		if relay := l.relayed.relayFor(now, req.Worker); relay != "" {
			l.relayed.stop(now, relay, &req)
			continue
		}
		l.goroutines.Go(func() { l.push(stopResultMsg{l.caller.stop(l.ctx, req), time.Now()}) })
	}
	for _, req := range a.Paces {
		if relay := l.relayed.relayFor(now, req.Worker); relay != "" {
			l.relayed.pace(now, relay, &req)
			continue
		}
		l.goroutines.Go(func() { l.push(paceResultMsg{l.caller.pace(l.ctx, req)}) })
	}
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
