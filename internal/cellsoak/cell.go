package cellsoak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"catkinvalve/internal/adapters/jsonhttp"
	"catkinvalve/internal/cellpb"
	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/faultproxy"
	"catkinvalve/internal/pause"
	"catkinvalve/internal/ports"
	"catkinvalve/platform"
)

// Ports. Each process has a loopback address of its own, so they are the same for all.
const (
	callerPort    = 8161
	readinessPort = 8167
	serverPort    = 8169
	proxyPort     = 8170
	linkPort      = 7720
)

// Subnets of the run's loopback network: the third octet of an address.
const (
	daemonSubnet = 0
	workerSubnet = 1
	storeSubnet  = 2
)

const (
	service = "build"
	host    = "soak.example"
	// drainDuration is how long a draining worker keeps running before it leaves.
	drainDuration = 3 * time.Second
)

var workerCapacity = model.Size{MilliCPU: 8000, MemMB: 16_000}

// soakCell is the system under test: daemon processes, and stand-ins of the platform in
// this process behind proxies.
type soakCell struct {
	bin, dir string
	// network is the second octet of the run's loopback addresses.
	network int
	checker *checker
	store   *store
	workers []*soakWorker
	daemons []*soakDaemon
	// networkLock listens on an address of the network, so that no other run claims it.
	networkLock net.Listener
	// close holds the functions that stop the servers and proxies in this process.
	close []func()
	// configMu guards config.
	configMu sync.Mutex
	config   ports.CellConfig
	caller   platform.Caller
	// tenants is nil in a run without tenants.
	tenants *tenants
	// deadlyJobs is set while a share of the new jobs is deadly.
	deadlyJobs atomic.Bool
	// newIDs counts the workers that were back under a new ID after a crash under a task.
	newIDs atomic.Int64
}

// soakWorker is a simulated worker with the proxy in front of its server and its entry
// in the store.
type soakWorker struct {
	*worker
	// crashing is held while an injected crash keeps the worker down, also one that has
	// crashed under a task before.
	crashing sync.Mutex
	proxy    *faultproxy.Proxy
	entry    jobs.WorkerEntry
}

// address returns the address with the given port of host n in a subnet of the run's
// network.
func (c *soakCell) address(subnet, n, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", c.network, subnet, n+1, port)
}

// newCell starts the stand-ins and the daemons. On failure it may return an incomplete
// cell that must be stopped, too.
func newCell(bin, dir string, daemons, workers int, seed uint64, withTenants bool) (*soakCell, error) {
	c := &soakCell{bin: bin, dir: dir, checker: newChecker(), store: newStore()}
	if withTenants {
		c.tenants = newTenants(seed, c.checker)
	}
	if err := c.claimNetwork(); err != nil {
		return nil, err
	}
	client, err := jsonhttp.New(jsonhttp.Options{Timeout: 5 * time.Second})
	if err != nil {
		return c, err
	}
	c.caller = platform.Caller{Client: client, Host: host}
	if err := c.serve(c.address(storeSubnet, 0, serverPort), platform.StandinStoreHandler(c.store.topic, c.store.injectFault)); err != nil {
		return c, err
	}
	if err := c.serve(c.address(storeSubnet, 1, serverPort), platform.StandinAdviceHandler(c.advise)); err != nil {
		return c, err
	}
	for i := range workers {
		if err := c.addWorker(i, seed); err != nil {
			return c, err
		}
	}
	if err := c.publishConfig(); err != nil {
		return c, err
	}
	for i := range daemons {
		if err := c.addDaemon(i, daemons); err != nil {
			return c, err
		}
	}
	return c, nil
}

// Soak runs use the loopback networks 127.64 to 127.127, each with a prefix of 16 bits.
const (
	firstNetwork = 64
	networkCount = 64
)

