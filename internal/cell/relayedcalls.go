package cell

import (
	"time"

	"github.com/sirupsen/logrus"

	"catkinvalve/internal/boottime"
	"catkinvalve/internal/cellpb"
	"catkinvalve/internal/core/callrouting"
	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/core/model"
)

const (
	// maxDirectWorkers is the number of workers up to which the leader makes all calls to
	// workers itself.
	maxDirectWorkers = 128
	// relaySlack is added to the duration of a call that a relay makes for the transfer
	// over the link, in both directions.
	relaySlack = 350 * time.Millisecond
	// relaySilence is the time without data on the link to a relay with calls in flight
	// after which these calls count as unanswered and the relay gets no further ones.
	relaySilence = 550 * time.Millisecond
	// relayBackoff is how long a relay that answered too late gets no calls.
	relayBackoff = 4 * time.Second
	// maxLoopDelay is the time between two rounds of the leader loop above which relays
	// are not blamed for missing answers, which may wait to be read.
	maxLoopDelay = 200 * time.Millisecond
)

// relayedCalls are the calls to workers that other daemons make for the leader. Only the
// leader loop uses it.
type relayedCalls struct {
	table *callrouting.Table
	// maxDirect is the number of workers up to which there are no relays.
	maxDirect   int
	workerCount int
	lastID      uint64
	inFlight    map[uint64]*relayedCall
	// outgoing holds the calls of the current round by relay.
	outgoing map[string]*cellpb.WorkerCalls
	// backoffUntil holds until when each relay that answered too late gets no calls.
	backoffUntil map[string]time.Time
	// checkedAt is when the relays were last checked; patientUntil ends the time in which
	// silence is not the relays' fault.
	checkedAt, patientUntil time.Time
}

// relayedCall is a call in flight that a relay makes.
type relayedCall struct {
	relay    string
	worker   model.WorkerID
	sentAt   time.Time
	deadline time.Time
	// result returns the message with the call's result for the leader loop. Syncs have
	// another kind of result.
	result func(status jobs.CallStatus, clockMs int64, receivedAt time.Time) message
}

func newRelayedCalls(regions map[model.DataCentre]string, maxDirect int) *relayedCalls {
	return &relayedCalls{table: callrouting.New(regions), maxDirect: maxDirect, inFlight: map[uint64]*relayedCall{},
		outgoing: map[string]*cellpb.WorkerCalls{}, backoffUntil: map[string]time.Time{}}
}

// setWorkers tells which workers there are.
func (r *relayedCalls) setWorkers(entries []jobs.WorkerEntry) {
	workers := make(map[model.WorkerID]model.DataCentre, len(entries))
	for i := range entries {
		workers[entries[i].ID] = entries[i].DataCentre
	}
	r.workerCount = len(workers)
	r.table.SetWorkers(workers)
}

// relayFor returns the daemon that makes the next call to a worker; empty for the leader.
func (r *relayedCalls) relayFor(now time.Time, worker model.WorkerID) string {
	if r.workerCount <= r.maxDirect {
		return ""
	}
	return r.table.Relay(now, worker)
}

// add records a call to a worker and returns its ID and the group of calls to add it to.
func (r *relayedCalls) add(c *relayedCall) (uint64, *cellpb.WorkerCalls) {
	r.lastID++
	r.inFlight[r.lastID] = c
	group := r.outgoing[c.relay]
	if group == nil {
		group = &cellpb.WorkerCalls{}
		r.outgoing[c.relay] = group
	}
	return r.lastID, group
}

func (r *relayedCalls) sync(now time.Time, relay string, req *jobs.SyncRequest) {
	c := &relayedCall{relay: relay, worker: req.Worker, sentAt: now, deadline: now.Add(req.Wait + syncWaitSlack + relaySlack)}
	worker := req.Worker
	c.result = func(status jobs.CallStatus, _ int64, receivedAt time.Time) message {
		return syncResultMsg{jobs.SyncResult{Worker: worker, Status: status, SentAt: now}, receivedAt}
	}
	id, group := r.add(c)
	group.AddSync(id, req)
}

func (r *relayedCalls) start(now time.Time, relay string, req *jobs.StartRequest) {
	c := &relayedCall{relay: relay, worker: req.Worker, sentAt: now, deadline: now.Add(startRetryLimit + req.Timeout + relaySlack)}
	worker, task, run := req.Worker, req.Task, req.Run
	c.result = func(status jobs.CallStatus, clockMs int64, receivedAt time.Time) message {
		return startResultMsg{jobs.StartResult{Worker: worker, Task: task, Run: run, Status: status, ClockMs: clockMs}, receivedAt}
	}
	id, group := r.add(c)
	group.AddStart(id, req)
}

