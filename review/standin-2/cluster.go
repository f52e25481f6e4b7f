//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"catkinvalve/internal/cellpb"
	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/ports"
	"catkinvalve/internal/standin/cellstore"
	"catkinvalve/platform"
)

const (
	service = "service-a"
	host    = "host-a.example"
	port    = 8169
	// heartbeat is how often workers write their entries.
	heartbeat = 1500 * time.Millisecond
	// storeTime is the time of a call to the store.
	storeTime = 4 * time.Millisecond
)

// cluster is the system under test with its stand-ins.
type cluster struct {
	dir     string
	network int
	began   time.Time
	lock    net.Listener
	record  *os.File
	servers []*http.Server
	daemons []*daemon
	http    *http.Client

	// slow is set while the store takes sixty times as long to answer.
	slow atomic.Bool
	// fullPage gets a value when a worker answers with a full page of ends.
	fullPage chan struct{}

	topicsMu sync.Mutex
	topics   map[string]*cellstore.Topic

	// mu guards the workers and the fields below.
	mu      sync.Mutex
	workers []*worker
	starts  []startEvent
	endsOf  map[jobs.TaskRef][]endEvent
	running map[jobs.TaskRef]int
	broken  []string
	version int64
}

type startEvent struct {
	at     time.Time
	ref    jobs.TaskRef
	number int64
	worker model.WorkerID
}

type endEvent struct {
	at     time.Time
	number int64
	how    string
	worker *worker
	born   time.Time
	seq    int64
	noted  time.Time
}

// daemon is a process of the system.
type daemon struct {
	n    int
	name string
	boot string
	cmd  *exec.Cmd
	done chan struct{}
}

func appendOf(r ports.KeyedRecord) ports.Append { return ports.Append{Records: []ports.KeyedRecord{r}} }

func newCluster(dir string) (*cluster, error) {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{dir: tmp, began: time.Now(), record: record, topics: map[string]*cellstore.Topic{},
		endsOf: map[jobs.TaskRef][]endEvent{}, running: map[jobs.TaskRef]int{}, fullPage: make(chan struct{}, 1), http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	for i := range 60 {
		c.network = 130 + (os.Getpid()+i)%60
		if c.lock, err = net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", c.network, port)); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	go c.runWorkers()
	go c.beat()
	return c, nil
}

// note writes a line to the record.
func (c *cluster) note(format string, args ...any) {
	fmt.Fprintf(c.record, "%8.3f %s\n", time.Since(c.began).Seconds(), fmt.Sprintf(format, args...))
}

// violate records a broken rule. The caller holds mu.
func (c *cluster) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.note("BROKEN %s", text)
	c.broken = append(c.broken, text)
}

func (c *cluster) ip(subnet, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", c.network, subnet, n+1)
}

func (c *cluster) topic(name string) *cellstore.Topic {
	c.topicsMu.Lock()
	defer c.topicsMu.Unlock()
	t := c.topics[name]
	if t == nil {
		t = cellstore.New()
		c.topics[name] = t
	}
	return t
}

// serveStore serves the store to one daemon at an address of its own.
func (c *cluster) serveStore(n int) (string, error) {
	address := fmt.Sprintf("%s:%d", c.ip(2, n), port)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	answer := func(_ context.Context, _ bool, execute func()) platform.StoreOutcome {
		time.Sleep(storeTime)
		execute()
		if c.slow.Load() {
			time.Sleep(59 * storeTime)
		}
		return platform.OutcomeAnswered
	}
	s := &http.Server{Handler: platform.StandinStoreHandler(c.topic, answer)}
	c.servers = append(c.servers, s)
	go func() { _ = s.Serve(l) }()
	return address, nil
}

// route is one queue of the configuration.
func route(name, prefix string, priority int) ports.Route {
	return ports.Route{Host: host, Prefix: prefix, Queue: jobs.Queue{Name: name, Service: service, Priority: priority, MaxAttempts: 3, Slack: 2, Target: time.Second}}
}

func (c *cluster) publish(routes ...ports.Route) error {
	c.version++
	record, err := platform.ConfigRecord(&ports.CellConfig{Version: c.version, Routes: routes, MaxBodyBytes: 256 << 10})
	if err == nil {
		_, err = c.topic(platform.OperatorTopic()).Append(appendOf(record))
	}
	return err
}

// addWorkers starts n workers, each with the label "rN" of its rack.
func (c *cluster) addWorkers(n int, capacity model.Size) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range n {
		i := len(c.workers)
		w := newWorker(c, fmt.Sprintf("worker-%02d", i), fmt.Sprintf("%s:%d", c.ip(1, i), port), capacity, fmt.Sprintf("r%d", i/rackSize))
		if err := w.start(); err != nil {
			return err
		}
		c.workers = append(c.workers, w)
	}
	return nil
}

