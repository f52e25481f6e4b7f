package clientload

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"catkinvalve/internal/adapters/jsonhttp"
	"catkinvalve/internal/cell"
	"catkinvalve/internal/cellpb"
	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/ports"
	"catkinvalve/internal/standin/cellstore"
	"catkinvalve/internal/testbed"
	"catkinvalve/platform"
)

const (
	daemonCount   = 3
	maxBodyBytes  = 262_144
	callerPort    = 8161
	readinessPort = 8167
	metricsPort   = 9464
	linkPort      = 7720
	storePort     = 8169
	host          = "load.example"
	prefix        = "/jobs/"
)

// platformCell is a cell of daemons on the platform, with a stand-in of the store in this process.
type platformCell struct {
	t       *testing.T
	bounds  bounds
	network int
	mu      sync.Mutex
	topics  map[string]*cellstore.Topic
	daemons []*daemonProcess
	caller  platform.Caller
}

// startPlatformCell starts the store and the daemons and waits until all of them accept a job.
func startPlatformCell(t *testing.T, b bounds) *platformCell {
	t.Helper()
	return startCellWithRoutes(t, b, 1)
}

// startCellWithRoutes is startPlatformCell with a number of routes in the configuration.
func startCellWithRoutes(t *testing.T, b bounds, routes int) *platformCell {
	t.Helper()
	client, err := jsonhttp.New(jsonhttp.Options{Timeout: 5 * time.Second})
	assert.NilError(t, err)
	c := &platformCell{t: t, bounds: b, topics: map[string]*cellstore.Topic{}, caller: platform.Caller{Client: client, Host: host}}
	l := c.listenForStore()
	server := &http.Server{Handler: platform.StandinStoreHandler(c.topic, executeAlways), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(l) }() // Serve returns when the server is closed.
	t.Cleanup(func() { _ = server.Close() })
	c.publishConfig(routes)
	for i := range daemonCount {
		c.daemons = append(c.daemons, nil)
		c.startDaemon(i)
	}
	c.checkOrdinaryRequests()
	return c
}

// listenForStore claims a loopback network that no other run uses.
func (c *platformCell) listenForStore() net.Listener {
	const firstNetwork, networks = 20, 40
	for i := range networks {
		c.network = firstNetwork + (os.Getpid()+i)%networks
		if l, err := net.Listen("tcp", c.address(storePort, daemonCount)); err == nil {
			return l
		}
	}
	c.t.Fatal("all loopback networks are in use; wait until other runs have ended")
	return nil
}

func (c *platformCell) address(port, n int) string {
	return fmt.Sprintf("127.%d.0.%d:%d", c.network, n+1, port)
}

// target returns a listener of daemon i.
func (c *platformCell) target(port, i int) target {
	return target{address: c.address(port, i), request: func(id string) string {
		return fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: %d\r\n", prefix, id, host, crowdDeadlineMS)
	}}
}

func (c *platformCell) topic(name string) *cellstore.Topic {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.topics[name] == nil {
		c.topics[name] = cellstore.New()
	}
	return c.topics[name]
}

func (c *platformCell) publishConfig(routes int) {
	config := &ports.CellConfig{Version: 1, MaxBodyBytes: maxBodyBytes}
	for i := range routes {
		queue := jobs.Queue{Name: fmt.Sprint("jobs", i), Service: "build", MaxAttempts: 3, Slack: 2, Target: time.Second}
		routePrefix := prefix
		if i > 0 {
			routePrefix = fmt.Sprintf("/%s/%d/", strings.Repeat("x", 100), i)
		}
		config.Routes = append(config.Routes, ports.Route{Host: host, Prefix: routePrefix, Queue: queue})
	}
	record, err := platform.ConfigRecord(config)
	assert.NilError(c.t, err)
	_, err = c.topic(platform.OperatorTopic()).Append(ports.Append{Records: []ports.KeyedRecord{record}})
	assert.NilError(c.t, err)
}

