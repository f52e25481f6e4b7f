package cell

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"catkinvalve/internal/adapters/linkrpc"
	"catkinvalve/internal/cellpb"
	"catkinvalve/internal/pause"
	"catkinvalve/internal/ports"
)

// Deps are the dependencies of a daemon.
type Deps struct {
	Store   ports.Store
	Config  ports.ConfigSource
	List    ports.WorkerList
	Workers ports.WorkerClient
	// AdviceService is nil when there is no advice service.
	AdviceService ports.AdviceService
	// CloseIdleConns closes unused connections to workers.
	CloseIdleConns func()
	Log            *logrus.Entry
	Registry       metrics.Registry
}

// Daemon is one daemon of a cell.
type Daemon struct {
	settings    Settings
	deps        Deps
	log         *logrus.Entry
	registry    metrics.Registry
	incarnation int64
	started     time.Time
	// electionJitter, from 0 to 1, spreads the daemons' attempts in the first election.
	electionJitter float64
	config         *configHolder
	store          *storeHealth
	members        *members
	forwarder      *forwarder
	transport      *linkrpc.Transport
	// linkGoroutines are the goroutines of dialed links and of requests received
	// over links.
	linkGoroutines conc.WaitGroup
	// activeLeader is nil while this daemon is not the leader.
	activeLeader atomic.Pointer[leader]
	// handoverRequested is set when the leader asks this daemon to take over.
	handoverRequested atomic.Bool
	// electionWake wakes the election loop before its next tick.
	electionWake chan struct{}
	shuttingDown atomic.Bool
	// claimedToken is the token with which this daemon leads or claims the leadership,
	// or 0.
	claimedToken atomic.Uint64
	// maxDirectWorkers is the number of workers up to which this daemon, as the leader,
	// makes all calls to workers itself.
	maxDirectWorkers int
	// refusedToken is the highest token of a leader that a worker refused.
	refusedToken atomic.Uint64
	// relaysMu guards relays, which holds the relays by link to their leader.
	relaysMu sync.Mutex
	relays   map[*linkrpc.Link]*relay
}

// New returns a daemon. Run starts it.
func New(settings Settings, deps Deps) *Daemon {
	now := time.Now()
	d := &Daemon{settings: settings, deps: deps, log: deps.Log, registry: deps.Registry, incarnation: now.UnixNano(), started: now, electionJitter: rand.Float64(),
		config: &configHolder{log: deps.Log}, store: &storeHealth{log: deps.Log}, members: newMembers(settings.Node, now), maxDirectWorkers: maxDirectWorkers, relays: map[*linkrpc.Link]*relay{}, electionWake: make(chan struct{}, 1)}
	d.forwarder = newForwarder(d)
	d.transport = &linkrpc.Transport{Hello: d.hello, Handler: d, Viewer: d, Registry: deps.Registry, Log: deps.Log}
	d.config.onChange = append(d.config.onChange, d.logConfigProblems, func(c *ports.CellConfig) {
		if l := d.activeLeader.Load(); l != nil {
			go l.push(configMsg{c})
		}
	})
	return d
}

// API returns the interface through which callers use this daemon.
func (d *Daemon) API() API { return d.forwarder }

// register stores the record of this daemon, retrying until it succeeds or ctx ends,
// and reads the records of the other daemons.
func (d *Daemon) register(ctx context.Context) {
	value, err := d.nodeRecord()
	if err != nil {
		d.log.WithError(err).Error("cannot encode the record of this daemon")
		return
	}
	d.members.setSeeds(d.settings.SeedLinkAddresses())
	for ctx.Err() == nil {
		_, err := d.appendOnce(ctx, ports.Append{Topic: ports.NodesTopic, Records: []ports.KeyedRecord{{Key: d.settings.Node, Value: value}}})
		if err == nil {
			break
		}
		pause.For(ctx, registerRetryInterval)
	}
	for name, address := range d.readNodes(ctx) {
		d.members.addNode(name, address)
	}
}

// nodeRecord returns the encoded record of this daemon.
func (d *Daemon) nodeRecord() ([]byte, error) {
	return proto.Marshal(&cellpb.StoredNode{Node: d.settings.Node, Address: d.settings.LinkAddress(), DataCentre: string(d.settings.DataCentre), Incarnation: d.incarnation})
}

// readNodes reads the link addresses of the registered daemons, by name, from the
// store. Records that cannot be read are logged and left out.
func (d *Daemon) readNodes(ctx context.Context) map[string]string {
	nodes := map[string]string{}
	err := d.forEachRecord(ctx, ports.NodesTopic, func(r *ports.NewestRecord) {
		n := &cellpb.StoredNode{}
		if err := proto.Unmarshal(r.Value, n); err != nil || n.Node == "" || n.Address == "" {
			d.log.WithFields(logrus.Fields{"event": "record_unreadable", "key": r.Key}).Error("the record of a daemon is invalid")
			return
		}
		nodes[n.Node] = n.Address
	})
	if err != nil {
		d.log.WithFields(logrus.Fields{"event": "nodes_unreadable", "error": err.Error()}).Warn("cannot read the records of all daemons from the store")
	}
	return nodes
}

