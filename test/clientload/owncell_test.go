package clientload

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/api"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/testbed"
)

const (
	dataCentre = "klang-a"
	// commentBytes makes the configuration as large as a body.
	commentBytes = 200_000
	// configText is the configuration of the cell. A comment follows it.
	configText = `{"cell": "load", "data_centres": [{"name": "klang-a", "region": "klang"}],
		"teams": [{"name": "parties", "quota": {"milli_cpu": 64000, "slots": 16}}],
		"services": [{"name": "fill-plan", "team": "parties", "class": "batch", "size": {"milli_cpu": 100, "mem_mb": 100},
			"idempotent": true, "run_ms": 100, "new_percent": 100}],
		"old": {"slots_per_worker": 2}}`
)

// ownCell is a cell of daemons with settings files of their own.
type ownCell struct {
	t       *testing.T
	cluster *testbed.Cluster
	daemons []*daemonProcess
}

// startOwnCell starts the stand-ins and two daemons and waits until both accept a request.
func startOwnCell(t *testing.T, b bounds) *ownCell {
	t.Helper()
	cluster, err := testbed.Start(t.Context(), testbed.Options{Bin: programDir, Dir: t.TempDir(),
		DCs:      []testbed.DC{{Name: dataCentre, Region: "klang", Workers: 2, Daemons: 2}},
		Capacity: model.Size{MilliCPU: 32_000, MemMB: 128_000, Slots: 8, Conns: 64},
		MemoryMB: b.memoryMB, MaxFiles: b.maxFiles})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = cluster.Stop() }) // The daemons are killed, so nothing is left to report.
	c := &ownCell{t: t, cluster: cluster}
	for _, id := range cluster.DaemonIDs {
		d := cluster.Daemons[id]
		c.daemons = append(c.daemons, &daemonProcess{Process: d.Process, addresses: []string{d.CallerAddr, d.PeerAddr, d.Fault}})
	}
	_, err = cluster.Publish(t.Context(), configText+"// "+strings.Repeat("x", commentBytes))
	assert.NilError(t, err)
	c.checkOrdinaryRequests()
	return c
}

// checkOrdinaryRequests checks that each daemon accepts an ordinary request.
func (c *ownCell) checkOrdinaryRequests() {
	c.t.Helper()
	for _, id := range c.cluster.DaemonIDs {
		client, err := c.cluster.Client(id)
		assert.NilError(c.t, err)
		request := api.SubmitRequest{Key: dataCentre + ":" + newID(), Service: "fill-plan"}
		err = await(func() error {
			_, err := client.Submit(c.t.Context(), request)
			return err
		})
		if err != nil {
			c.t.Errorf("%s (alive: %t) does not accept an ordinary request: %v", id, c.cluster.Daemons[id].Alive(), err)
		}
	}
}

// port is a listener of a daemon, and the path of its call that has a body.
type port struct {
	address func(*testbed.Daemon) string
	path    string
}

func (p port) target(d *testbed.Daemon) target {
	return target{address: p.address(d), request: func(string) string {
		return "POST " + p.path + " HTTP/1.1\r\nHost: load.example\r\nContent-Type: application/json\r\n"
	}}
}

// playOwn plays a shape by n clients of a daemon and checks the daemons afterwards.
func playOwn(t *testing.T, b bounds, p port, n int, s shape) {
	t.Run(s.name, func(t *testing.T) {
		c := startOwnCell(t, b)
		owner, _ := c.cluster.Owner(t.Context(), dataCentre)
		t.Logf("%s owns the data centre", owner)
		stop := watch(c.daemons)
		crowd(p.target(c.cluster.Daemons[c.cluster.DaemonIDs[0]]), n, s.act)
		c.checkOrdinaryRequests()
		stop()
		b.check(t, c.daemons)
		logGuard(t, s.guards)
	})
}

// Ports of a daemon.
var (
	callers = port{func(d *testbed.Daemon) string { return d.CallerAddr }, "/v1/requests"}
	peers   = port{func(d *testbed.Daemon) string { return d.PeerAddr }, "/v1/requests"}
	faults  = port{func(d *testbed.Daemon) string { return d.Fault }, "/admin/fault"}
)

var idleConnections = frameShapes[0]

// largePayload is the payload of a large request, in base64.
var largePayload = strings.Repeat("eHh4", 48_000)

// ownShapes are whole requests that take much memory.
var ownShapes = []shape{
	{"large_requests", "large requests that are passed on together fill the memory of either daemon", func(c *client) {
		c.submit(fmt.Sprintf(`{"key":"%s:%s","service":"fill-plan","payload":"%s"}`, dataCentre, c.id, largePayload))
	}},
	{"unread_answers", "answers that the client does not read fill the memory", func(c *client) {
		requests := strings.Repeat("GET /metrics HTTP/1.1\r\nHost: load.example\r\n\r\n", 50)
		c.drip(time.Now().Add(holdTime), func(int) string { return requests })
	}},
	{"large_unread_answers", "the same for answers as large as the configuration", func(c *client) {
		c.sendAndHold(strings.Repeat("GET /v1/config HTTP/1.1\r\nHost: load.example\r\n\r\n", 50))
	}},
}

func TestClientLoadOwnCell(t *testing.T) {
	playOwn(t, lowered, callers, connectionCrowd, idleConnections)
	for _, s := range append(ownShapes, httpShapes...) {
		playOwn(t, lowered, callers, crowdSize, s)
	}
}

func TestClientLoadPeers(t *testing.T) {
	playOwn(t, lowered, peers, connectionCrowd, idleConnections)
	for _, s := range append(frameShapes[1:], httpShapes...) {
		playOwn(t, lowered, peers, crowdSize, s)
	}
	playOwn(t, lowered, peers, 20, shape{"empty_records", "messages that decode to many times their size fill the memory", func(c *client) {
		c.sendAndHold(replication(2_000_000))
	}})
}

// The fault port is open in tests only.
func TestClientLoadFaultPort(t *testing.T) {
	playOwn(t, lowered, faults, connectionCrowd, idleConnections)
	for _, s := range httpShapes {
		playOwn(t, lowered, faults, crowdSize, s)
	}
}

// As TestClientLoadManyConnections.
func TestClientLoadOwnCellManyConnections(t *testing.T) {
	for _, s := range append(ownShapes, httpShapes...) {
		playOwn(t, manyFiles, callers, largeCrowd, s)
	}
}
