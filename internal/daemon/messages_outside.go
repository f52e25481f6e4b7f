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

// listMsg brings a new instance list.
type listMsg struct{ instances []ports.Instance }

func (m listMsg) handle(l *loop, now time.Time) { l.applyList(now, m.instances) }

// heartbeatMsg brings what a peer said of itself.
type heartbeatMsg struct {
	peer membership.Peer
	// drained lists the workers that operators asked to drain, if the peer is
	// the owner of this data centre.
	drained []model.WorkerID
}

func (m heartbeatMsg) handle(l *loop, now time.Time) {
	l.members.RecordHeartbeat(now, m.peer)
	if m.peer.Term > 0 && m.peer.DataCentre == l.set.DataCentre && !l.core.Serving() {
		l.core.SetRequestedDrains(now, m.drained)
	}
	if m.peer.Term > 0 && m.peer.DataCentre != l.set.DataCentre {
		l.core.SetRemoteLoad(now, m.peer.DataCentre, m.peer.Region, m.peer.Load)
	}
}

// configMsg brings a configuration revision into force.
type configMsg struct {
	revision uint64
	cfg      *text.Config
	carried  split.History
}

func (m configMsg) handle(l *loop, now time.Time) {
	if m.revision <= l.revision {
		return
	}
	l.revision = m.revision
	l.core.ApplyConfig(now, m.cfg, m.carried)
	l.log.WithField("revision", m.revision).Info("configuration in force")
}

// oldReportMsg brings the old system's state of a request.
type oldReportMsg struct{ report scheduler.OldSystemReport }

func (m oldReportMsg) handle(l *loop, now time.Time) { l.core.HandleOldSystemReport(now, m.report) }

// oldLookupMsg brings the old system's answer about a key.
type oldLookupMsg struct {
	key                string
	known, unavailable bool
}

func (m oldLookupMsg) handle(l *loop, now time.Time) {
	l.core.HandleOldSystemLookup(now, m.key, m.known, m.unavailable)
}

// reserveMsg reports that the old system uses at most slots on each worker.
type reserveMsg struct{ slots int64 }

func (m reserveMsg) handle(l *loop, now time.Time) { l.core.HandleReserveAcknowledged(now, m.slots) }

// delegateMsg brings the state of a delegated request.
type delegateMsg struct{ report scheduler.DelegationReport }

func (m delegateMsg) handle(l *loop, now time.Time) { l.core.HandleDelegationReport(now, m.report) }