func (c *cluster) runWorkers() {
	for now := range time.Tick(workTick) {
		c.mu.Lock()
		for _, w := range c.workers {
			w.work(now)
		}
		c.mu.Unlock()
	}
}

// beat lets the workers write their entries; those of silent workers are removed after three intervals.
func (c *cluster) beat() {
	silent := map[*worker]int{}
	for range time.Tick(heartbeat) {
		c.mu.Lock()
		for _, w := range c.workers {
			if !w.down && !w.cut {
				silent[w] = 0
				w.writeEntry()
				continue
			}
			if silent[w]++; silent[w] == 3 {
				_, _ = c.topic(platform.WorkerTopic()).Append(appendOf(ports.KeyedRecord{Key: string(w.id)}))
			}
		}
		c.mu.Unlock()
	}
}

// settingsText is a settings file of a small deployment.
const settingsText = `nodeName = "%[1]s"
role = "entry"
machineClass = "edge"
serves = ["edge","control"]
ip = "%[2]s"
zone = "zone-a"
region = "region-a"
internalPorts = [7720,7735]
seeds = [%[3]s]
bootstrap = %[4]v
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
controlMode = "rpc"
[zones]
zone-a = "region-a"
[listenAddrs]
frontend = "%[2]s:8161"
readiness = "%[2]s:8167"
control = "%[2]s:8166"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4200
linkMbps = 1000.0
[bounds]
graceS = 6
holdMaxMs = 10000
stopTimeoutMs = 400
gangTimeoutMs = 3000
status_s = 120
leaseMs = 3000
[platform]
address = "%[5]s"
form = "log"
`

func (c *cluster) addDaemons(n int) error {
	for i := range n {
		store, err := c.serveStore(i)
		if err != nil {
			return err
		}
		var seeds []string
		for s := range min(n, 3) {
			seeds = append(seeds, fmt.Sprintf("%q", c.ip(0, s)+":8166"))
		}
		d := &daemon{n: i, name: fmt.Sprintf("daemon-%d", i)}
		d.boot = filepath.Join(c.dir, d.name+".toml")
		text := fmt.Sprintf(settingsText, d.name, c.ip(0, i), strings.Join(seeds, ","), true, store)
		if err := os.WriteFile(d.boot, []byte(text), 0o600); err != nil {
			return err
		}
		c.daemons = append(c.daemons, d)
		if err := c.startDaemon(d); err != nil {
			return err
		}
	}
	return nil
}

