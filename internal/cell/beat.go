package cell

import (
	"slices"
	"time"

	"catkinvalve/internal/adapters/linkrpc"
	"catkinvalve/internal/cellpb"
	"catkinvalve/internal/core/succession"
)

// toldSuccessors is how many successors a heartbeat names, so that its size does
// not grow with the number of daemons.
const toldSuccessors = 8

// addNode records where a daemon is.
func (l *leader) addNode(name, address string) {
	if l.nodes[name] != address {
		l.nodes[name] = address
		l.nodeChanges = append(l.nodeChanges, name)
	}
}

// beat sends heartbeats and dials daemons without a link.
func (l *leader) beat(now time.Time) {
	if now.Sub(l.lastHeartbeat) < succession.HeartbeatInterval {
		return
	}
	l.lastHeartbeat = now
	order := l.successors(now)
	l.considerBetter(now, order)
	l.toldOrder = order[:min(len(order), toldSuccessors)]
	l.beats++
	for _, link := range l.d.members.peers() {
		if l.hears(link.PeerHello.Node) {
			l.sendHeartbeat(link)
		}
	}
	if now.Sub(l.lastDial) >= dialInterval {
		l.lastDial = now
		l.dialMissing()
	}
}

const (
	// manyDaemons is the number of daemons from which those that are not about to
	// take over get only each second heartbeat.
	manyDaemons = 100
)

// hears reports whether a daemon gets the present heartbeat.
func (l *leader) hears(name string) bool {
	return len(l.nodes) < manyDaemons || l.beats%2 == 0 || slices.Contains(l.toldOrder, name)
}

// sendHeartbeat sends a heartbeat to one daemon.
func (l *leader) sendHeartbeat(link *linkrpc.Link) {
	link.Send(&cellpb.Frame{Heartbeat: l.heartbeat(link)})
}

// heartbeat returns the heartbeat for one daemon. It carries the configuration
// and the list of daemons when that daemon does not have them.
func (l *leader) heartbeat(link *linkrpc.Link) *cellpb.Heartbeat {
	h := &cellpb.Heartbeat{Token: l.token, Successors: l.toldOrder, ConfigVersion: l.configVersion}
	told := l.told[link]
	if told.config < l.configVersion && l.reports[link.PeerHello.Node].GetConfigVersion() < l.configVersion {
		h.Config = cellpb.FromConfig(l.d.config.current.Load())
	}
	for _, name := range l.nodeChanges[min(told.nodes, len(l.nodeChanges)):] {
		h.Nodes = append(h.Nodes, &cellpb.StoredNode{Node: name, Address: l.nodes[name]})
	}
	if _, known := l.told[link]; !known {
		l.forgetClosed()
	}
	l.told[link] = toldState{config: l.configVersion, nodes: len(l.nodeChanges)}
	return h
}

func (l *leader) forgetClosed() {
	for link := range l.told {
		select {
		case <-link.Done():
			delete(l.told, link)
		default:
		}
	}
}

// dialMissing links to daemons without a link.
func (l *leader) dialMissing() {
	for name, address := range l.nodes {
		if name != l.d.set.Node && l.d.members.linkTo(name) == nil {
			l.work.Go(func() { l.d.dial(l.ctx, address) })
		}
	}
}
