package daemon

import (
	"time"

	"catkinvalve/internal/core/election"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/scheduler"
	"catkinvalve/internal/ports"
)

// leaseGrantedMsg reports that a worker granted the lease. sentAt is when the
// call was sent; the lease counts from then.
type leaseGrantedMsg struct {
	worker model.WorkerID
	term   uint64
	sentAt time.Time
	grant  ports.Grant
}

// handle ignores a grant that came too late: the worker has left, the term is that of
// an earlier campaign, or the daemon is a standby again.
func (m leaseGrantedMsg) handle(l *ownerLoop, now time.Time) {
	if l.agents[m.worker] == nil || m.term < l.election.Term() || l.election.Role() == election.Standby {
		return
	}
	l.leases.RecordGrant(m.worker, m.term, m.sentAt)
	l.core.HandleLeaseGranted(now, scheduler.LeaseGrant{
		Worker: m.worker, BootID: m.grant.BootID, Capacity: m.grant.Capacity, Rack: m.grant.Rack, Tasks: m.grant.Tasks,
	})
}

// leaseHeldMsg reports that a worker refused the lease, because another holder's
// lease with the given term is valid.
type leaseHeldMsg struct {
	worker model.WorkerID
	term   uint64
}

func (m leaseHeldMsg) handle(l *ownerLoop, _ time.Time) { l.members.ObserveTerm(m.term) }

// leaseRenewedMsg reports a renewed lease, with the task events and the usage
// that the worker returned.
type leaseRenewedMsg struct {
	worker model.WorkerID
	term   uint64
	sentAt time.Time
	result ports.SyncResult
}

func (m leaseRenewedMsg) handle(l *ownerLoop, now time.Time) {
	l.leases.RecordRenewal(m.worker, m.term, m.sentAt)
	l.core.HandleLeaseRenewed(m.sentAt, m.worker)
	for _, ev := range m.result.Events {
		l.core.HandleTaskReport(now, m.worker, scheduler.TaskReport{
			ID: ev.ID, Attempt: ev.Attempt, State: ev.State, OK: ev.OK, Answer: ev.Answer,
		})
	}
	l.core.HandleUsageReport(now, m.worker, m.result.Usage)
}

// leaseLostMsg reports that the worker no longer accepts the lease of a term.
type leaseLostMsg struct {
	worker model.WorkerID
	term   uint64
}

// handle ignores the loss of a lease that was replaced by one of another term.
func (m leaseLostMsg) handle(l *ownerLoop, now time.Time) {
	if l.leases.RemoveTerm(m.worker, m.term) {
		l.core.HandleLeaseLost(now, m.worker)
	}
}

// tasksNotStartedMsg reports starts that the worker certainly did not accept.
type tasksNotStartedMsg struct {
	worker model.WorkerID
	tasks  []scheduler.Start
}

func (m tasksNotStartedMsg) handle(l *ownerLoop, now time.Time) {
	for _, s := range m.tasks {
		l.core.HandleTaskNotStarted(now, m.worker, s.ID, s.Attempt)
	}
}