// claimNetwork selects a loopback network that no other run uses, and locks it.
func (c *soakCell) claimNetwork() error {
	for i := range networkCount {
		c.network = firstNetwork + (os.Getpid()+i)%networkCount
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", c.network, serverPort))
		if err == nil {
			c.networkLock = l
			return nil
		}
	}
	return errors.New("all loopback networks for soak runs are in use; wait until other runs have ended")
}

// serve starts an HTTP server in this process.
func (c *soakCell) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.Serve(l) }() // Serve returns when the server is closed.
	c.close = append(c.close, func() { _ = s.Close() })
	return nil
}

// addWorker starts worker i behind a proxy and registers it.
func (c *soakCell) addWorker(i int, seed uint64) error {
	id := model.WorkerID(fmt.Sprintf("w-%02d", i))
	w := &soakWorker{worker: newWorker(c.checker, id, workerCapacity, seed+uint64(i))}
	if err := c.serve(c.address(workerSubnet, i, serverPort), platform.StandinWorkerHandler(w.worker)); err != nil {
		return err
	}
	var err error
	if w.proxy, err = faultproxy.Listen(c.address(workerSubnet, i, proxyPort), c.address(workerSubnet, i, serverPort)); err != nil {
		return err
	}
	c.close = append(c.close, w.proxy.Close)
	w.entry = jobs.WorkerEntry{ID: id, Address: w.proxy.Address(), Service: service, Labels: []string{fmt.Sprint("r", i/4)}, Capacity: workerCapacity, Incarnation: w.Incarnation()}
	c.workers = append(c.workers, w)
	return c.register(w)
}

// register writes a worker's entry with its current incarnation to the store, where the
// daemons read it.
func (c *soakCell) register(w *soakWorker) error {
	c.checker.mu.Lock()
	w.entry.ID, w.entry.Incarnation = w.id, w.Incarnation()
	record, err := platform.WorkerRecord(&w.entry)
	c.checker.mu.Unlock()
	if err != nil {
		return err
	}
	return c.appendRecord(platform.WorkerTopic(), record)
}

func (c *soakCell) appendRecord(topic string, r ports.KeyedRecord) error {
	_, err := c.store.topic(topic).Append(ports.Append{Records: []ports.KeyedRecord{r}})
	return err
}

// Path prefixes of the routes; each is the name of its queue as well.
const (
	urgentPrefix = "/urgent/"
	batchPrefix  = "/batch/"
)

// publishConfig writes the next version of the configuration, which has one more route
// than the previous one.
func (c *soakCell) publishConfig() error {
	c.configMu.Lock()
	defer c.configMu.Unlock()
	advice := &jobs.AdviceConfig{DecisionTime: 20 * time.Millisecond, TimePerWorker: time.Millisecond, Validity: 2 * time.Second}
	route := func(prefix string, priority int, a *jobs.AdviceConfig) ports.Route {
		return ports.Route{Host: host, Prefix: prefix, Queue: jobs.Queue{Name: prefix, Service: service, Priority: priority,
			MaxAttempts: maxAttempts, Slack: 2, Target: time.Second, Advice: a}}
	}
	c.config.Version++
	c.config.MaxBodyBytes = 64 << 10
	if c.config.Routes == nil {
		c.config.Routes = []ports.Route{route(urgentPrefix, 0, nil), route(batchPrefix, 1, advice)}
	}
	c.config.Routes = append(c.config.Routes, route(extraPrefix(c.config.Version), 2, nil))
	record, err := c.configRecord()
	if err != nil {
		return err
	}
	return c.appendRecord(platform.OperatorTopic(), record)
}

// configRecord encodes the configuration with the present tenants.
func (c *soakCell) configRecord() (ports.KeyedRecord, error) {
	c.checker.mu.Lock()
	defer c.checker.mu.Unlock()
	if c.tenants == nil {
		return platform.ConfigRecord(&c.config)
	}
	return platform.TenantConfigRecord(&c.config, c.tenants.list)
}

// extraPrefix returns the prefix of the route that a version adds.
func extraPrefix(version int64) string { return fmt.Sprintf("/extra-%d/", version) }