func (r *relayedCalls) stop(now time.Time, relay string, req *jobs.StopRequest) {
	c := &relayedCall{relay: relay, worker: req.Worker, sentAt: now, deadline: now.Add(stopTimeout + relaySlack)}
	worker, task, run := req.Worker, req.Task, req.Run
	// The round began at now, before some of the messages arrived that it handles.
	sentAt := time.Now()
	c.result = func(status jobs.CallStatus, clockMs int64, receivedAt time.Time) message {
		return stopResultMsg{jobs.StopResult{Worker: worker, Task: task, Run: run, Status: status, SentAt: sentAt, ClockMs: clockMs}, receivedAt}
	}
	id, group := r.add(c)
	group.AddStop(id, req)
}

func (r *relayedCalls) pace(now time.Time, relay string, req *jobs.PaceRequest) {
	c := &relayedCall{relay: relay, worker: req.Worker, sentAt: now, deadline: now.Add(stopTimeout + relaySlack)}
	worker, task, run, percent := req.Worker, req.Task, req.Run, req.Percent
	c.result = func(status jobs.CallStatus, _ int64, _ time.Time) message {
		return paceResultMsg{jobs.PaceResult{Worker: worker, Task: task, Run: run, Percent: percent, Status: status}}
	}
	id, group := r.add(c)
	group.AddPace(id, req)
}

// take removes a call in flight and returns it; nil if it is not known, because it has
// failed before.
func (r *relayedCalls) take(id uint64) *relayedCall {
	c := r.inFlight[id]
	delete(r.inFlight, id)
	return c
}

// sendRelayedCalls sends the calls of this round to the relays.
func (l *leader) sendRelayedCalls(now time.Time) {
	for relay, group := range l.relayed.outgoing {
		group.Token, group.SentMs = l.token, boottime.Now().Milliseconds()
		link := l.d.members.linkTo(relay)
		if link == nil || !link.Send(&cellpb.Frame{WorkerCalls: []*cellpb.WorkerCalls{group}}) {
			l.failRelay(now, relay)
		}
	}
	clear(l.relayed.outgoing)
}

// failRelay gives up the calls in flight of a relay. Whether they were executed is not
// known.
func (l *leader) failRelay(now time.Time, relay string) {
	r := l.relayed
	for id, c := range r.inFlight {
		if c.relay == relay {
			delete(r.inFlight, id)
			c.result(jobs.CallNoAnswer, 0, now).apply(l, now)
		}
	}
}

// workerResultsMsg is a group of results from a relay.
type workerResultsMsg struct {
	results    *cellpb.WorkerResults
	receivedAt time.Time
}

func (m workerResultsMsg) apply(l *leader, now time.Time) {
	r := l.relayed
	for _, p := range m.results.Calls {
		if c := r.take(p.Id); c != nil {
			c.result(p.CallStatus(), p.ClockMs, m.receivedAt).apply(l, now)
		}
	}
	for _, p := range m.results.Syncs {
		c := r.take(p.Id)
		if c == nil {
			continue
		}
		result := p.ToResult(c.worker, c.sentAt)
		if result.Status == jobs.CallNoAnswer || result.Status == jobs.CallNotSent {
			r.table.RecordFailure(now, c.relay, c.worker)
		}
		syncResultMsg{result, m.receivedAt}.apply(l, now)
	}
}

// checkRelays gives up the calls that were not answered in time and selects the relays for
// the next ones.
func (l *leader) checkRelays(now time.Time) {
	r := l.relayed
	if now.Sub(r.checkedAt) > maxLoopDelay {
		r.patientUntil = now.Add(relaySilence)
	}
	r.checkedAt = now
	late, busy := map[string]bool{}, map[string]bool{}
	for id, c := range r.inFlight {
		busy[c.relay] = true
		if now.After(c.deadline) {
			late[c.relay] = true
			delete(r.inFlight, id)
			c.result(jobs.CallNoAnswer, 0, now).apply(l, now)
		}
	}
	for relay := range busy {
		link := l.d.members.linkTo(relay)
		silent := link == nil || link.IdleTime() > relaySilence
		if !late[relay] && !silent || now.Before(r.patientUntil) {
			continue
		}
		l.log.WithFields(logrus.Fields{"event": "relay_lost", "peer": relay, "silent": silent}).Warn("a daemon that makes calls to workers does not answer")
		r.backoffUntil[relay] = now.Add(relayBackoff)
		l.failRelay(now, relay)
	}
	r.table.SetDaemons(l.relayDaemons(now))
}

// relayDaemons returns the daemons that can make calls to workers.
func (l *leader) relayDaemons(now time.Time) []callrouting.Daemon {
	if l.relayed.workerCount <= l.relayed.maxDirect {
		return nil
	}
	var out []callrouting.Daemon
	for _, link := range l.d.members.peerLinks() {
		name := link.PeerHello.Node
		report := l.reportOver(link)
		if report == nil || report.Leaving || now.Before(l.relayed.backoffUntil[name]) {
			continue
		}
		out = append(out, callrouting.Daemon{Name: name, DataCentre: model.DataCentre(link.PeerHello.DataCentre), CPUShare: report.CpuShare})
	}
	return out
}
