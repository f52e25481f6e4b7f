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
			l.sendHeartbeat(link)
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
func (l *leader) sendHeartbeat(link *linkrpc.Link) {
	link.Send(&cellpb.Frame{Heartbeat: l.heartbeat(link)})
}

// heartbeat returns the heartbeat for one daemon and records what it contains. The
// heartbeat includes the daemons that were added or moved, and the configuration, only if
// they were not sent over the link yet. The configuration is also left out if the daemon
// has reported that it has it.
func (l *leader) heartbeat(link *linkrpc.Link) *cellpb.Heartbeat {
	h := &cellpb.Heartbeat{Token: l.token, Successors: l.heartbeatSuccessors, ConfigVersion: l.configVersion, ConfigAgeMs: l.d.config.ageMs(time.Now())}
	lastSent := l.lastSent[link]
	if lastSent.config < l.configVersion && l.reportOver(link).GetConfigVersion() < l.configVersion {
		h.ConfigGzip = l.compressedConfig()
	}
	for _, name := range l.nodeChanges[min(lastSent.nodes, len(l.nodeChanges)):] {
		h.Nodes = append(h.Nodes, &cellpb.StoredNode{Node: name, Address: l.nodes[name]})
	}
	if _, known := l.lastSent[link]; !known {
		l.removeClosedLinks()
	}
	l.lastSent[link] = sentVersions{config: l.configVersion, nodes: len(l.nodeChanges)}
	return h
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
