package cell

import (
	"time"

	"github.com/sirupsen/logrus"

	"catkinvalve/internal/adapters/linkrpc"
	"catkinvalve/internal/cellpb"
	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/ports"
)

// message is an input of the leader loop.
type message interface {
	apply(l *leader, now time.Time)
}

// callMsg is a call that this daemon or another one has sent to the leader.
type callMsg struct {
	origin     callOrigin
	call       *cellpb.Call
	receivedAt time.Time
	// bytes is what the call counts for in leader.inboxBytes.
	bytes int64
}

func (m callMsg) apply(l *leader, now time.Time) {
	l.inboxBytes.release(m.bytes)
	m.bytes = 0
	switch m.call.Kind {
	case cellpb.CallKind_SUBMIT:
		l.submit(m)
	case cellpb.CallKind_CANCEL:
		if !l.core.VisibleTo(m.call.Job, m.call.Tenant) {
			l.replyNoJob(m.origin, m.receivedAt)
			return
		}
		l.lastCallID++
		l.callOrigins[l.lastCallID] = m.origin
		switch a := l.core.Cancel(now, m.call.Job, l.lastCallID); {
		case a == nil:
		case a.Kind == jobs.ResponseNoSuchJob:
			delete(l.callOrigins, a.Call)
			l.replyNoJob(m.origin, m.receivedAt)
		default:
			l.answer(*a)
		}
	case cellpb.CallKind_STATE:
		l.replyWithState(m)
	case cellpb.CallKind_PENDING:
		l.reply(m.origin, Reply{Pending: l.core.Pending(m.call.Queue)})
	case cellpb.CallKind_TENANTS:
		l.replyWithTenants(now, m)
	case cellpb.CallKind_PLAN:
		l.replyWithPlan(now, m)
	default:
		l.reply(m.origin, Reply{Verdict: VerdictUnavailable, Reason: "call_unknown"})
	}
}

// newerConfigTimeout is how long a call waits for the leader to read the configuration
// with the call's queue. Such a call comes from a daemon that has a newer configuration.
const newerConfigTimeout = 1500 * time.Millisecond

// submit passes a submitted job to the core.
func (l *leader) submit(m callMsg) {
	spec := l.decodeSpec(m)
	if spec == nil {
		return
	}
	l.lastCallID++
	l.callOrigins[l.lastCallID] = m.origin
	if a := l.core.Submit(m.receivedAt, spec, l.lastCallID); a != nil {
		l.answer(*a)
	}
}

// decodeSpec returns the job in a call, or nil after it has answered the call. If the job's queue or
// tenant is unknown and the call was made with a newer configuration, it returns nil too and the
// call is handled again after configRetry.
func (l *leader) decodeSpec(m callMsg) *jobs.Spec {
	spec, err := m.call.Spec.ToSpec()
	if err != nil {
		l.log.WithFields(logrus.Fields{"event": "call_unreadable", "job": m.call.Job, "error": err.Error()}).Error("a submitted job is invalid")
		l.reply(m.origin, Reply{Verdict: VerdictUnavailable, Reason: "unreadable"})
		return nil
	}
	spec.Tenant = m.call.Tenant
	known := l.core.HasQueue(spec.Queue) && l.core.HasTenant(spec.Tenant)
	if m.call.ConfigVersion > l.configVersion && !known && time.Since(m.receivedAt) < newerConfigTimeout {
		time.AfterFunc(configRetry, func() { l.push(m) })
		return nil
	}
	if !l.core.HasTenant(spec.Tenant) {
		l.reply(m.origin, Reply{Verdict: VerdictUnauthorized, Reason: "tenant_unknown"})
		return nil
	}
	return spec
}

// replyWithState answers with a job's state.
func (l *leader) replyWithState(m callMsg) {
	view, known := l.core.State(m.call.Job)
	if !known || !l.core.VisibleTo(m.call.Job, m.call.Tenant) {
		l.replyNoJob(m.origin, m.receivedAt)
		return
	}
	l.reply(m.origin, Reply{View: view})
}

// answer sends the core's response to a call to the call's origin.
func (l *leader) answer(a jobs.Response) {
	origin, known := l.callOrigins[a.Call]
	if !known {
		return
	}
	delete(l.callOrigins, a.Call)
	r := Reply{Reason: string(a.Reason), RetryAfter: a.RetryAfter}
	switch a.Kind {
	case jobs.ResponseRefused:
		r.Verdict = VerdictOverloaded
		l.metrics.refused.Inc(1)
	case jobs.ResponseStoreUnavailable:
		r.Verdict = VerdictUnavailable
		l.metrics.refused.Inc(1)
	case jobs.ResponseConflict:
		r.Verdict = VerdictConflict
		l.metrics.refused.Inc(1)
	}
	l.reply(origin, r)
}

// reply sends a reply to the origin of a call.
func (l *leader) reply(to callOrigin, r Reply) {
	if to.link == nil {
		l.d.forwarder.deliverReply(to.id, r)
		return
	}
	to.link.Send(&cellpb.Frame{Replies: []*cellpb.Reply{toProtoReply(to.id, r)}})
}

func toProtoReply(id uint64, r Reply) *cellpb.Reply {
	return &cellpb.Reply{Id: id, Verdict: uint32(r.Verdict), View: string(r.View), Pending: int64(r.Pending),
		RetryAfterMs: r.RetryAfter.Milliseconds(), Reason: r.Reason, Report: r.Report}
}