// startDaemon starts daemon i, or starts it again after its process was killed.
func (c *platformCell) startDaemon(i int) {
	ip := fmt.Sprintf("127.%d.0.%d", c.network, i+1)
	s := cell.Settings{Node: daemonName(i), IP: ip, DataCentre: "a", Region: "north", Regions: map[model.DataCentre]string{"a": "north"},
		FirstPort: linkPort, LastPort: linkPort + 15, CallerAddress: c.address(callerPort, i), ReadinessAddress: c.address(readinessPort, i),
		StoreAddress: c.address(storePort, daemonCount), CPUShare: 0.5, LinkMbps: 1000, MemoryMB: int64(c.bounds.memoryMB), MaxFiles: c.bounds.maxFiles,
		Bounds: cell.Bounds{MaxLease: 10 * time.Second, StopTimeout: time.Second, GangTimeout: time.Second, ShutdownGrace: 5 * time.Second, StatusRetention: time.Minute}}
	for n := range daemonCount {
		s.Seeds = append(s.Seeds, c.address(linkPort, n))
	}
	data, err := platform.EncodeSettings(&s)
	assert.NilError(c.t, err)
	dir := c.t.TempDir()
	path := filepath.Join(dir, "settings.toml")
	assert.NilError(c.t, os.WriteFile(path, data, 0o600))
	process, err := testbed.StartLogged(programDir, dir, s.Node, "catkinvalved", []string{platform.SettingsPathEnv + "=" + path}, "--platform")
	assert.NilError(c.t, err)
	c.t.Cleanup(func() { _ = process.Kill() })
	c.daemons[i] = &daemonProcess{Process: process}
	for _, port := range []int{callerPort, readinessPort, metricsPort, linkPort} {
		c.daemons[i].addresses = append(c.daemons[i].addresses, c.address(port, i))
	}
}

func daemonName(i int) string { return fmt.Sprintf("daemon-%d", i) }

// leader returns the index of the daemon that the newest leader record names.
func (c *platformCell) leader() int {
	for _, r := range c.topic(platform.LeaderTopic()).Newest("", 1).Records {
		var node cellpb.StoredNode
		if proto.Unmarshal(r.Value, &node) == nil {
			return slices.IndexFunc(c.daemons, func(d *daemonProcess) bool { return d.Name == node.Node })
		}
	}
	return -1
}

// follower returns the index of a daemon that does not lead.
func (c *platformCell) follower() int { return (c.leader() + 1) % daemonCount }

// checkOrdinaryRequests checks that each daemon accepts an ordinary job. Refusals are repeated
// until readyTimeout.
func (c *platformCell) checkOrdinaryRequests() {
	c.t.Helper()
	for i, d := range c.daemons {
		spec := &jobs.Spec{ID: newID(), Payload: "ordinary", Steps: []jobs.Step{{Count: 1, Size: model.Size{MilliCPU: 100}}}}
		err := await(func() error {
			verdict, err := c.caller.Submit(c.t.Context(), c.address(callerPort, i), prefix, spec)
			if err == nil && verdict != cell.VerdictOK {
				err = fmt.Errorf("verdict %d", verdict)
			}
			return err
		})
		if err != nil {
			c.t.Errorf("%s (alive: %t) does not accept an ordinary job: %v", d.Name, d.Alive(), err)
		}
	}
}

// play plays a load and checks the daemons afterwards.
func (c *platformCell) play(load func(*platformCell)) {
	c.t.Helper()
	c.t.Logf("daemon %d leads, %d is the follower", c.leader(), c.follower())
	stop := watch(c.daemons)
	load(c)
	c.checkOrdinaryRequests()
	stop()
	c.bounds.check(c.t, c.daemons)
}

// executeAlways implements platform.StoreFault without faults.
func executeAlways(_ context.Context, _ bool, execute func()) platform.StoreOutcome {
	execute()
	return platform.OutcomeAnswered
}
