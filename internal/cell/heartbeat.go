package cell

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"catkinvalve/internal/adapters/linkrpc"
	"catkinvalve/internal/cellpb"
	"catkinvalve/internal/core/succession"
)

// maxHeartbeatSuccessors limits the successors that a heartbeat lists, so that its
// size does not grow with the number of daemons.
const maxHeartbeatSuccessors = 8

// addNode records a daemon's link address. A new address is sent to all daemons with the
// next heartbeats.
func (l *leader) addNode(name, address string) {
	if l.nodes[name] != address {
		l.nodes[name] = address
		l.nodeChanges = append(l.nodeChanges, name)
	}
}

// sendHeartbeats sends the next round of heartbeats if it is due, considers a handover
// to a better leader and dials daemons to which there is no link.
func (l *leader) sendHeartbeats(now time.Time) {
	if now.Sub(l.lastHeartbeatAt) < succession.HeartbeatInterval {
		return
	}
	l.lastHeartbeatAt = now
	order := l.successors(now)
	l.considerBetterLeader(now, order)
	l.heartbeatSuccessors = order[:min(len(order), maxHeartbeatSuccessors)]
	l.heartbeatRounds++
	for _, link := range l.d.members.peerLinks() {
		if l.heartbeatDue(link.PeerHello.Node) {
			l.sendHeartbeat(now, link)
		}
	}
	if now.Sub(l.lastDialAt) >= dialInterval {
		l.lastDialAt = now
		l.dialUnlinkedDaemons()
	}
}

const (
	// halfRateHeartbeatDaemons is the number of daemons from which on only the listed
	// successors get every heartbeat. The others get every second one.
	halfRateHeartbeatDaemons = 100
)

// heartbeatDue reports whether a daemon gets a heartbeat in the current round.
func (l *leader) heartbeatDue(name string) bool {
	return len(l.nodes) < halfRateHeartbeatDaemons || l.heartbeatRounds%2 == 0 || slices.Contains(l.heartbeatSuccessors, name)
}

// sendHeartbeat sends a heartbeat to one daemon.
func (l *leader) sendHeartbeat(now time.Time, link *linkrpc.Link) {
	link.Send(&cellpb.Frame{Heartbeat: l.heartbeat(now, link)})
}

// heartbeat returns the heartbeat for one daemon and records what it contains. The
// heartbeat includes the daemons that were added or moved only if they were not sent over the
// link yet, and the configuration only if the daemon needs it.
func (l *leader) heartbeat(now time.Time, link *linkrpc.Link) *cellpb.Heartbeat {
	h := &cellpb.Heartbeat{Token: l.token, Successors: l.heartbeatSuccessors, ConfigVersion: l.configVersion, ConfigAgeMs: l.d.config.ageMs(time.Now())}
	sent, known := l.lastSent[link]
	if !known {
		l.removeClosedLinks()
	}
	if l.configDue(link, sent) {
		h.ConfigGzip = l.compressedConfig()
		sent.config, sent.configAt = l.configVersion, now
	}
	for _, name := range l.nodeChanges[min(sent.nodes, len(l.nodeChanges)):] {
		h.Nodes = append(h.Nodes, &cellpb.StoredNode{Node: name, Address: l.nodes[name]})
	}
	sent.nodes = len(l.nodeChanges)
	l.lastSent[link] = sent
	return h
}

// configConfirmTimeout is the time after the sending of a configuration from which on a report
// without it shows that it did not take effect. It covers the transfer of a long configuration
// over a link between regions.
const configConfirmTimeout = 2 * time.Second

// configDue reports whether a heartbeat includes the configuration: if it was not sent over the
// link yet, or was sent and is not confirmed by the daemon's later reports.
func (l *leader) configDue(link *linkrpc.Link, sent sentVersions) bool {
	report := l.reportOver(link)
	switch {
	case report.GetConfigVersion() >= l.configVersion:
		return false
	case sent.config < l.configVersion:
		return true
	}
	return report != nil && l.reports[link.PeerHello.Node].receivedAt.Sub(sent.configAt) >= configConfirmTimeout
}

// compressedConfig returns the configuration in the form in which heartbeats contain it. It
// is compressed once per version: in a cell of many daemons a long configuration would
// otherwise fill the links between regions.
func (l *leader) compressedConfig() []byte {
	config := l.d.config.current.Load()
	if config == nil || config.Version == l.compressedVersion {
		return l.compressed
	}
	data, err := cellpb.CompressConfig(config)
	if err != nil {
		l.log.WithFields(logrus.Fields{"event": "config_unsendable", "version": config.Version, "error": err.Error()}).Error("cannot compress the configuration for the other daemons")
	}
	l.compressed, l.compressedVersion = data, config.Version
	return data
}

// removeClosedLinks removes the records of what was sent over links that are closed.
func (l *leader) removeClosedLinks() {
	for link := range l.lastSent {
		select {
		case <-link.Done():
			delete(l.lastSent, link)
		default:
		}
	}
}

// dialUnlinkedDaemons dials the daemons to which there is no open link.
func (l *leader) dialUnlinkedDaemons() {
	for name, address := range l.nodes {
		if name != l.d.settings.Node && l.d.members.linkTo(name) == nil {
			l.goroutines.Go(func() { l.d.dial(l.ctx, address) })
		}
	}
}