// startDaemon starts a daemon with the command of the deploy file.
func (c *cluster) startDaemon(d *daemon) error {
	log, err := os.OpenFile(filepath.Join(c.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	d.cmd = exec.Command("target/catkinvalved", "--platform")
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsPathEnv + "=" + d.boot}
	d.cmd.Stdout, d.cmd.Stderr = log, log
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.done = make(chan struct{})
	cmd, done := d.cmd, d.done
	go func() { _ = cmd.Wait(); close(done) }()
	c.note("%s started, process %d", d.name, d.cmd.Process.Pid)
	return nil
}

func (c *cluster) kill(d *daemon) {
	c.note("%s killed", d.name)
	_ = d.cmd.Process.Signal(syscall.SIGKILL)
	<-d.done
}

func (c *cluster) signal(d *daemon, s syscall.Signal) {
	c.note("%s gets signal %v", d.name, s)
	_ = d.cmd.Process.Signal(s)
}

// leader returns the daemon that the newest leader record names.
func (c *cluster) leader() *daemon {
	for _, r := range c.topic(platform.LeaderTopic()).Newest("", 1).Records {
		var node cellpb.StoredNode
		if proto.Unmarshal(r.Value, &node) != nil {
			continue
		}
		for _, d := range c.daemons {
			if d.name == node.Node {
				return d
			}
		}
	}
	return nil
}

// stop ends all processes that the run started.
func (c *cluster) stop() {
	for _, d := range c.daemons {
		if d.cmd != nil && d.cmd.Process != nil {
			_ = d.cmd.Process.Signal(syscall.SIGCONT)
			_ = d.cmd.Process.Signal(syscall.SIGKILL)
			<-d.done
		}
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.workers {
		if !w.down {
			_ = w.server.Close()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("logs in", c.dir)
	}
}

// stepJSON is a step of a job as callers send it.
type stepJSON struct {
	Count        int     `json:"count"`
	CPU          int64   `json:"cpu"`
	MemMB        int64   `json:"memMb"`
	EstimatedMS  float64 `json:"estimatedMs,omitempty"`
	DependsOn    []int   `json:"dependsOn,omitempty"`
	Gang         bool    `json:"gang,omitempty"`
	Label        string  `json:"requiredLabel,omitempty"`
	DataRack     string  `json:"dataRack,omitempty"`
	AntiAffinity int     `json:"antiAffinity,omitempty"`
	LongRunning  bool    `json:"longRunning,omitempty"`
}

type jobJSON struct {
	Spec  string     `json:"spec"`
	Steps []stepJSON `json:"steps"`
}

// call makes one call to a daemon; status 0 means no answer.
func (c *cluster) call(d *daemon, method, path string, body any) (int, string) {
	var in io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, err.Error()
		}
		in = bytes.NewReader(data)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:8161%s", c.ip(0, d.n), path), in)
	if err != nil {
		return 0, err.Error()
	}
	r.Host = host
	r.Header.Set("Deadline-Ms", "3000")
	r.Header.Set("Content-Type", "application/json")
	reply, err := c.http.Do(r)
	if err != nil {
		c.note("%s %s at %s: no answer", method, path, d.name)
		return 0, err.Error()
	}
	defer reply.Body.Close()
	data, err := io.ReadAll(reply.Body)
	if err != nil {
		return 0, err.Error()
	}
	c.note("%s %s at %s: %d %s", method, path, d.name, reply.StatusCode, strings.TrimSpace(string(data)))
	return reply.StatusCode, string(data)
}

// submit hands a job in, at one daemon after the other, until it is accepted.
func (c *cluster) submit(path string, j jobJSON) error {
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		for _, d := range c.daemons {
			if status, _ := c.call(d, http.MethodPost, path, j); status == http.StatusOK {
				return nil
			}
		}
	}
	return errors.New("the job was not accepted")
}

// state asks for the state of a job, at one daemon after the other, until there is an answer.
func (c *cluster) state(path string) string {
	for range 20 {
		for _, d := range c.daemons {
			switch status, body := c.call(d, http.MethodGet, path, nil); status {
			case http.StatusOK:
				var out struct{ State string }
				_ = json.Unmarshal([]byte(body), &out)
				return out.State
			case http.StatusGone:
				return "gone"
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return "no answer"
}

// ready waits until the cell has accepted and completed a job.
func (c *cluster) ready(prefix string) error {
	time.Sleep(3 * time.Second)
	id := prefix + "00000000000000ff"
	if err := c.submit(id, jobJSON{Spec: "ms=20", Steps: []stepJSON{{Count: 1, CPU: 100, MemMB: 100, EstimatedMS: 20}}}); err != nil {
		return err
	}
	return c.await(10*time.Second, func() bool { return c.state(id) == "completed" })
}

func (c *cluster) await(limit time.Duration, ok func() bool) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return errors.New("a condition was not met in time")
}

// started records a start. The caller holds mu.
func (c *cluster) started(w *worker, ref jobs.TaskRef, number int64, token uint64) {
	c.note("start %v run %d on %s, token %d", ref, number, w.id, token)
	c.starts = append(c.starts, startEvent{time.Now(), ref, number, w.id})
	c.running[ref]++
	if c.running[ref] > 1 {
		c.violate("TWICE: %v has %d runs at the same time", ref, c.running[ref])
	}
}

// ended records the end of a run. The caller holds mu.
func (c *cluster) ended(w *worker, ref jobs.TaskRef, number int64, how string, seq int64) {
	c.note("end %v run %d on %s: %s", ref, number, w.id, how)
	c.running[ref]--
	c.endsOf[ref] = append(c.endsOf[ref], endEvent{at: time.Now(), number: number, how: how, worker: w, born: w.born, seq: seq})
}

// acknowledged records that the acknowledgement has reached an end. The caller holds mu.
func (c *cluster) acknowledged(w *worker, e *jobs.RunEnd, token uint64) {
	c.note("noted: end %v run %d on %s: %s, token %d", e.Task, e.Run, w.id, e.Kind, token)
	for i := range c.endsOf[e.Task] {
		if o := &c.endsOf[e.Task][i]; o.worker == w && o.born.Equal(w.born) && o.seq == e.Seq {
			o.noted = time.Now()
		}
	}
}

// checkTwice adds a violation for each start after a run of the same task has ended done, if that end was
// taken note of, then or later, and the worker's lease had not lapsed between the two. The caller holds mu.
func (c *cluster) checkTwice() {
	for _, s := range c.starts {
		for _, e := range c.endsOf[s.ref] {
			if e.how == "done" && !e.noted.IsZero() && s.at.After(e.at) && !e.worker.lapsedBetween(e.at, e.noted) {
				c.violate("TWICE: %v run %d started on %s %d ms after run %d had ended done on %s; that end was taken note of %d ms after it",
					s.ref, s.number, s.worker, s.at.Sub(e.at).Milliseconds(), e.number, e.worker.id, e.noted.Sub(e.at).Milliseconds())
			}
		}
	}
}

// lapsedBetween reports whether the worker's lease lapsed between two times.
func (w *worker) lapsedBetween(from, to time.Time) bool {
	return slices.ContainsFunc(w.lapses, func(at time.Time) bool { return at.After(from) && at.Before(to) })
}
