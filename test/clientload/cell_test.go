package clientload

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
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

// Lowered limits of the daemons, which are also the bounds that the tests check. They are
// low so that a small crowd shows a missing limit.
const (
	memoryMB = 96
	maxFiles = 500
)

const (
	daemonCount   = 3
	maxBodyBytes  = 262_144
	callerPort    = 8161
	readinessPort = 8167
	linkPort      = 7720
	storePort     = 8169
	host          = "load.example"
	prefix        = "/jobs/"
	// readyTimeout bounds the start of the cell, and the time until an ordinary request is
	// answered, also on a busy machine.
	readyTimeout = 40 * time.Second
	pollInterval = 100 * time.Millisecond
)

// testCell is a cell of daemon processes, with a stand-in of the store in this process.
type testCell struct {
	t       *testing.T
	network int
	mu      sync.Mutex
	topics  map[string]*cellstore.Topic
	daemons []*testDaemon
	caller  platform.Caller
	lastID  int
}

// testDaemon is a daemon process with the largest values that were seen of it.
type testDaemon struct {
	process  *testbed.Process
	settings cell.Settings
	maxFiles int
}

// startCell starts the store and the daemons and waits until all of them accept a job.
func startCell(t *testing.T) *testCell {
	t.Helper()
	client, err := jsonhttp.New(jsonhttp.Options{Timeout: 5 * time.Second})
	assert.NilError(t, err)
	c := &testCell{t: t, topics: map[string]*cellstore.Topic{}, caller: platform.Caller{Client: client, Host: host}}
	l := c.listenForStore()
	server := &http.Server{Handler: platform.StandinStoreHandler(c.topic, executeAlways), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(l) }() // Serve returns when the server is closed.
	t.Cleanup(func() { _ = server.Close() })
	c.publishConfig()
	for i := range daemonCount {
		c.startDaemon(i)
	}
	c.checkOrdinaryRequests()
	return c
}

// listenForStore claims a loopback network that no other run uses.
func (c *testCell) listenForStore() net.Listener {
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

func (c *testCell) address(port, n int) string {
	return fmt.Sprintf("127.%d.0.%d:%d", c.network, n+1, port)
}

func (c *testCell) topic(name string) *cellstore.Topic {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.topics[name] == nil {
		c.topics[name] = cellstore.New()
	}
	return c.topics[name]
}

func (c *testCell) publishConfig() {
	queue := jobs.Queue{Name: "jobs", Service: "build", MaxAttempts: 3, Slack: 2, Target: time.Second}
	record, err := platform.ConfigRecord(&ports.CellConfig{Version: 1, MaxBodyBytes: maxBodyBytes, Routes: []ports.Route{{Host: host, Prefix: prefix, Queue: queue}}})
	assert.NilError(c.t, err)
	_, err = c.topic(platform.OperatorTopic()).Append(ports.Append{Records: []ports.KeyedRecord{record}})
	assert.NilError(c.t, err)
}

// startDaemon starts daemon i, or starts it again after its process was killed.
func (c *testCell) startDaemon(i int) {
	ip := fmt.Sprintf("127.%d.0.%d", c.network, i+1)
	s := cell.Settings{Node: fmt.Sprintf("daemon-%d", i), IP: ip, DataCentre: "a", Region: "north", Regions: map[model.DataCentre]string{"a": "north"},
		FirstPort: linkPort, LastPort: linkPort + 15, CallerAddress: c.address(callerPort, i), ReadinessAddress: c.address(readinessPort, i),
		StoreAddress: c.address(storePort, daemonCount), CPUShare: 0.5, LinkMbps: 1000, MemoryMB: memoryMB, MaxFiles: maxFiles,
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
	if i == len(c.daemons) {
		c.daemons = append(c.daemons, nil)
	}
	c.daemons[i] = &testDaemon{process: process, settings: s}
}

// leader returns the index of the daemon that the newest leader record names.
func (c *testCell) leader() int {
	for _, r := range c.topic(platform.LeaderTopic()).Newest("", 1).Records {
		var node cellpb.StoredNode
		if proto.Unmarshal(r.Value, &node) == nil {
			return slices.IndexFunc(c.daemons, func(d *testDaemon) bool { return d.settings.Node == node.Node })
		}
	}
	return -1
}

// follower returns the index of a daemon that does not lead.
func (c *testCell) follower() int { return (c.leader() + 1) % daemonCount }

// newID returns the ID of a job that was not submitted before.
func (c *testCell) newID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	return fmt.Sprintf("%016x", c.lastID)
}

// checkOrdinaryRequests checks that each daemon accepts an ordinary job. Refusals are repeated
// until readyTimeout.
func (c *testCell) checkOrdinaryRequests() {
	c.t.Helper()
	for i, d := range c.daemons {
		spec := &jobs.Spec{ID: c.newID(), Payload: "ordinary", Steps: []jobs.Step{{Count: 1, Size: model.Size{MilliCPU: 100}}}}
		var verdict cell.Verdict
		var err error
		for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
			if verdict, err = c.caller.Submit(c.t.Context(), d.settings.CallerAddress, prefix, spec); err == nil && verdict == cell.VerdictOK {
				break
			}
		}
		if err != nil || verdict != cell.VerdictOK {
			c.t.Errorf("daemon %d (alive: %t) does not accept an ordinary job: verdict %d, %v", i, d.process.Alive(), verdict, err)
		}
	}
}

// watch counts the open descriptors of all daemons until the returned function is called.
func (c *testCell) watch() (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			for _, d := range c.daemons {
				entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.process.PID()))
				d.maxFiles = max(d.maxFiles, len(entries))
			}
			select {
			case <-done:
				return
			case <-time.After(pollInterval):
			}
		}
	})
	return func() { close(done); wg.Wait() }
}

// checkBounds checks that each daemon is alive and has kept its bounds.
func (c *testCell) checkBounds() {
	c.t.Helper()
	leader := c.leader()
	for i, d := range c.daemons {
		peak := peakMB(d.process.PID())
		c.t.Logf("daemon %d (leader: %t): peak memory %d MB, descriptors %d", i, i == leader, peak, d.maxFiles)
		switch {
		case !d.process.Alive():
			c.t.Errorf("daemon %d has ended", i)
		case peak > memoryMB:
			c.t.Errorf("daemon %d used %d MB of memory, more than its %d MB", i, peak, memoryMB)
		}
		if d.maxFiles > maxFiles {
			c.t.Errorf("daemon %d had %d descriptors open, more than its %d", i, d.maxFiles, maxFiles)
		}
	}
}

// peakMB returns the largest resident memory of a process so far, and 0 if it has ended.
func peakMB(pid int) int {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(status)) {
		if rest, found := strings.CutPrefix(line, "VmHWM:"); found {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// executeAlways implements platform.StoreFault without faults.
func executeAlways(_ context.Context, _ bool, execute func()) platform.StoreOutcome {
	execute()
	return platform.OutcomeAnswered
}
