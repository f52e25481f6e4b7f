package daemon

import (
	"time"

	"catkinvalve/internal/core/membership"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/scheduler"
	"catkinvalve/internal/core/split"
	"catkinvalve/internal/ports"
	"catkinvalve/internal/text"
)

// instanceListMsg carries a new instance list.
type instanceListMsg struct{ instances []ports.Instance }

func (m instanceListMsg) handle(l *ownerLoop, now time.Time) { l.applyInstanceList(now, m.instances) }

// heartbeatMsg carries the state that a peer reported in a heartbeat.
type heartbeatMsg struct {
	peer membership.Peer
	// requestedDrains lists the workers that operators asked to drain. It is used
	// only when the peer is the owner of this data centre.
	requestedDrains []model.WorkerID
}

func (m heartbeatMsg) handle(l *ownerLoop, now time.Time) {
	l.members.RecordHeartbeat(now, m.peer)
	if m.peer.Term > 0 && m.peer.DataCentre == l.set.DataCentre && !l.core.Serving() {
		l.core.SetRequestedDrains(now, m.requestedDrains)
	}
	if m.peer.Term > 0 && m.peer.DataCentre != l.set.DataCentre {
		l.core.SetRemoteLoad(now, m.peer.DataCentre, m.peer.Region, m.peer.Load)
	}
}

// configMsg activates a configuration revision. Revisions that are not newer
// than the active one are ignored.
type configMsg struct {
	revision uint64
	cfg      *text.Config
	history  split.History
}

func (m configMsg) handle(l *ownerLoop, now time.Time) {
	if m.revision <= l.revision {
		return
	}
	l.revision = m.revision
	l.core.ApplyConfig(now, m.cfg, m.history)
	l.log.WithField("revision", m.revision).Info("configuration activated")
}

// oldSystemReportMsg carries the old system's state of a request.
type oldSystemReportMsg struct{ report scheduler.OldSystemReport }

func (m oldSystemReportMsg) handle(l *ownerLoop, now time.Time) {
	l.core.HandleOldSystemReport(now, m.report)
}

// oldSystemLookupMsg reports whether the old system knows a key, or that it
// could not be asked.
type oldSystemLookupMsg struct {
	key                string
	known, unavailable bool
}

func (m oldSystemLookupMsg) handle(l *ownerLoop, now time.Time) {
	l.core.HandleOldSystemLookup(now, m.key, m.known, m.unavailable)
}

// reserveAckMsg reports that the old system confirmed to use at most slots on
// each worker.
type reserveAckMsg struct{ slots int64 }

func (m reserveAckMsg) handle(l *ownerLoop, now time.Time) {
	l.core.HandleReserveAcknowledged(now, m.slots)
}

// delegationReportMsg carries the state of a request that was delegated to
// another data centre.
type delegationReportMsg struct{ report scheduler.DelegationReport }

func (m delegationReportMsg) handle(l *ownerLoop, now time.Time) {
	l.core.HandleDelegationReport(now, m.report)
}