func (c *soakCell) addViolation(format string, args ...any) {
	c.checker.mu.Lock()
	defer c.checker.mu.Unlock()
	c.checker.addViolation(format, args...)
}

// advise is the advice service. It allows about two thirds of the workers for each step,
// a worker under its new IDs wherever it was allowed before. It reports false if ctx ends
// first.
func (c *soakCell) advise(ctx context.Context, step string, workers []model.WorkerID) (ports.AdviceAnswer, bool) {
	a := ports.AdviceAnswer{Validity: 2 * time.Second}
	select {
	case <-time.After(20*time.Millisecond + time.Duration(len(workers))*time.Millisecond):
	case <-ctx.Done():
		return a, false
	}
	for _, w := range workers {
		name := originalName(w)
		if (int(name[len(name)-1])+len(step))%3 != 0 {
			a.Allowed = append(a.Allowed, jobs.Allowance{Worker: w, Ticket: "t"})
		}
	}
	return a, true
}

// runWorkers advances the workers' runs every tickInterval until ctx ends.
func (c *soakCell) runWorkers(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			c.checker.mu.Lock()
			for _, w := range c.workers {
				if w.advance(now) {
					go c.restoreWorker(ctx, w)
				}
			}
			c.checker.mu.Unlock()
		}
	}
}

const (
	// minDowntime and maxDowntime bound the time from a crash under a task until the
	// worker is back.
	minDowntime = 1500 * time.Millisecond
	maxDowntime = 4500 * time.Millisecond
	// entryLinger is how long the entry of the old ID stays in the store after the worker
	// is back under a new one.
	entryLinger = 3 * time.Second
)

// restoreWorker brings a worker back after a crash under a task, half of the times under a
// new ID at the same address.
func (c *soakCell) restoreWorker(ctx context.Context, w *soakWorker) {
	w.proxy.Refuse()
	if !pause.For(ctx, minDowntime+rand.N(maxDowntime-minDowntime)) {
		return
	}
	w.crashing.Lock()
	c.checker.mu.Lock()
	oldID, newID := w.id, w.id
	if rand.IntN(2) == 0 {
		newID = model.WorkerID(fmt.Sprintf("%s.%d", originalName(oldID), c.newIDs.Add(1)))
	}
	w.comeBack(newID)
	c.checker.mu.Unlock()
	err := errors.Join(c.register(w), w.proxy.Resume())
	w.crashing.Unlock()
	if newID != oldID && pause.For(ctx, entryLinger) {
		err = errors.Join(err, c.appendRecord(platform.WorkerTopic(), ports.KeyedRecord{Key: string(oldID)}))
	}
	if err != nil {
		c.addViolation("FAULT: %s cannot come back: %v", oldID, err)
	}
}

// originalName returns the ID that a worker had before its first crash.
func originalName(id model.WorkerID) string {
	name, _, _ := strings.Cut(string(id), ".")
	return name
}

// leader returns the index of the daemon that the newest leader record names, and -1
// without one.
func (c *soakCell) leader() int {
	for _, r := range c.store.topic(platform.LeaderTopic()).Newest("", 1).Records {
		var node cellpb.StoredNode
		if proto.Unmarshal(r.Value, &node) == nil {
			return slices.IndexFunc(c.daemons, func(d *soakDaemon) bool { return d.settings.Node == node.Node })
		}
	}
	return -1
}

// stop kills the daemons, also suspended ones, closes all servers and proxies and releases
// the network.
func (c *soakCell) stop() error {
	var errs []error
	for _, d := range c.daemons {
		if d.process != nil {
			_ = d.process.Signal(syscall.SIGCONT) // It may have ended already.
			errs = append(errs, d.process.Kill())
		}
	}
	for _, f := range c.close {
		f()
	}
	if c.networkLock != nil {
		errs = append(errs, c.networkLock.Close())
	}
	return errors.Join(errs...)
}
