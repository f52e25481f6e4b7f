//go:build review3

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the daemons, the same on all machines.
const (
	callerPort    = 8161
	readinessPort = 8167
	linkPort      = 7720
	serverPort    = 8169
)

const host = "novo13.example"

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	begin time.Time
	w     io.Writer
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%9.3f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// testCell is the system under test and the stand-ins around it.
type testCell struct {
	rec     *recorder
	store   *store
	fleet   *fleet
	daemons []*daemon
	// network is the second octet of all addresses.
	network int
	lock    net.Listener
	dir     string
	root    string
	client  *http.Client
	version int
	done    chan struct{}
	closers []func()
}

// daemon is a process of the system.
type daemon struct {
	name, ip, settings string
	cmd                *exec.Cmd
	exited             chan struct{}
	log                *os.File
}

// setup starts the stand-ins, the workers and the daemons, and publishes the first configuration.
func setup(rec *recorder, root, dir string, daemons, workers int, capacity size, routes []route) (*testCell, error) {
	c := &testCell{rec: rec, store: newStore(), root: root, dir: dir, done: make(chan struct{}),
		client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	c.fleet = newFleet(rec, c.store)
	for i := range 64 {
		c.network = 64 + (os.Getpid()+i)%64
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", c.network, serverPort))
		if err == nil {
			c.lock = l
			break
		}
	}
	if c.lock == nil {
		return c, errors.New("no free loopback network")
	}
	zones := []string{"north-a", "north-b", "south-a"}
	for i := range workers {
		w := c.fleet.add(fmt.Sprintf("i-%08d", i+1), fmt.Sprintf("127.%d.2.%d:%d", c.network, i+1, serverPort), "dispatch", zones[i%3], capacity, "k1", fmt.Sprintf("r%d", i/4))
		if err := w.start(); err != nil {
			return c, err
		}
	}
	go c.fleet.advance(c.done)
	c.publish(routes)
	for i := range daemons {
		if err := c.addDaemon(i, daemons, zones[i%3]); err != nil {
			return c, err
		}
	}
	return c, c.awaitReady()
}

// route is a queue in the operator's configuration.
type route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"prefix"`
	Service     string  `json:"service"`
	Priority    int     `json:"priority"`
	MaxAttempts int     `json:"maxAttempts"`
	Slack       float64 `json:"slackFactor"`
	TargetMs    int     `json:"targetLatencyMs"`
}

func queue(name string, priority int) route {
	return route{Name: name, Host: host, Prefix: "/" + name + "/", Service: "dispatch", Priority: priority, MaxAttempts: 3, Slack: 2, TargetMs: 1000}
}

func (c *testCell) publish(routes []route) {
	c.version++
	value, _ := json.Marshal(map[string]any{"version": c.version, "routes": routes,
		"services": []any{map[string]any{"name": "dispatch", "admissionControl": false}}, "limits": map[string]any{"maxBodyBytes": 262144}})
	c.store.put("keyed.op", "config", value)
	c.rec.add("operator publishes version %d", c.version)
}

func (c *testCell) addDaemon(i, daemons int, zone string) error {
	d := &daemon{name: fmt.Sprintf("edge-%s-%d", zone, i+1), ip: fmt.Sprintf("127.%d.1.%d", c.network, i+1)}
	storeAddr := fmt.Sprintf("127.%d.3.%d:%d", c.network, i+1, serverPort)
	l, err := net.Listen("tcp", storeAddr)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: c.store.handler(i)}
	go func() { _ = s.Serve(l) }()
	c.closers = append(c.closers, func() { _ = s.Close() })
	var seeds []string
	for n := range min(3, daemons) {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("127.%d.1.%d:8166", c.network, n+1)))
	}
	text := fmt.Sprintf(`nodeName = %q
role = "entry"
machineClass = "edge"
serves = ["edge","control"]
ip = %q
zone = %q
region = "north"
internalPorts = [%d,%d]
seeds = [%s]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
controlMode = "rpc"
[zones]
north-a = "north"
north-b = "north"
south-a = "north"
[listenAddrs]
frontend = "%s:%d"
readiness = "%s:%d"
control = "%s:8166"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4200
linkMbps = 1000.0
diskMb = 0
[bounds]
stableWindowMs = 3000
ackMs = 4000
graceS = 6
holdMaxMs = %d
stopTimeoutMs = 400
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
leaseMs = 3000
[platform]
address = %q
form = "log"
writesPerS = 600
readsPerS = 2000
recordBytes = %d
requestBytes = %d
keep_s = 300
partitionMb = 200
`, d.name, d.ip, zone, linkPort, linkPort+15, strings.Join(seeds, ","), d.ip, callerPort, d.ip, readinessPort, d.ip, holdMaxMs, storeAddr, recordBytes, requestBytes)
	d.settings = filepath.Join(c.dir, d.name+".toml")
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return err
	}
	c.daemons = append(c.daemons, d)
	return c.startDaemon(d)
}

// startDaemon starts the process with the command of the deploy file.
func (c *testCell) startDaemon(d *daemon) error {
	var err error
	if d.log, err = os.OpenFile(filepath.Join(c.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(c.root, "target/catkinvalved"), "--platform")
	cmd.Dir = c.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "CATKINVALVE_BOOT=" + d.settings}
	cmd.Stdout, cmd.Stderr = d.log, d.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	d.cmd, d.exited = cmd, make(chan struct{})
	exited := d.exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	c.rec.add("process %s starts", d.name)
	return nil
}

func (d *daemon) signal(s syscall.Signal) { _ = d.cmd.Process.Signal(s) }

// readyTimeout limits the time from the start until all daemons report themselves ready.
const readyTimeout = 20 * time.Second

func (c *testCell) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, d := range c.daemons {
		for {
			resp, err := c.client.Get(fmt.Sprintf("http://%s:%d/-/readyz", d.ip, readinessPort))
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	c.rec.add("all processes are ready")
	return nil
}

// leader returns the daemon that the newest leader record names, by the order of its claims in the log.
func (c *testCell) leaderLog(event string) int {
	n := 0
	for _, d := range c.daemons {
		data, _ := os.ReadFile(filepath.Join(c.dir, d.name+".log"))
		n += bytes.Count(data, []byte(`"event":"`+event+`"`))
	}
	return n
}

// linesOf returns the log lines of all daemons that contain all of the texts.
func (c *testCell) linesOf(texts ...string) []string {
	var out []string
	for _, d := range c.daemons {
		data, _ := os.ReadFile(filepath.Join(c.dir, d.name+".log"))
		for _, line := range strings.Split(string(data), "\n") {
			all := true
			for _, t := range texts {
				all = all && strings.Contains(line, t)
			}
			if all {
				out = append(out, line)
			}
		}
	}
	return out
}

// call makes one call of a client to a daemon. Status 0 means that no answer came.
func (c *testCell) call(method string, daemon int, path string, body []byte) (int, string) {
	d := c.daemons[daemon%len(c.daemons)]
	req, _ := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", d.ip, callerPort, path), bytes.NewReader(body))
	req.Host = host
	req.Header.Set("Deadline-Ms", "3000")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, strings.TrimSpace(string(text))
}

// step and job are what a client submits.
type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu,omitempty"`
	MemMB        int    `json:"memMb,omitempty"`
	EstimatedMs  int    `json:"estimatedMs,omitempty"`
	DependsOn    []int  `json:"dependsOn,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	AntiAffinity int    `json:"antiAffinity,omitempty"`
	LongRunning  bool   `json:"longRunning,omitempty"`
	Label        string `json:"requiredLabel,omitempty"`
	DataRack     string `json:"dataRack,omitempty"`
}

type job struct {
	Spec        string `json:"spec"`
	Steps       []step `json:"steps"`
	RepeatCount int    `json:"repeatCount,omitempty"`
	FirstRunMs  int64  `json:"firstRunMs,omitempty"`
	IntervalMs  int64  `json:"intervalMs,omitempty"`
}

const clientRetries = 4

// submit hands a job in as a client does, and returns the last status.
func (c *testCell) submit(daemon int, prefix, id string, j job) int {
	body, _ := json.Marshal(j)
	status := 0
	for i := range clientRetries + 1 {
		status, _ = c.call("POST", daemon+i, prefix+id, body)
		c.rec.add("POST %s%s at %s: %d", prefix, id, c.daemons[(daemon+i)%len(c.daemons)].name, status)
		if status/100 == 2 || status/100 == 4 && status != 429 {
			return status
		}
		time.Sleep(300 * time.Millisecond)
	}
	return status
}

// state asks for a job's state at successive daemons until one answers with 200 or 410.
func (c *testCell) state(daemon int, prefix, id string) string {
	for i := range clientRetries + 1 {
		status, text := c.call("GET", daemon+i, prefix+id, nil)
		if status == 200 {
			var v struct{ State string }
			_ = json.Unmarshal([]byte(text), &v)
			return v.State
		}
		if status == 410 {
			return "410"
		}
		time.Sleep(200 * time.Millisecond)
	}
	return "no answer"
}

func jobID(n int) string { return fmt.Sprintf("%016x", 0xc0ffee0000+n) }

// stop ends all processes and servers.
func (c *testCell) stop() {
	for _, d := range c.daemons {
		if d.cmd != nil {
			d.signal(syscall.SIGCONT)
			_ = d.cmd.Process.Kill()
			<-d.exited
		}
	}
	close(c.done)
	for _, w := range c.fleet.workers {
		if w.server != nil {
			_ = w.server.Close()
		}
	}
	for _, f := range c.closers {
		f()
	}
	if c.lock != nil {
		_ = c.lock.Close()
	}
}
