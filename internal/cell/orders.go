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
	// holdSlack is added to the wait of a call to a worker.
	holdSlack = 450 * time.Millisecond
	// startAttempts is how often a start is sent before its outcome counts as
	// unclear, unless startPatience ends before.
	startAttempts = 6
	startPatience = 1200 * time.Millisecond
	// startPause is the pause after the first attempt; it doubles.
	startPause = 15 * time.Millisecond
	// stopTimeout bounds one call that stops a run or changes its pace.
	stopTimeout = 400 * time.Millisecond
)

// carryOut sends what the core decided.
func (l *leader) carryOut(a jobs.Actions) {
	for _, o := range a.Syncs {
		l.work.Go(func() { l.hold(o) })
	}
	for _, o := range a.Starts {
		l.metrics.starts.Inc(1)
		l.work.Go(func() { l.start(o) })
	}
	for _, o := range a.Stops {
		l.work.Go(func() { l.stopRun(o) })
	}
	for _, o := range a.Paces {
		l.work.Go(func() { l.pace(o) })
	}
	for _, o := range a.Advice {
		l.metrics.advice.Inc(1)
		l.advise(o)
	}
	for _, answer := range a.Responses {
		l.answer(answer)
	}
	for i := range a.Events {
		logEvent(l.log, &a.Events[i])
		l.queues.observe(&a.Events[i])
	}
}

func (l *leader) hold(o jobs.SyncRequest) {
	ctx, cancel := context.WithTimeout(l.ctx, o.Wait+holdSlack)
	defer cancel()
	result := l.d.deps.Workers.RenewLease(ctx, l.token, o)
	l.push(heldMsg{result, time.Now()})
}

// start sends a start again while it gets no answer: the worker treats repeats
// as one.
func (l *leader) start(o jobs.StartRequest) {
	var result jobs.StartResult
	unclear := false
	begin, wait := time.Now(), startPause
	for i := range startAttempts {
		ctx, cancel := context.WithTimeout(l.ctx, o.Timeout)
		result = l.d.deps.Workers.Start(ctx, l.token, o)
		cancel()
		retry := result.Status == jobs.CallNoAnswer || result.Status == jobs.CallNotSent
		if !retry || i == startAttempts-1 || time.Since(begin) > startPatience || !pause.For(l.ctx, wait) {
			break
		}
		wait *= 2
		unclear = unclear || result.Status == jobs.CallNoAnswer
	}
	if unclear && result.Status != jobs.CallOK {
		// An earlier attempt may still be executed.
		result.Status = unclearStatus(result.Status)
	}
	l.push(startedMsg{result, time.Now()})
}

// unclearStatus returns the status of a start of which an earlier attempt had no
// answer.
func unclearStatus(last jobs.CallStatus) jobs.CallStatus {
	if last == jobs.CallFenced || last == jobs.CallWrongIncarnation {
		return last
	}
	return jobs.CallNoAnswer
}

func (l *leader) stopRun(o jobs.StopRequest) {
	ctx, cancel := context.WithTimeout(l.ctx, stopTimeout)
	defer cancel()
	result := l.d.deps.Workers.Stop(ctx, l.token, o)
	l.push(stoppedMsg{result, time.Now()})
}

func (l *leader) pace(o jobs.PaceRequest) {
	ctx, cancel := context.WithTimeout(l.ctx, stopTimeout)
	defer cancel()
	l.push(pacedMsg{l.d.deps.Workers.Pace(ctx, l.token, o)})
}

// advise has the chosen daemon ask the advice service.
func (l *leader) advise(o jobs.AdviceRequest) {
	if o.Relay == l.d.set.Node {
		l.work.Go(func() { l.push(advisedMsg{l.d.ask(l.ctx, o)}) })
		return
	}
	link := l.d.members.linkTo(o.Relay)
	if link == nil || !link.Send(&cellpb.Frame{AdviceCalls: []*cellpb.AdviceCall{cellpb.FromAdviceOrder(&o)}}) {
		l.work.Go(func() { l.push(advisedMsg{&jobs.AdviceResult{Seq: o.Seq}}) })
	}
}

// ask asks the advice service.
func (d *Daemon) ask(ctx context.Context, o jobs.AdviceRequest) *jobs.AdviceResult {
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	answer, err := d.deps.AdviceService.Advise(ctx, o.Step, o.Workers)
	if err != nil {
		d.log.WithFields(logrus.Fields{"event": "advice_failed", "job": o.Step.Job, "workers": len(o.Workers), "error": err.Error()}).Warn("the advice service did not answer")
		return &jobs.AdviceResult{Seq: o.Seq}
	}
	return &jobs.AdviceResult{Seq: o.Seq, OK: true, Allowed: answer.Allowed, Validity: answer.Validity}
}