func fromProtoReply(p *cellpb.Reply) Reply {
	return Reply{Verdict: Verdict(p.Verdict), View: jobs.View(p.View), Pending: int(p.Pending),
		RetryAfter: time.Duration(p.RetryAfterMs) * time.Millisecond, Reason: p.Reason, Report: p.Report}
}

// syncResultMsg is the result of a lease renewal, with the worker's lists of runs.
type syncResultMsg struct {
	result     jobs.SyncResult
	receivedAt time.Time
}

func (m syncResultMsg) apply(l *leader, _ time.Time) {
	for _, problem := range m.result.RowErrors {
		l.log.WithFields(logrus.Fields{"event": "list_unreadable", "worker": m.result.Worker, "error": problem}).Error("an entry of a worker's list of runs is invalid")
	}
	l.metrics.ends.Inc(int64(len(m.result.Ends)))
	l.core.HandleSyncResult(m.receivedAt, &m.result)
}

// startResultMsg is the result of starting a run.
type startResultMsg struct {
	result     jobs.StartResult
	receivedAt time.Time
}

func (m startResultMsg) apply(l *leader, _ time.Time) {
	l.core.HandleStartResult(m.receivedAt, &m.result)
}

// stopResultMsg is the result of stopping a run.
type stopResultMsg struct {
	result     jobs.StopResult
	receivedAt time.Time
}

func (m stopResultMsg) apply(l *leader, _ time.Time) {
	l.core.HandleStopResult(m.receivedAt, &m.result)
}

// paceResultMsg is the result of changing the pace of a run.
type paceResultMsg struct{ result jobs.PaceResult }

func (m paceResultMsg) apply(l *leader, _ time.Time) { l.core.HandlePaceResult(&m.result) }

// adviceResultMsg is the result of a call to the advice service.
type adviceResultMsg struct{ result *jobs.AdviceResult }

func (m adviceResultMsg) apply(l *leader, now time.Time) { l.core.HandleAdviceResult(now, m.result) }

// entryStoredMsg reports that an entry of the journal is durable: a batch, unless batchSeq is 0, and
// a change of the voters if voters is set.
type entryStoredMsg struct {
	batchSeq uint64
	voters   bool
	sentAt   time.Time
}

func (m entryStoredMsg) apply(l *leader, now time.Time) {
	l.confirm(m.sentAt)
	if m.voters {
		l.voters.HandleStored()
	}
	l.core.HandleBatchStored(now, m.batchSeq)
}

// confirmedMsg reports that the store confirmed the leadership without a batch.
type confirmedMsg struct{ sentAt time.Time }

func (m confirmedMsg) apply(l *leader, _ time.Time) { l.confirm(m.sentAt) }

// workerListMsg is the complete list of workers.
type workerListMsg struct{ entries []jobs.WorkerEntry }

func (m workerListMsg) apply(l *leader, now time.Time) {
	l.relayed.setWorkers(m.entries)
	l.core.SetWorkers(now, m.entries)
}

// configMsg is a configuration, which may be older than the leader's.
type configMsg struct{ config *ports.CellConfig }

func (m configMsg) apply(l *leader, now time.Time) {
	if m.config == nil || m.config.Version <= l.configVersion {
		return
	}
	l.core.SetQueues(queuesOf(m.config))
	l.core.SetTenants(now, m.config.Tenants)
	l.configVersion = m.config.Version
	l.lastHeartbeatAt = time.Time{} // the current round sends heartbeats
}

// nodesMsg maps the names of daemons to their link addresses.
type nodesMsg struct{ nodes map[string]string }

func (m nodesMsg) apply(l *leader, _ time.Time) {
	for name, address := range m.nodes {
		l.addNode(name, address)
	}
	l.lastDialAt = time.Time{}
	l.lastHeartbeatAt = time.Time{} // the current round sends heartbeats and dials
}

// linkOpenedMsg reports an opened link.
type linkOpenedMsg struct{ link *linkrpc.Link }

func (m linkOpenedMsg) apply(l *leader, now time.Time) {
	l.addNode(m.link.PeerHello.Node, m.link.PeerHello.Address)
	l.sendHeartbeat(now, m.link)
}

// linkClosedMsg reports that a link to a daemon was closed.
type linkClosedMsg struct{ node string }

func (m linkClosedMsg) apply(l *leader, now time.Time) {
	l.core.HandleRelayLost(now, m.node)
	l.failRelay(now, m.node)
}

// reportMsg is a report of another daemon.
type reportMsg struct {
	node        string
	incarnation int64
	report      *cellpb.NodeReport
}

func (m reportMsg) apply(l *leader, now time.Time) {
	l.reports[m.node] = report{m.report, m.incarnation, now}
	if _, known := l.acknowledgedAt[m.node]; !known && m.report.Token >= l.token {
		l.acknowledgedAt[m.node] = now
	}
	if m.report.ProbeUs > 0 {
		l.probeLatencies[m.node] = time.Duration(m.report.ProbeUs) * time.Microsecond
	}
	l.d.members.observeToken(m.report.Token)
	if m.report.ConfigVersion > l.configVersion {
		l.fetchNewerConfig(now, m.node)
	}
}

// shutdownMsg reports that this daemon shuts down.
type shutdownMsg struct{}

func (shutdownMsg) apply(l *leader, now time.Time) { l.handOverBeforeShutdown(now) }