// hello returns the first message of this daemon on a new link.
func (d *Daemon) hello() *cellpb.Hello {
	h := &cellpb.Hello{Node: d.settings.Node, Address: d.settings.LinkAddress(), DataCentre: string(d.settings.DataCentre), Incarnation: d.incarnation, Claimed: d.claimedToken.Load(),
		UptimeMs: time.Since(d.started).Milliseconds()}
	if l := d.activeLeader.Load(); l != nil {
		h.Token = l.token
	}
	return h
}

// View implements linkrpc.Viewer. It returns what this daemon knows about the leader.
func (d *Daemon) View(req *cellpb.ViewRequest) *cellpb.ViewResponse {
	s := d.members.electionState()
	v := &cellpb.ViewResponse{Node: d.settings.Node, Token: s.token, HeardAgeMs: -1, StoreAgeMs: d.store.age(time.Now()).Milliseconds(),
		Claimed: d.claimedToken.Load()}
	if d.config.version() > req.ConfigVersion {
		v.Config = cellpb.FromConfig(d.config.current.Load())
	}
	switch {
	case s.isLeader:
		v.LeaderAddress, v.Linked = d.settings.LinkAddress(), true
		v.HeardAgeMs = 0
		if l := d.activeLeader.Load(); l != nil {
			v.HeardAgeMs = l.silence().Milliseconds()
		}
	case s.leader != "":
		v.Linked = s.linked
		v.HeardAgeMs, v.LeaderAddress = s.heartbeatAge.Milliseconds(), d.members.otherAddresses()[s.leader]
	}
	return v
}

// sendToLeader sends a call to the leader, which may be this daemon, and records the
// link in w. It reports whether the call was sent.
func (d *Daemon) sendToLeader(c *cellpb.Call, w *waitingCall) bool {
	if l := d.activeLeader.Load(); l != nil {
		return l.inbox.TryPush(callMsg{origin: callOrigin{nil, c.Id}, call: c, receivedAt: time.Now()})
	}
	link := d.members.linkToLeader()
	if link == nil {
		return false
	}
	d.forwarder.mu.Lock()
	w.link = link
	d.forwarder.mu.Unlock()
	select {
	case <-link.Done():
		return false
	default:
	}
	return link.Send(&cellpb.Frame{Calls: []*cellpb.Call{c}})
}

// LinkOpened implements linkrpc.Handler.
func (d *Daemon) LinkOpened(l *linkrpc.Link) {
	d.members.addLink(l)
	if active := d.activeLeader.Load(); active != nil {
		active.push(linkOpenedMsg{l})
	}
	d.log.WithFields(logrus.Fields{"event": "link_opened", "peer": l.PeerHello.Node, "peer_token": l.PeerHello.Token}).Info("opened a link to a daemon")
}

// LinkClosed implements linkrpc.Handler.
func (d *Daemon) LinkClosed(l *linkrpc.Link) {
	d.members.removeLink(l)
	d.dropRelay(l)
	d.wakeElection()
	d.forwarder.failCallsOverLink(l)
	if active := d.activeLeader.Load(); active != nil {
		active.push(linkClosedMsg{l.PeerHello.Node})
	}
	d.log.WithFields(logrus.Fields{"event": "link_closed", "peer": l.PeerHello.Node}).Info("a link to a daemon was closed")
}

// Frame implements linkrpc.Handler. It handles each part of a received frame.
func (d *Daemon) Frame(l *linkrpc.Link, f *cellpb.Frame) {
	if f.Heartbeat != nil && d.members.handleHeartbeat(l, f.Heartbeat) {
		d.applyLeaderConfig(f.Heartbeat)
	}
	for _, r := range f.Replies {
		d.forwarder.deliverReply(r.Id, fromProtoReply(r))
	}
	active := d.activeLeader.Load()
	for _, c := range f.Calls {
		if refusal := active.receiveCall(l, c); refusal != nil {
			l.Send(&cellpb.Frame{Replies: []*cellpb.Reply{toProtoReply(c.Id, *refusal)}})
		}
	}
	for _, c := range f.AdviceCalls {
		d.linkGoroutines.Go(func() {
			req := c.ToAdviceRequest()
			l.Send(&cellpb.Frame{AdviceReplies: []*cellpb.AdviceReply{cellpb.FromAdviceResult(d.fetchAdvice(context.Background(), req))}})
		})
	}
	for _, c := range f.WorkerCalls {
		d.relayFor(l).makeCalls(c)
	}
	if active != nil {
		for _, r := range f.AdviceReplies {
			active.push(adviceResultMsg{r.ToAdviceResult()})
		}
		for _, r := range f.WorkerResults {
			active.push(workerResultsMsg{r, time.Now()})
		}
		if f.Report != nil {
			active.push(reportMsg{l.PeerHello.Node, l.PeerHello.Incarnation, f.Report})
		}
	}
	if f.Probe {
		d.linkGoroutines.Go(func() { d.probeStore(l) })
	}
	if f.Handover != nil && !d.members.knowsHigherToken(f.Handover.Token) {
		d.handoverRequested.Store(true)
		d.wakeElection()
	}
}
